// The fleet configuration that operators edit. It consists of fleet-wide defaults, the models,
// client accounts and services, and a short list of exceptions, each with a written reason. Entries
// receive the complete configuration with its revision. A FleetConfig is a value and is immutable
// once it has a revision.
//
// validate() checks whether a configuration is valid by itself. The rules for changes from one
// configuration to the next (revisions, withdrawn versions) are enforced by ConfigState in
// core/config/config_state.h.

#ifndef FIREFLYROUTE_CORE_CONFIG_FLEET_CONFIG_H
#define FIREFLYROUTE_CORE_CONFIG_FLEET_CONFIG_H

#include "core/common/clock.h"
#include "core/common/errors.h"
#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflyroute::core {

// Lifecycle of a model version. Withdrawn is final: no later change of the configuration leaves
// this state.
enum class VersionState { Serving, Held, Withdrawn };

template<>
struct EnumNames<VersionState>
{
    static constexpr std::array table{
            EnumName{VersionState::Serving, "serving"},
            EnumName{VersionState::Held, "held"},
            EnumName{VersionState::Withdrawn, "withdrawn"},
    };
};

// One version of a model and its prices.
struct VersionSpec
{
    VersionName name;
    VersionState state = VersionState::Serving;
    std::string stateReason; // reason for being held or withdrawn; empty while serving
    MicroCost inputCostPerKiloToken = 0; // per 1,000 prompt tokens
    MicroCost outputCostPerKiloToken = 0; // per 1,000 generated tokens
    double expectedQuality = 0.5; // prior mean of ratings, 0 to 1

    bool operator==(const VersionSpec &) const = default;
};

// State of a roll-out.
enum class RolloutPhase { Running, Held, Done };

template<>
struct EnumNames<RolloutPhase>
{
    static constexpr std::array table{
            EnumName{RolloutPhase::Running, "running"},
            EnumName{RolloutPhase::Held, "held"},
            EnumName{RolloutPhase::Done, "done"},
    };
};

// Conditions that a stage of a roll-out must meet before the next stage starts.
struct RolloutGate
{
    std::chrono::seconds duration{600}; // minimum time in the stage
    std::uint32_t minRatings = 50; // minimum rated answers of the new version in the stage

    bool operator==(const RolloutGate &) const = default;
};

// Moves new sessions from one version to another in stages.
struct Rollout
{
    VersionName from;
    VersionName to;
    RolloutPhase phase = RolloutPhase::Running;
    std::vector<std::uint32_t> stagesPermille; // share of new sessions per stage, increasing
    std::uint32_t stage = 0; // index into stagesPermille
    std::string reason; // why it was started or held
    std::vector<RolloutGate> gates; // one per stage; missing gates take the default
    WallTime stageSince; // when the current stage started or was resumed

    bool operator==(const Rollout &) const = default;
};

// One model and its versions; at most one roll-out at a time.
struct ModelSpec
{
    ModelName name;
    std::vector<VersionSpec> versions;
    VersionName stable; // version for new sessions while no roll-out is active
    std::optional<Rollout> rollout;

    bool operator==(const ModelSpec &) const = default;
};

// Permission to use one version of a model, or all versions if `version` is not set.
struct ModelPermission
{
    ModelName model;
    std::optional<VersionName> version;

    bool operator==(const ModelPermission &) const = default;
};

// A customer of the fleet. Only the salted hash of the API key is stored, never the key.
struct ClientAccount
{
    ClientAccountId id;
    std::string keySalt; // hexadecimal
    std::string keyHash; // hexadecimal SHA-256 of salt and key
    std::uint32_t weight = 1;
    std::uint64_t tokensPerMinute = 0; // 0: no limit for this account
    std::uint32_t maxConcurrent = 0; // 0: no limit for this account
    Rank maxRank = Rank::Urgent; // most urgent rank that the account may request
    std::vector<ModelPermission> allowed;

    bool operator==(const ClientAccount &) const = default;
};

// Calls of a plain service that are executed at most once and require an idempotency key.
struct NonRepeatableCall
{
    std::string method; // upper case, for example "POST"
    std::string pathPrefix; // begins with a slash

    bool operator==(const NonRepeatableCall &) const = default;
};

// A plain HTTP service, routed in addition to the models.
struct ServiceSpec
{
    ServiceName name;
    std::vector<NonRepeatableCall> nonRepeatable;
    std::vector<ClientAccountId> allowedAccounts; // empty: all accounts

    bool operator==(const ServiceSpec &) const = default;
};

// Targets and limits of one rank.
struct RankPolicy
{
    Rank rank = Rank::Normal;
    std::chrono::milliseconds firstTokenTarget{410};
    std::chrono::milliseconds queueTimeout{5000};
    // Share of the capacity that is reserved for this rank even while more urgent requests wait.
    std::uint32_t guaranteedSharePermille = 0;
    std::uint32_t queueLimit = 1000; // maximum number of requests queued on one entry

    bool operator==(const RankPolicy &) const = default;
};

// A task that requests refer to, and the quality that its answers must reach.
struct TaskPolicy
{
    TaskName task;
    double qualityTarget = 0.8; // lower confidence bound of the mean rating, 0 to 1

    bool operator==(const TaskPolicy &) const = default;
};

// Fleet-wide settings, used unless an exception overrides them.
struct Defaults
{
    std::array<RankPolicy, kRankCount> ranks{
            RankPolicy{Rank::Urgent, std::chrono::milliseconds(410),
                       std::chrono::milliseconds(2000), 0, 1000},
            RankPolicy{Rank::Normal, std::chrono::milliseconds(1500),
                       std::chrono::milliseconds(10000), 200, 1000},
            RankPolicy{Rank::Background, std::chrono::milliseconds(10000),
                       std::chrono::milliseconds(60000), 50, 2000},
    };
    std::vector<TaskPolicy> tasks;
    double qualityTarget = 0.8; // for tasks without a TaskPolicy
    std::uint32_t ratingSamplePermille = 50; // share of answers sent to the rating service
    std::uint32_t retryBudgetPermille = 100; // retries allowed per 1,000 first attempts
    // Maximum traffic share of a new version before it is validated.
    std::uint32_t rolloutExposureMaxPermille = 200;
    std::uint32_t endpointConcurrency = 8; // default maximum of requests in flight per endpoint
    std::chrono::milliseconds firstByteTimeout{15000};
    std::chrono::milliseconds interTokenTimeout{5000};
    std::uint32_t weightLoadsPerMinute = 6; // maximum rate of weight loads over the whole fleet

    bool operator==(const Defaults &) const = default;
};

// The effect of an exception.
enum class ExceptionEffect { Allow, Deny, ForceVersion, QualityTarget, Weight };

template<>
struct EnumNames<ExceptionEffect>
{
    static constexpr std::array table{
            EnumName{ExceptionEffect::Allow, "allow"},
            EnumName{ExceptionEffect::Deny, "deny"},
            EnumName{ExceptionEffect::ForceVersion, "force_version"},
            EnumName{ExceptionEffect::QualityTarget, "quality_target"},
            EnumName{ExceptionEffect::Weight, "weight"},
    };
};

// An override of the defaults. It applies to requests that match every field that is set.
struct ConfigException
{
    ExceptionId id;
    std::optional<ClientAccountId> account;
    std::optional<TaskName> task;
    std::optional<Rank> rank;
    std::optional<ModelName> model;
    std::optional<VersionName> version;
    ExceptionEffect effect = ExceptionEffect::Deny;
    double value = 0; // quality target or weight, for effects that have a number
    std::string reason;
    OperatorName author;
    WallTime createdAt;
    std::optional<WallTime> expiresAt;

    bool operator==(const ConfigException &) const = default;
};

struct FleetConfig
{
    Revision revision{0};
    Defaults defaults;
    std::vector<ModelSpec> models;
    std::vector<ClientAccount> accounts;
    std::vector<ServiceSpec> services;
    std::vector<ConfigException> exceptions;

    bool operator==(const FleetConfig &) const = default;
};

// Look-ups. Return null if the item does not exist.
[[nodiscard]] const ModelSpec *findModel(const FleetConfig &config, const ModelName &name);
[[nodiscard]] const VersionSpec *findVersion(const ModelSpec &model, const VersionName &name);
[[nodiscard]] const VersionSpec *findVersion(const FleetConfig &config, const ModelVersion &id);
[[nodiscard]] const ClientAccount *findAccount(const FleetConfig &config,
                                               const ClientAccountId &id);
[[nodiscard]] const ServiceSpec *findService(const FleetConfig &config, const ServiceName &name);

// Returns whether the exception is in force at `now` and matches the request and `target`.
[[nodiscard]] bool appliesTo(const ConfigException &exception, const ClientAccountId &account,
                             const TaskName &task, Rank rank, const ModelVersion &target,
                             WallTime now);

// Returns whether the account may use the version according to its permissions and the exceptions
// in force at `now`. Does not check whether the version is withdrawn.
[[nodiscard]] bool isAllowed(const FleetConfig &config, const ClientAccount &account,
                             const TaskName &task, Rank rank, const ModelVersion &target,
                             WallTime now);

// Returns whether the account may call the service.
[[nodiscard]] bool admits(const ServiceSpec &service, const ClientAccountId &account);

// Returns whether a call of the service may be executed at most once.
[[nodiscard]] bool isNonRepeatable(const ServiceSpec &service, std::string_view method,
                                   std::string_view path);

// Checks all fields and cross references. InvalidArgument or ReasonMissing names the first invalid
// field.
[[nodiscard]] Result<void> validate(const FleetConfig &config);

} // namespace fireflyroute::core

#endif

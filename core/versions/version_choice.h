// Chooses model and version for one request: the versions to dispatch, their order, and the
// reasons.
//
//   ChoiceRequest request{.account = *account, .task = TaskName("tag"), ...};
//   // conditions: quality view, ready versions, exposure limit, availability of ratings
//   Result<CascadePlan> plan = chooseVersions(config, request, conditions, wallNow);
//   plan.value().steps[0].version;       // the first version to dispatch
//   explain(plan.value().steps[0]);      // "cheapest_meeting_target: returns@3, quality ..."
//
// Rules, first match applies:
//  1. A session keeps its pinned version until that is withdrawn or no longer allowed.
//  2. A version named by the caller is used if it is allowed and neither withdrawn nor held.
//  3. The first matching force_version exception applies if its version may be used.
//  4. Otherwise each model provides its stable version or, for the share of a running roll-out,
//     the new one. The cheapest of these whose lower quality bound meets the target is first.
// More expensive versions follow as escalation steps if the request may be answered twice.
//
// The choice has three phases: list the allowed versions, measure them (quality, endpoints,
// exposure), and plan. Only the measuring phase depends on external types and is a template.

#ifndef FIREFLYROUTE_CORE_VERSIONS_VERSION_CHOICE_H
#define FIREFLYROUTE_CORE_VERSIONS_VERSION_CHOICE_H

#include "core/common/errors.h"
#include "core/common/types.h"
#include "core/config/fleet_config.h"
#include "core/quality/quality_estimate.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::core {

// Why a step is part of a plan.
enum class ChoiceReason {
    Default,
    CheapestMeetingTarget,
    BestAvailable,
    Trial,
    Escalation,
    Rollout,
    StableUnavailable,
    Exception,
    Pinned,
    RequestedVersion,
};

template<>
struct EnumNames<ChoiceReason>
{
    static constexpr std::array table{
            EnumName{ChoiceReason::Default, "default"},
            EnumName{ChoiceReason::CheapestMeetingTarget, "cheapest_meeting_target"},
            EnumName{ChoiceReason::BestAvailable, "best_available"},
            EnumName{ChoiceReason::Trial, "trial"},
            EnumName{ChoiceReason::Escalation, "escalation"},
            EnumName{ChoiceReason::Rollout, "rollout"},
            EnumName{ChoiceReason::StableUnavailable, "stable_unavailable"},
            EnumName{ChoiceReason::Exception, "exception"},
            EnumName{ChoiceReason::Pinned, "pinned"},
            EnumName{ChoiceReason::RequestedVersion, "asked_version"},
    };
};

// Effect of a plan on the pin of its session. New and Moved must be written to the ledger before
// the request is dispatched. The answer reports Moved to the caller.
enum class PinEffect { None, New, Kept, Moved };

template<>
struct EnumNames<PinEffect>
{
    static constexpr std::array table{
            EnumName{PinEffect::None, "none"},
            EnumName{PinEffect::New, "new"},
            EnumName{PinEffect::Kept, "kept"},
            EnumName{PinEffect::Moved, "moved"},
    };
};

// The `model` field of a request. Both values empty: `auto`.
struct RequestedModel
{
    std::optional<ModelName> model;
    std::optional<VersionName> version; // only set together with a model

    bool operator==(const RequestedModel &) const = default;
};

// Parses "auto", "model" or "model@version". Fails with InvalidArgument if a part is empty.
[[nodiscard]] Result<RequestedModel> parseRequestedModel(std::string_view text);

// Properties of a request that the choice depends on.
struct ChoiceRequest
{
    const ClientAccount &account;
    TaskName task;
    Rank rank = Rank::Normal;
    RequestedModel requested;
    RequestId request;
    std::optional<SessionId> session;
    std::optional<ModelVersion> pin; // current pin of the session, from the ledger
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // expected number
    bool mayEscalate = false; // the answer may be withheld until it is rated
};

// One version to dispatch.
struct PlanStep
{
    ModelVersion version;
    ChoiceReason reason = ChoiceReason::Default;
    // Exception that forced the version or else set its target.
    std::optional<ExceptionId> exception;
    std::uint32_t exposurePermille = 0; // exposure limit that applied to a roll-out
    QualityBounds quality;
    double qualityTarget = 0;
    MicroCost expectedCost = 0;

    bool operator==(const PlanStep &) const = default;
};

// A version with fewer ratings than this for a task is uncertain regardless of its bounds.
constexpr double kMinRatings = 20;

// Whether answers of the step must always be rated instead of sampled.
[[nodiscard]] bool isUncertain(const PlanStep &step);

// One-line description for operators: reason, version and the figures behind the choice.
[[nodiscard]] std::string explain(const PlanStep &step);

// Versions in dispatch order. The first one always runs, the others only after a low rating.
struct CascadePlan
{
    std::vector<PlanStep> steps; // never empty
    PinEffect pin = PinEffect::None;
    // Withdrawn or NotAllowed; set if and only if `pin` is Moved.
    std::optional<CoreError> pinMoveReason;
};

// Limits of the choice that are not part of the fleet configuration.
struct ChoicePolicy
{
    std::uint32_t trialPermille = 100; // share of requests that may try a cheaper version
    std::size_t maxSteps = 3;
};

// Source of quality estimates; see QualityView in core/quality/quality_table.h.
template<typename T>
concept QualitySource = requires(const T &source, const QualityKey &key, double prior)
{
    {
        source.bounds(key, prior)
        } -> std::same_as<QualityBounds>;
    {
        source.isValidated(key.version)
        } -> std::same_as<bool>;
};

// Provides which versions have an endpoint that accepts requests.
template<typename T>
concept ReadyVersions = requires(const T &ready, const ModelVersion &version)
{
    {
        ready.isReady(version)
        } -> std::same_as<bool>;
};

// Exposure limit in addition to the stable hash; see ExposureGate in core/versions/exposure.h.
template<typename T>
concept ExposureLimit = requires(const T &limit, const ModelVersion &version)
{
    {
        limit.admits(version, std::uint32_t{})
        } -> std::same_as<bool>;
};

// Fleet state that a choice depends on.
template<QualitySource Quality, ReadyVersions Ready, ExposureLimit Exposure>
struct ChoiceConditions
{
    const Quality &quality;
    const Ready &ready;
    const Exposure &exposure;
    // False while the circuit of the rating service is open: no trials.
    bool ratingsAvailable = true;
    ChoicePolicy policy;
};

// Role of a version within its model for new sessions.
enum class VersionRole { Stable, RolloutTarget, Other };

template<>
struct EnumNames<VersionRole>
{
    static constexpr std::array table{
            EnumName{VersionRole::Stable, "stable"},
            EnumName{VersionRole::RolloutTarget, "rollout_target"},
            EnumName{VersionRole::Other, "other"},
    };
};

// A version that the request may run on. The last four fields are set by the measuring phase.
struct VersionCandidate
{
    ModelVersion version;
    const VersionSpec *spec = nullptr;
    VersionRole role = VersionRole::Stable;
    double qualityTarget = 0;
    std::optional<ExceptionId> targetException; // exception that set the target
    MicroCost expectedCost = 0;
    std::uint32_t stagePermille = 0; // stage of the roll-out; for its target only

    bool ready = false;
    QualityBounds quality;
    std::uint32_t exposurePermille = 0;
    bool assigned = false; // the request is in the share of the roll-out
};

// Result of the listing phase.
struct CandidateSet
{
    std::vector<VersionCandidate> candidates;
    std::optional<ChoiceReason> fixedReason; // set if a rule leaves exactly one candidate
    std::optional<ExceptionId> exception;
    PinEffect pin = PinEffect::None;
    std::optional<CoreError> pinMoveReason;
};

// First phase: lists the versions that are allowed, not withdrawn and, for new sessions, not held.
// Fails with UnknownModel, NotAllowed, Withdrawn, or NoEndpoint if all are held, or InvalidArgument
// if the request contradicts its pin.
[[nodiscard]] Result<CandidateSet> listCandidates(const FleetConfig &config,
                                                  const ChoiceRequest &request, WallTime now);

// Third phase: orders the measured candidates. Fails with NoEndpoint if none is ready.
[[nodiscard]] Result<CascadePlan> planCascade(const CandidateSet &set, const ChoiceRequest &request,
                                              bool ratingsAvailable, const ChoicePolicy &policy);

// Position of a subject in 0 to 999. Stable across processes and restarts; different salts give
// independent positions.
[[nodiscard]] std::uint32_t stablePermille(std::string_view subject, std::string_view salt);

// Position of the session, or of a request without a session, in the roll-out of a version.
[[nodiscard]] std::uint32_t rolloutPosition(const ChoiceRequest &request,
                                            const ModelVersion &target);

// Second phase for one candidate.
template<QualitySource Quality, ReadyVersions Ready, ExposureLimit Exposure>
void measure(VersionCandidate &candidate, const FleetConfig &config, const ChoiceRequest &request,
             const ChoiceConditions<Quality, Ready, Exposure> &conditions)
{
    candidate.ready = conditions.ready.isReady(candidate.version);
    candidate.quality = conditions.quality.bounds(QualityKey{request.task, candidate.version},
                                                  candidate.spec->expectedQuality);
    if (candidate.role != VersionRole::RolloutTarget || !candidate.ready)
        return;
    const std::uint32_t limit = conditions.quality.isValidated(candidate.version)
                                        ? candidate.stagePermille
                                        : config.defaults.rolloutExposureMaxPermille;
    candidate.exposurePermille = std::min(candidate.stagePermille, limit);
    candidate.assigned =
            rolloutPosition(request, candidate.version) < candidate.exposurePermille
            && conditions.exposure.admits(candidate.version, candidate.exposurePermille);
}

// Chooses the versions for a request. `now` determines which exceptions have expired. Fails like
// listCandidates() and planCascade().
template<QualitySource Quality, ReadyVersions Ready, ExposureLimit Exposure>
[[nodiscard]] Result<CascadePlan>
chooseVersions(const FleetConfig &config, const ChoiceRequest &request,
               const ChoiceConditions<Quality, Ready, Exposure> &conditions, WallTime now)
{
    BOOST_OUTCOME_TRY(set, listCandidates(config, request, now));
    for (VersionCandidate &candidate : set.candidates)
        measure(candidate, config, request, conditions);
    return planCascade(set, request, conditions.ratingsAvailable, conditions.policy);
}

// Checks immediately before dispatch that the version is still allowed and not withdrawn.
[[nodiscard]] Result<void> checkDispatch(const FleetConfig &config, const ClientAccount &account,
                                         const TaskName &task, Rank rank,
                                         const ModelVersion &version, WallTime now);

} // namespace fireflyroute::core

#endif

// The replicated state of a site: the newest configuration document, the roll-outs and the
// evacuated data centres. Commands are applied in the order of the replicated log, so that every
// control VM reaches the same state.
//
//   SiteState state;
//   state.apply(PutDocument{{7, body}});
//   state.apply(StartSiteRollout{...});
//   state.data().revision                     // increases with each change
//
// The document with the highest version is kept. Commands are idempotent: a repeated command has no
// effect.

#ifndef FIREFLYROUTE_CORE_SITE_SITE_STATE_H
#define FIREFLYROUTE_CORE_SITE_SITE_STATE_H

#include "core/common/clock.h"
#include "core/common/shared_bytes.h"
#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace fireflyroute::core {

// A configuration as sent by the operator. The bytes are stored unchanged, so that a read returns
// them as they were; they are decoded outside the core.
struct ConfigDocument
{
    std::uint64_t version = 0; // chosen by the operator; the first may be 0
    SharedBytes bytes;

    bool operator==(const ConfigDocument &) const = default;
};

// Canary: a small share of the requests goes to the target. Expanding: all new requests go to the
// target, while the other versions complete their running ones. The last two stages are final.
enum class RolloutStage { Canary, Expanding, Completed, RolledBack };

template<>
struct EnumNames<RolloutStage>
{
    static constexpr std::array table{
            EnumName{RolloutStage::Canary, "canary"},
            EnumName{RolloutStage::Expanding, "expanding"},
            EnumName{RolloutStage::Completed, "completed"},
            EnumName{RolloutStage::RolledBack, "rolled_back"},
    };
};

struct SiteRollout
{
    ServiceName service;
    VersionName target;
    std::uint64_t number = 0; // of the order; distinguishes roll-outs to the same target
    std::uint32_t durationMs = 0; // allowed duration since the order
    std::int64_t orderedAtMs = 0; // wall-clock time of the leader that accepted the order
    RolloutStage stage = RolloutStage::Canary;

    bool operator==(const SiteRollout &) const = default;

    [[nodiscard]] bool isFinal() const
    {
        return stage == RolloutStage::Completed || stage == RolloutStage::RolledBack;
    }
};

struct PutDocument
{
    ConfigDocument document;
};

// Ignored as a repeated order while a roll-out of the service to the same target is active, and
// after that roll-out has ended if it was ordered less than 12 s earlier.
struct StartSiteRollout
{
    SiteRollout rollout;
};

// Advances a roll-out; ignored unless `number` is the current order and the stage is later.
struct SetRolloutStage
{
    ServiceName service;
    std::uint64_t number = 0;
    RolloutStage stage = RolloutStage::Canary;
};

// Orders the evacuation of a data centre or withdraws the order. A repeated order changes nothing,
// so that the time of the first one is kept.
struct SetEvacuation
{
    DataCentreId dataCentre;
    bool isEvacuated = false;
    std::int64_t orderedAtMs = 0; // wall-clock time of the leader that accepted the order

    bool operator==(const SetEvacuation &) const = default;
};

// The position of a type is part of the encoding.
using SiteCommand = std::variant<PutDocument, StartSiteRollout, SetRolloutStage, SetEvacuation>;

// Evacuated data centres with the wall-clock time of their orders in Unix milliseconds.
using Evacuations = std::map<DataCentreId, std::int64_t>;

struct SiteData
{
    std::uint64_t revision = 0; // increases by one with each change
    std::optional<ConfigDocument> document; // absent before the first one
    std::map<ServiceName, SiteRollout> rollouts; // the newest roll-out of each service
    Evacuations evacuations;

    bool operator==(const SiteData &) const = default;

    // Version of the document; nothing before the first one.
    [[nodiscard]] std::optional<std::uint64_t> documentVersion() const
    {
        return document ? std::optional(document->version) : std::nullopt;
    }
};

// The version of the document for logs; "none" before the first one.
[[nodiscard]] std::string describeDocumentVersion(const SiteData &data);

class SiteState
{
public:
    SiteState() = default;
    explicit SiteState(SiteData data)
        : data_(std::move(data))
    {}

    void apply(const SiteCommand &command);

    [[nodiscard]] const SiteData &data() const { return data_; }

private:
    bool applyChange(const PutDocument &command);
    bool applyChange(const StartSiteRollout &command);
    bool applyChange(const SetRolloutStage &command);
    bool applyChange(const SetEvacuation &command);

    SiteData data_;
};

} // namespace fireflyroute::core

#endif

// The replicated state of a site: the newest configuration document and the roll-outs. Commands
// reach it through the replicated log, so every control VM makes the same of them.
//
//   SiteState state;
//   state.apply(PutDocument{{7, body}});
//   state.apply(StartRollout{...});
//   state.data().revision                     // grows with each change
//
// The highest document version is kept. Commands may be repeated: a second one changes nothing.

#ifndef FIREFLYROUTE_CORE_SITE_STATE_H
#define FIREFLYROUTE_CORE_SITE_STATE_H

#include "core/clock.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace fireflyroute::core {

// A configuration as the operator sent it. The bytes are kept, so that they can be read back
// unchanged; what they mean is decoded outside the core.
struct ConfigDocument
{
    std::uint64_t version = 0; // 0 before the first
    std::string bytes;

    bool operator==(const ConfigDocument &) const = default;
};

// Canary: a small share of the work goes to the target. Expanding: all of it does, while the other
// versions finish what they have. The last two are final.
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

struct Rollout
{
    ServiceName service;
    VersionName target;
    std::uint64_t number = 0; // of the order; tells a repeated roll-out from an earlier one
    std::uint32_t durationMs = 0; // time allowed from the order on
    std::int64_t orderedAtMs = 0; // calendar time of the leader that took the order
    RolloutStage stage = RolloutStage::Canary;

    bool operator==(const Rollout &) const = default;

    [[nodiscard]] bool isFinal() const
    {
        return stage == RolloutStage::Completed || stage == RolloutStage::RolledBack;
    }
};

struct PutDocument
{
    ConfigDocument document;
};

// Ignored while a roll-out of the service to the same target is under way, or shortly after one: it
// is a repeated order.
struct StartRollout
{
    Rollout rollout;
};

// Moves a roll-out on; ignored unless `number` is the present order and the stage is later.
struct SetRolloutStage
{
    ServiceName service;
    std::uint64_t number = 0;
    RolloutStage stage = RolloutStage::Canary;
};

using SiteCommand = std::variant<PutDocument, StartRollout, SetRolloutStage>;

struct SiteData
{
    std::uint64_t revision = 0; // grows by one with each change
    ConfigDocument document;
    std::map<ServiceName, Rollout> rollouts; // the newest of each service

    bool operator==(const SiteData &) const = default;
};

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
    bool applyChange(const StartRollout &command);
    bool applyChange(const SetRolloutStage &command);

    SiteData data_;
};

} // namespace fireflyroute::core

#endif

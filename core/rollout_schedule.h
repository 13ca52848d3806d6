// When a roll-out steps by itself: looks at the configuration, the evidence about the new version
// and the time, and proposes the next command.
//
//   RolloutSchedule schedule(now);                          // on the leader, at its election
//   if (std::optional<ConfigCommand> command = schedule.propose(config, evidence, now))
//       replicate(*command);
//
// A proposal names the revision that it rests on, and its command id follows from that revision and
// the step. So a new leader takes a roll-out up where the log says it stands, a proposal that was
// sent twice counts once, and one that lost a race against an operator is refused and made afresh
// from the new revision.
//
// The time in a stage is counted from the calendar time of the command that began it. Within a term
// the leader's monotonic clock carries its calendar time on, so a calendar clock that jumps moves
// no roll-out; ratings are needed in any case.

#ifndef FIREFLYROUTE_CORE_ROLLOUT_SCHEDULE_H
#define FIREFLYROUTE_CORE_ROLLOUT_SCHEDULE_H

#include "core/config_lease.h"
#include "core/control_command.h"

#include <array>
#include <optional>
#include <vector>

namespace fireflyroute::core {

// What the ratings say about a version. Suspect holds its roll-out, Bad withdraws the version.
enum class VersionVerdict { Undecided, Acceptable, Suspect, Faulty };

template<>
struct EnumNames<VersionVerdict>
{
    static constexpr std::array table{
            EnumName{VersionVerdict::Undecided, "undecided"},
            EnumName{VersionVerdict::Acceptable, "acceptable"},
            EnumName{VersionVerdict::Suspect, "suspect"},
            EnumName{VersionVerdict::Faulty, "bad"},
    };
};

// Evidence about one version under roll-out.
struct RolloutEvidence
{
    ModelVersion version;
    std::uint32_t stage = 0; // stage of the roll-out that the ratings were counted in
    std::uint32_t ratings = 0; // rated answers within that stage
    VersionVerdict verdict = VersionVerdict::Undecided;
    std::string summary; // figures behind the verdict, for the written reason

    bool operator==(const RolloutEvidence &) const = default;
};

class RolloutSchedule
{
public:
    // Author of the commands that it proposes.
    static constexpr std::string_view kAuthor = "rollout-schedule";

    explicit RolloutSchedule(const ClockReading &electedAt)
        : anchor_(electedAt)
    {}

    // At most one command, because each accepted one makes the revision of the others old.
    [[nodiscard]] std::optional<ConfigCommand> propose(const FleetConfig &config,
                                                       const std::vector<RolloutEvidence> &evidence,
                                                       const ClockReading &now) const;

private:
    [[nodiscard]] WallTime wallTime(const ClockReading &now) const;

    ClockReading anchor_;
};

} // namespace fireflyroute::core

#endif

// Automatic stepping of roll-outs: derives the next command from the configuration, the evidence
// about the new version and the time.
//
//   RolloutSchedule schedule(now);                          // on the leader, at its election
//   if (std::optional<ConfigCommand> command = schedule.propose(config, evidence, now))
//       replicate(*command);
//
// A proposal names the revision that it is based on, and its command id is derived from that
// revision and the step. A new leader therefore continues a roll-out from the state in the log, a
// proposal that is sent twice counts once, and a proposal that conflicts with a concurrent operator
// command is rejected and proposed again from the new revision.
//
// The duration of a stage is measured from the wall-clock time of the command that started it.
// Within a term the leader derives wall-clock time from its monotonic clock, so that a step of the
// wall clock does not advance a roll-out; a stage requires ratings in any case.

#ifndef FIREFLYROUTE_CORE_VERSIONS_ROLLOUT_SCHEDULE_H
#define FIREFLYROUTE_CORE_VERSIONS_ROLLOUT_SCHEDULE_H

#include "core/config/control_command.h"
#include "core/leases/config_lease.h"

#include <array>
#include <optional>
#include <vector>

namespace fireflyroute::core {

// The verdict of the ratings on a version. Suspect holds its roll-out, Faulty withdraws the
// version.
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

// Evidence about one version in roll-out.
struct RolloutEvidence
{
    ModelVersion version;
    std::uint32_t stage = 0; // stage in which the ratings were counted
    std::uint32_t ratings = 0; // rated answers within that stage
    VersionVerdict verdict = VersionVerdict::Undecided;
    std::string summary; // figures behind the verdict, for the written reason

    bool operator==(const RolloutEvidence &) const = default;
};

class RolloutSchedule
{
public:
    // Author of the proposed commands.
    static constexpr std::string_view kAuthor = "rollout-schedule";

    explicit RolloutSchedule(const ClockReading &electedAt)
        : electedAt_(electedAt)
    {}

    // Returns at most one command, because each accepted command makes the revision of any other
    // outdated.
    [[nodiscard]] std::optional<ConfigCommand> propose(const FleetConfig &config,
                                                       const std::vector<RolloutEvidence> &evidence,
                                                       const ClockReading &now) const;

private:
    [[nodiscard]] WallTime wallTime(const ClockReading &now) const;

    ClockReading electedAt_;
};

} // namespace fireflyroute::core

#endif

// Fault matrix of the control state machines. Each test is named after the fault, the step that it
// affects, and the expected result.

#define BOOST_TEST_MODULE control_faults
#include "core/config/control_state.h"
#include "core/leases/lease_grant.h"
#include "core/ledger/claim_sweep.h"
#include "core/ledger/ledger_claims.h"
#include "core/versions/rollout_schedule.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const ClockReading kStart{Instant(1h), WallTime(1000h)};
const ModelName kModel("m");
const ModelVersion kNewVersion{kModel, VersionName("2")};
const LedgerKey kClaimKey{LedgerKind::Claim, "duka/refund-1"};

FleetConfig fleet()
{
    FleetConfig config;
    ModelSpec model;
    model.name = kModel;
    model.versions = {VersionSpec{.name = VersionName("1")}, VersionSpec{.name = VersionName("2")}};
    model.stable = VersionName("1");
    config.models = {model};
    return config;
}

ConfigCommand configCommand(const std::string &id, Revision expected, ConfigChange change)
{
    return ConfigCommand{CommandId(id), OperatorName("operator-" + id), kStart.wall, expected,
                         std::move(change)};
}

ConfigChange addExceptionChange(const std::string &id)
{
    return AddException{ConfigException{.id = ExceptionId(id), .reason = "because of " + id}};
}

ConfigReply send(ControlState &state, const ConfigCommand &command)
{
    return std::get<ConfigReply>(state.apply(command));
}

ResendOutcome applyClaim(ControlState &state, const ClaimStart &start)
{
    const LedgerCommand command{CommandId("l"), {claimOperation(start)}};
    return resendOutcome(std::get<LedgerReply>(state.apply(command)).outcomes[0], start);
}

ClaimStart claimStart(const char *attempt, const char *vm)
{
    return ClaimStart{kClaimKey, "body", RequestId(attempt), {VmId(vm), Incarnation(1)}, kStart};
}

Revision revisionOf(const ControlState &state)
{
    return state.config().config()->revision;
}

// Returns a random command as an operator, an entry or the leader may send it.
ControlCommand randomCommand(std::mt19937_64 &random, const ControlState &state, int number)
{
    const std::string id = std::to_string(number);
    const Revision expectedRevision{toNumber(revisionOf(state)) - (random() % 8 == 0 ? 1U : 0U)};
    const ClaimStart start{{LedgerKind::Claim, "a/" + std::to_string(random() % 200)},
                           "body",
                           RequestId(id),
                           {VmId("vm" + std::to_string(random() % 3)), Incarnation(1)},
                           kStart};
    switch (random() % 6) {
    case 0:
        return configCommand(id, expectedRevision, addExceptionChange(id));
    case 1:
        return configCommand(id, expectedRevision,
                             HoldVersion{kNewVersion, random() % 2 == 0, "trial"});
    case 2:
        return LedgerCommand{CommandId(id), {claimOperation(start)}};
    case 3:
        return LedgerCommand{CommandId(id),
                             {LedgerOperation{{LedgerKind::Bill, id}, BillValue{}, {}}}};
    case 4:
        return ClaimCommand{CommandId(id), OperatorName("leader"), kStart.wall,
                            AbandonClaims{start.claimant.vm, Incarnation(1)}};
    default:
        return ClaimCommand{CommandId(id), OperatorName("operator"), kStart.wall,
                            ResolveClaim{start.key.name, ClaimResolution::DidNotRun, "checked"}};
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(concurrent_changes_of_same_revision_conflict)
{
    ControlState state;
    send(state, configCommand("fleet", Revision(0), SetFleet{fleet()}));
    const ConfigReply acceptedReply =
            send(state, configCommand("a", Revision(1), addExceptionChange("a")));
    const ConfigReply rejectedReply =
            send(state, configCommand("b", Revision(1), addExceptionChange("b")));
    BOOST_TEST(acceptedReply.accepted);
    BOOST_TEST(!rejectedReply.accepted);
    BOOST_TEST((rejectedReply.revision == acceptedReply.revision));
    BOOST_TEST(rejectedReply.detail.find("operator-a") != std::string::npos);
    BOOST_TEST(state.config().config()->exceptions.size() == 1U);
}

BOOST_AUTO_TEST_CASE(resent_command_after_leader_change_returns_original_reply)
{
    ControlState state;
    send(state, configCommand("fleet", Revision(0), SetFleet{fleet()}));
    const ConfigCommand command = configCommand("a", Revision(1), addExceptionChange("a"));
    const ConfigReply first = send(state, command);
    send(state, configCommand("b", Revision(2), addExceptionChange("b")));
    ControlState nextLeader(state.data());
    BOOST_TEST((send(nextLeader, command) == first));
    BOOST_TEST((nextLeader.data() == state.data()));
}

BOOST_AUTO_TEST_CASE(replay_and_snapshot_restore_yield_same_state)
{
    constexpr std::uint64_t kSeed = 20;
    constexpr int kChanges = 1000;
    BOOST_TEST_MESSAGE("seed " << kSeed);
    std::mt19937_64 random(kSeed);
    ControlState state;
    std::vector<ControlCommand> log{configCommand("fleet", Revision(0), SetFleet{fleet()})};
    state.apply(log.back());
    std::vector<ControlStateData> snapshots;
    while (toNumber(revisionOf(state)) < kChanges) {
        if (log.size() % 500 == 0)
            snapshots.push_back(state.data());
        log.push_back(randomCommand(random, state, static_cast<int>(log.size())));
        state.apply(log.back());
    }
    BOOST_TEST_REQUIRE(!snapshots.empty());
    ControlState replayed;
    for (const ControlCommand &command : log)
        replayed.apply(command);
    BOOST_TEST((replayed.data() == state.data()));
    for (std::size_t index = 0; index < snapshots.size(); ++index) {
        ControlState restored(snapshots[index]);
        for (std::size_t at = (index + 1) * 500; at < log.size(); ++at)
            restored.apply(log[at]);
        BOOST_TEST((restored.data() == state.data()));
        BOOST_TEST((restored.ledger().runningClaimants() == state.ledger().runningClaimants()));
        BOOST_TEST((restored.ledger().exportBills(0, log.size())
                    == state.ledger().exportBills(0, log.size())));
    }
}

BOOST_AUTO_TEST_CASE(leader_change_during_rollout_advances_stage_once)
{
    ControlState state;
    send(state, configCommand("fleet", Revision(0), SetFleet{fleet()}));
    const RolloutGate gate{60s, 10};
    send(state,
         configCommand(
                 "start", Revision(1),
                 StartRollout{kModel, kNewVersion.version, {50, 1000}, "cheaper", {gate, gate}}));
    const ClockReading due{kStart.monotonic + 60s, kStart.wall + 60s};
    const RolloutEvidence evidence{kNewVersion, 0, 10, VersionVerdict::Acceptable, ""};
    const auto proposeOn = [&](const ControlState &leader, const ClockReading &electedAt) {
        return RolloutSchedule(electedAt).propose(*leader.config().config(), {evidence}, due);
    };
    const ConfigCommand first = *proposeOn(state, kStart);
    ControlState nextLeader(state.data()); // elected before it received the step
    const ConfigCommand second = *proposeOn(nextLeader, due);
    for (const ConfigCommand &command : {first, second, first})
        nextLeader.apply(command);
    BOOST_TEST(nextLeader.config().config()->models[0].rollout->stage == 1U);
    BOOST_TEST((revisionOf(nextLeader) == Revision(3)));
    BOOST_TEST(!proposeOn(nextLeader, due).has_value());
}

BOOST_AUTO_TEST_CASE(completion_after_claimant_loss_conflicts)
{
    ControlState state;
    BOOST_TEST((applyClaim(state, claimStart("r1", "vm1")) == ResendOutcome::Run));
    state.apply(ClaimCommand{CommandId("c"), OperatorName("leader"), kStart.wall,
                             AbandonClaims{VmId("vm1"), Incarnation(1)}});
    const LedgerOperation finish =
            finishOperation(claimStart("r1", "vm1"), {200, "text/plain", "ok"});
    const ControlReply reply = state.apply(LedgerCommand{CommandId("l"), {finish}});
    BOOST_TEST((std::get<LedgerReply>(reply).outcomes[0].status == LedgerStatus::Conflict));
    BOOST_TEST((applyClaim(state, claimStart("r2", "vm2")) == ResendOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(restored_leader_waits_for_leases_and_abandons_lost_claims)
{
    // The repaired control VM has only a snapshot, and the VM that created it fails immediately
    // afterwards.
    ControlState state;
    applyClaim(state, claimStart("r1", "vm1"));
    ControlState repaired(state.data());
    EntryRegistry registry(kStart.monotonic);
    const ClockReading atTimeout{kStart.monotonic + EntryRegistry::kFailureTimeout, kStart.wall};
    const ClockReading beforeTimeout{atTimeout.monotonic - 1ms, kStart.wall};
    BOOST_TEST(abandonLostClaims(repaired.ledger(), registry, beforeTimeout).empty());
    BOOST_TEST((applyClaim(repaired, claimStart("r2", "vm2")) == ResendOutcome::StillRunning));
    // The repaired VM becomes the leader and waits for leases granted by its predecessor, of which
    // it has no record.
    LeaseGranter granter(GroupId(0));
    const LeaderAuthority authority{9, kStart.monotonic + 1h, true};
    granter.startTerm(authority, kStart);
    BOOST_TEST((granter.inForce().poll(Revision(5), kStart) == Revision(0)));
    BOOST_TEST((granter.inForce().remainingPredecessorLease() == kConfigLeaseDuration));
    const ClockReading after{kStart.monotonic + kConfigLeaseDuration,
                             kStart.wall + kConfigLeaseDuration};
    BOOST_TEST((granter.inForce().poll(Revision(5), after) == Revision(5)));
    const std::vector<ClaimCommand> abandonCommands =
            abandonLostClaims(repaired.ledger(), registry, atTimeout);
    BOOST_TEST_REQUIRE(abandonCommands.size() == 1U);
    repaired.apply(abandonCommands[0]);
    BOOST_TEST((applyClaim(repaired, claimStart("r2", "vm2")) == ResendOutcome::Unknown));
    BOOST_TEST(abandonLostClaims(repaired.ledger(), registry, atTimeout).empty());
}

BOOST_AUTO_TEST_CASE(claimant_is_lost_only_after_full_heartbeat_timeout)
{
    ControlState state;
    applyClaim(state, claimStart("r1", "vm1"));
    EntryRegistry registry(kStart.monotonic);
    registry.heartbeat({{VmId("vm1"), Incarnation(1)}, 1, DataCentreId("dc"), false},
                       kStart.monotonic);
    const Duration justBelowTimeout = EntryRegistry::kFailureTimeout - 1ms;
    registry.recordActivity({VmId("vm1"), Incarnation(1)}, kStart.monotonic + justBelowTimeout);
    const ClockReading beforeLoss{kStart.monotonic + 2 * justBelowTimeout, kStart.wall};
    BOOST_TEST(abandonLostClaims(state.ledger(), registry, beforeLoss).empty());
    const ClockReading atLoss{kStart.monotonic + 2 * justBelowTimeout + 1ms, kStart.wall};
    BOOST_TEST(abandonLostClaims(state.ledger(), registry, atLoss).size() == 1U);
}

BOOST_AUTO_TEST_CASE(wall_clock_jumps_do_not_extend_dispatch_window)
{
    const ClaimStart start = claimStart("r1", "vm1");
    const ClockReading wallAhead{kStart.monotonic + 10ms, kStart.wall + 24h};
    const ClockReading wallBehind{kStart.monotonic + 10ms, kStart.wall - 24h};
    const ClockReading wallBehindAfterWindow{kStart.monotonic + kClaimDispatchWindow,
                                             kStart.wall - 24h};
    BOOST_TEST(!isWithinDispatchWindow(start, wallAhead));
    BOOST_TEST(isWithinDispatchWindow(start, wallBehind));
    BOOST_TEST(!isWithinDispatchWindow(start, wallBehindAfterWindow));
}

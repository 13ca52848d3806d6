// Tests compare-and-set, resent commands and put-if-absent in the replicated state.

#define BOOST_TEST_MODULE control_state
#include "core/config/control_state.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

FleetConfig fleet()
{
    FleetConfig config;
    ModelSpec model;
    model.name = ModelName("m");
    model.versions = {VersionSpec{.name = VersionName("1")}, VersionSpec{.name = VersionName("2")}};
    model.stable = VersionName("1");
    config.models = {model};
    return config;
}

ConfigCommand command(const char *id, std::uint64_t expected, ConfigChange change)
{
    return ConfigCommand{CommandId(id), OperatorName("op"), WallTime{}, Revision(expected),
                         std::move(change)};
}

ConfigReply applyTo(ControlState &state, const ConfigCommand &sent)
{
    return std::get<ConfigReply>(state.apply(sent));
}

ControlState stateWithFleet()
{
    ControlState state;
    BOOST_TEST_REQUIRE(applyTo(state, command("c1", 0, SetFleet{fleet()})).accepted);
    return state;
}

} // namespace

BOOST_AUTO_TEST_CASE(revision_conflict_names_accepted_change)
{
    ControlState state = stateWithFleet();
    const ConfigReply rejectedReply = applyTo(state, command("c2", 0, SetFleet{fleet()}));
    BOOST_TEST(!rejectedReply.accepted);
    BOOST_TEST((rejectedReply.error == CoreError::RevisionConflict));
    BOOST_TEST((rejectedReply.revision == Revision(1)));
    BOOST_TEST(rejectedReply.detail.find("op (set fleet)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(resent_command_returns_recorded_reply)
{
    ControlState state = stateWithFleet();
    const ConfigCommand withdraw =
            command("c2", 1, WithdrawVersion{{ModelName("m"), VersionName("2")}, "bad drafts"});
    const ConfigReply first = applyTo(state, withdraw);
    const ControlStateData before = state.data();
    BOOST_TEST((applyTo(state, withdraw) == first));
    BOOST_TEST((state.data() == before));
}

BOOST_AUTO_TEST_CASE(withdrawn_version_remains_withdrawn)
{
    ControlState state = stateWithFleet();
    const ModelVersion withdrawnVersion{ModelName("m"), VersionName("2")};
    BOOST_TEST(applyTo(state, command("c2", 1, WithdrawVersion{withdrawnVersion, "bad drafts"}))
                       .accepted);
    BOOST_TEST(applyTo(state, command("c3", 2, SetFleet{fleet()})).accepted);
    BOOST_TEST((findVersion(*state.config().config(), withdrawnVersion)->state
                == VersionState::Withdrawn));
    BOOST_TEST(!applyTo(state, command("c4", 3, HoldVersion{withdrawnVersion, false, "try again"}))
                        .accepted);
    FleetConfig withoutVersion = fleet();
    withoutVersion.models[0].versions.pop_back();
    BOOST_TEST(!applyTo(state, command("c5", 3, SetFleet{withoutVersion})).accepted);
}

BOOST_AUTO_TEST_CASE(snapshot_round_trip_preserves_state)
{
    ControlState state = stateWithFleet();
    const LedgerKey key{LedgerKind::Pin, "a/s"};
    const LedgerValue value = PinValue{{ModelName("m"), VersionName("1")}};
    state.apply(LedgerCommand{CommandId("l1"), {LedgerOperation{key, value, std::nullopt}}});
    const ControlState restored(state.data());
    BOOST_TEST((restored.data() == state.data()));
    BOOST_TEST((restored.ledger().find(key) == value));
}

BOOST_AUTO_TEST_CASE(put_if_absent_returns_existing_value)
{
    Ledger ledger;
    const LedgerKey key{LedgerKind::Claim, "a/k"};
    ClaimValue running;
    running.attempt = RequestId("r1");
    const LedgerOperation put{key, running, std::nullopt};
    BOOST_TEST((ledger.apply(put).status == LedgerStatus::Created));
    ClaimValue other = running;
    other.attempt = RequestId("r2");
    const LedgerOutcome second = ledger.apply(LedgerOperation{key, other, std::nullopt});
    BOOST_TEST((second.status == LedgerStatus::Exists));
    BOOST_TEST((second.current == LedgerValue(running)));
    ClaimValue done = running;
    done.state = ClaimState::Done;
    BOOST_TEST((ledger.apply({key, done, other}).status == LedgerStatus::Conflict));
    BOOST_TEST((ledger.apply({key, done, running}).status == LedgerStatus::Replaced));
    const LedgerOperation wrongKind{{LedgerKind::Bill, "b"}, running, std::nullopt};
    BOOST_TEST((ledger.apply(wrongKind).status == LedgerStatus::Conflict));
}

// JSON codecs: an encoded value decodes to an equal value, and an unknown field is rejected with
// its path.

#define BOOST_TEST_MODULE codec_round_trip_json_test

#include "net/config_json.h"
#include "net/control_json.h"
#include "net/endpoint_json.h"
#include "net/event_json.h"
#include "net/ledger_json.h"
#include "net/text_json.h"

#include <boost/test/unit_test.hpp>

namespace fireflyroute::net {

namespace {

const core::ModelVersion kVersion{core::ModelName("returns"), core::VersionName("3")};
const core::WallTime kTime{std::chrono::milliseconds(1'700'000'000'123)};

core::ConfigException fullException()
{
    core::ConfigException exception;
    exception.id = core::ExceptionId("e-1");
    exception.account = core::ClientAccountId("duka-1");
    exception.task = core::TaskName("tag");
    exception.rank = core::Rank::Urgent;
    exception.model = kVersion.model;
    exception.version = kVersion.version;
    exception.effect = core::ExceptionEffect::QualityTarget;
    exception.value = 0.875;
    exception.reason = "a \"quoted\" reason\nover two lines";
    exception.author = core::OperatorName("anna");
    exception.createdAt = kTime;
    exception.expiresAt = kTime + std::chrono::hours(1);
    return exception;
}

core::FleetConfig fullConfig()
{
    core::FleetConfig config;
    config.revision = core::Revision(17);
    config.defaults.tasks = {{core::TaskName("tag"), 0.75}};
    config.defaults.qualityTarget = 0.625;
    config.defaults.ranks[0].queueLimit = 3;
    config.defaults.firstByteTimeout = std::chrono::milliseconds(1234);
    core::ModelSpec model;
    model.name = kVersion.model;
    model.stable = core::VersionName("2");
    model.versions = {{core::VersionName("2"), core::VersionState::Held, "slow", 5, 6, 0.5},
                      {kVersion.version, core::VersionState::Serving, "", 7, 8, 0.25}};
    model.rollout = core::Rollout{
            core::VersionName("2"), kVersion.version, core::RolloutPhase::Held, {50, 1000}, 1,
            "looks better"};
    config.models = {model};
    core::ClientAccount account;
    account.id = core::ClientAccountId("duka-1");
    account.keySalt = "aa";
    account.keyHash = "bb";
    account.weight = 4;
    account.tokensPerMinute = 1000;
    account.maxConcurrent = 2;
    account.maxRank = core::Rank::Normal;
    account.allowed = {{kVersion.model, kVersion.version}, {kVersion.model, std::nullopt}};
    config.accounts = {account};
    config.services = {{core::ServiceName("refunds"), {{"POST", "/postings"}}, {account.id}}};
    config.exceptions = {fullException()};
    return config;
}

std::vector<core::LedgerValue> ledgerValues()
{
    core::ClaimValue claim;
    claim.state = core::ClaimState::Done;
    claim.fingerprint = "f0";
    claim.attempt = core::RequestId("r-1");
    claim.claimant = core::VmId("vm-1");
    claim.claimantIncarnation = core::Incarnation(5);
    claim.answerStatus = 200;
    claim.answerType = "application/json";
    claim.answerBody = "{}";
    claim.reason = "checked by hand";
    core::BillValue bill;
    bill.account = core::ClientAccountId("duka-1");
    bill.version = kVersion;
    bill.promptTokens = 10;
    bill.outputTokens = 20;
    bill.cost = 1234567890123;
    bill.complete = false;
    return {core::PinValue{kVersion}, claim, bill};
}

core::ConfigCommand configCommand(const core::ConfigChange &change)
{
    core::ConfigCommand command;
    command.id = core::CommandId("c-1");
    command.author = core::OperatorName("anna");
    command.at = kTime;
    command.expected = core::Revision(16);
    command.change = change;
    return command;
}

// Writes and parses JSON text, as in the communication between processes.
Json::Value parseWrittenJson(const Json::Value &json)
{
    return parseJson(writeJson(json)).value();
}

template<typename Value, typename Read>
void checkRoundTrip(const Value &value, Read read)
{
    const auto decoded = read(parseWrittenJson(toJson(value)), "it");
    const std::string problem = decoded.has_value() ? "" : decoded.error().detail;
    BOOST_REQUIRE_EQUAL(problem, "");
    BOOST_TEST((decoded.value() == value));
}

template<typename Read>
void checkUnknownField(Json::Value json, Read read, const std::string &detail)
{
    const auto decoded = read(json, "it");
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST(decoded.error().detail == detail);
}

} // namespace

BOOST_AUTO_TEST_CASE(configuration_round_trip)
{
    checkRoundTrip(core::FleetConfig(), readFleetConfig);
    checkRoundTrip(fullConfig(), readFleetConfig);
    checkRoundTrip(fullException(), readException);
    checkRoundTrip(kVersion, readModelVersion);
}

BOOST_AUTO_TEST_CASE(control_commands_round_trip)
{
    const std::vector<core::ConfigChange> changes{
            core::SetFleet{fullConfig()},
            core::AddException{fullException()},
            core::RemoveException{core::ExceptionId("e-1"), "over"},
            core::StartRollout{kVersion.model, kVersion.version, {50, 1000}, "better"},
            core::StepRollout{kVersion.model, core::RolloutStep::Finish, "good"},
            core::WithdrawVersion{kVersion, "wrong totals"},
            core::HoldVersion{kVersion, false, "mended"},
    };
    for (const core::ConfigChange &change : changes)
        checkRoundTrip(core::ControlCommand(configCommand(change)), readControlCommand);
    core::LedgerCommand ledger;
    ledger.id = core::CommandId("l-1");
    for (const core::LedgerValue &value : ledgerValues()) {
        const core::LedgerKey key{core::LedgerKind::Claim, "duka-1/k"};
        ledger.operations.push_back({key, value, std::nullopt});
        ledger.operations.push_back({key, value, value});
    }
    checkRoundTrip(core::ControlCommand(ledger), readControlCommand);
}

BOOST_AUTO_TEST_CASE(control_messages_round_trip)
{
    const core::VmAddress vm{core::VmId("vm-1"), core::Incarnation(9), "http://127.0.0.1:1",
                             core::DataCentreId("brno")};
    checkRoundTrip(core::FollowRequest{core::GroupId(2), vm, 4, core::Revision(3), true},
                   readFollowRequest);
    core::FollowReply follow;
    follow.group = core::GroupId(2);
    follow.granted = true;
    follow.number = 4;
    follow.term = 6;
    follow.leaderAddress = "http://127.0.0.1:2";
    follow.lease = std::chrono::milliseconds(3000);
    follow.revision = core::Revision(17);
    follow.config = fullConfig();
    follow.entries = {vm};
    checkRoundTrip(follow, readFollowReply);
    const core::ControlCommand command = configCommand(core::WithdrawVersion{kVersion, "bad"});
    checkRoundTrip(core::SubmitRequest{core::GroupId(2), command}, readSubmitRequest);
    core::LedgerReply outcomes;
    outcomes.outcomes = {{core::LedgerStatus::Conflict, ledgerValues().front()},
                         {core::LedgerStatus::Created, std::nullopt}};
    checkRoundTrip(core::SubmitReply{core::GroupId(2), outcomes, "http://127.0.0.1:2", ""},
                   readSubmitReply);
    const core::ConfigReply refused{false, core::Revision(4), core::CoreError::RevisionConflict,
                                    "anna was first"};
    checkRoundTrip(core::ControlReply(refused), readControlReply);
}

BOOST_AUTO_TEST_CASE(announcements_and_events_round_trip)
{
    core::EndpointAnnouncement announcement;
    announcement.id = core::EndpointId("engine-1");
    announcement.incarnation = core::Incarnation(3);
    announcement.sequence = 4;
    announcement.address = "http://127.0.0.1:3";
    announcement.dataCentre = core::DataCentreId("brno");
    announcement.phase = core::EndpointPhase::Leaving;
    announcement.versions = {kVersion};
    announcement.services = {core::ServiceName("refunds")};
    announcement.checksFencing = true;
    announcement.load = {1, 2, 3, 4.5};
    announcement.cachedPrefixes = {0, ~std::uint64_t(0)};
    checkRoundTrip(announcement, readAnnouncement);
    core::Event event;
    event.kind = core::EventKind::VersionWithdrawn;
    event.at = {kTime, 7};
    event.vm = core::VmId("vm-1");
    event.incarnation = core::Incarnation(3);
    event.sequence = 8;
    event.request = core::RequestId("r-1");
    event.version = kVersion;
    event.endpoint = core::EndpointId("engine-1");
    event.account = core::ClientAccountId("duka-1");
    event.revision = core::Revision(9);
    event.detail = "by anna";
    checkRoundTrip(event, readEvent);
}

BOOST_AUTO_TEST_CASE(unknown_fields_are_rejected_with_their_path)
{
    Json::Value config = toJson(fullConfig());
    config["models"][0]["versions"][1]["colour"] = "red";
    checkUnknownField(config, readFleetConfig, "it.models[0].versions[1].colour: unknown field");
    config = toJson(fullConfig());
    config["exceptions"][0]["colour"] = "red";
    checkUnknownField(config, readFleetConfig, "it.exceptions[0].colour: unknown field");
    Json::Value command =
            toJson(core::ControlCommand(configCommand(core::WithdrawVersion{kVersion, "bad"})));
    command["config"]["colour"] = "red";
    checkUnknownField(command, readControlCommand, "it.config.colour: unknown field");
    Json::Value announcement = toJson(core::EndpointAnnouncement());
    announcement["load"]["colour"] = "red";
    checkUnknownField(announcement, readAnnouncement, "it.load.colour: unknown field");
    Json::Value event = toJson(core::Event());
    event["colour"] = "red";
    checkUnknownField(event, readEvent, "it.colour: unknown field");
    Json::Value value = toJson(ledgerValues()[1]);
    value["claim"]["colour"] = "red";
    checkUnknownField(value, readLedgerValue, "it.claim.colour: unknown field");
}

} // namespace fireflyroute::net

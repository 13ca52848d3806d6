// Binary codec of site messages: encoded values decode to equal values, and truncated frames are
// rejected.

#define BOOST_TEST_MODULE site_codec
#include "core/site/state_feed.h"
#include "net/site_codec.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>

using namespace fireflyroute;

namespace {

core::SiteData siteData()
{
    core::SiteData data;
    data.revision = 9;
    data.document = core::ConfigDocument{7, "{\"version\":7}"};
    core::SiteRollout rollout;
    rollout.service = core::ServiceName("llm");
    rollout.target = core::VersionName("v2");
    rollout.number = 3;
    rollout.stage = core::RolloutStage::Expanding;
    data.rollouts[rollout.service] = rollout;
    return data;
}

std::string hexOf(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes)
        text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    return text;
}

core::SiteData evacuatedSiteData()
{
    core::SiteData data = siteData();
    data.evacuations = {{core::DataCentreId("a"), 1'700'000'000'000},
                        {core::DataCentreId("praha-b"), 1'700'000'001'000}};
    return data;
}

// Encoding of siteData().rollouts.
const std::string kRolloutsHex = "0100000000000000"
                                 "03000000000000006c6c6d" // service
                                 "03000000000000006c6c6d"
                                 "02000000000000007632" // target
                                 "0300000000000000" // number
                                 "00000000" // duration
                                 "0000000000000000" // time of the order
                                 "01000000"; // stage

} // namespace

// The expected bytes are those of the builds before evacuations, which have to read them.
BOOST_AUTO_TEST_CASE(state_without_evacuations_is_encoded_as_before_evacuations)
{
    const std::string positionHex = "09000000000000000700000000000000"; // revision, version
    BOOST_TEST(hexOf(net::encodeSiteData(siteData()))
               == "01" + positionHex + "0d000000000000007b2276657273696f6e223a377d" + kRolloutsHex);
    core::StateUpdate update{siteData(), true};
    update.data.document->bytes = {};
    BOOST_TEST(hexOf(net::encodeMessage(update))
               == "0103000000" + positionHex
                          + "0800000000000000"
                            "7801030000000001"
                          + kRolloutsHex + "01");
    const core::SetRolloutStage stageChange{core::ServiceName("llm"), 3,
                                            core::RolloutStage::Completed};
    BOOST_TEST(hexOf(net::encodeCommand(stageChange))
               == "010200000003000000000000006c6c6d030000000000000002000000");
}

// The expected bytes are those of the builds that take version 0 for no document. They have to read
// what is sent beside and before such a document.
BOOST_AUTO_TEST_CASE(state_without_a_document_is_encoded_as_before_version_zero)
{
    core::SiteData data;
    data.revision = 9;
    const std::string positionHex = "09000000000000000000000000000000"; // revision, version
    const std::string emptyHex = "0000000000000000"; // bytes or roll-outs
    BOOST_TEST(hexOf(net::encodeSiteData(data)) == "01" + positionHex + emptyHex + emptyHex);
    BOOST_TEST((net::decodeSiteData(net::encodeSiteData(data)).value() == data));
    BOOST_TEST(hexOf(net::encodeMessage(core::StateRequest{9, std::nullopt}))
               == "010a000000" + positionHex);
    const core::Handshake handshake{core::VmId("a"), true, core::DataCentreId("b")};
    const std::string handshakeHex = "0100000000"
                                     "010000000000000061"
                                     "01"
                                     "010000000000000062";
    BOOST_TEST(hexOf(net::encodeMessage(handshake)) == handshakeHex);
    const auto read = net::decodeMessage(net::encodeMessage(handshake));
    BOOST_TEST(!std::get<core::Handshake>(read.value()).holdsVersionZero);
}

// Earlier builds ignore what follows the fields that they know.
BOOST_AUTO_TEST_CASE(what_builds_tell_each_other_of_version_zero_follows_at_the_end)
{
    const core::Handshake handshake{core::VmId("a"), false, core::DataCentreId("b"), true};
    const std::string hello = net::encodeMessage(handshake);
    BOOST_TEST(hexOf(hello)
               == "0100000000"
                  "010000000000000061"
                  "00"
                  "010000000000000062"
                  "01");
    BOOST_TEST(std::get<core::Handshake>(net::decodeMessage(hello).value()).holdsVersionZero);
    const std::string request = net::encodeMessage(core::StateRequest{9, 0});
    BOOST_TEST(hexOf(request)
               == "010a000000"
                  "0900000000000000"
                  "0000000000000000"
                  "01");
    const auto read = net::decodeMessage(request);
    BOOST_TEST((std::get<core::StateRequest>(read.value()).documentVersion == 0U));
    const auto none = net::decodeMessage(request.substr(0, request.size() - 1));
    BOOST_TEST(!std::get<core::StateRequest>(none.value()).documentVersion.has_value());
}

// Guards against a document with version 0 that is lost where it is stored or sent (review/15).
BOOST_AUTO_TEST_CASE(document_with_version_zero_round_trips)
{
    for (core::SiteData data : {siteData(), evacuatedSiteData()}) {
        data.document = core::ConfigDocument{0, "{\"version\":0}"};
        const auto snapshot = net::decodeSiteData(net::encodeSiteData(data));
        BOOST_REQUIRE(snapshot);
        BOOST_TEST((snapshot.value() == data));
        const auto update = net::decodeMessage(net::encodeMessage(core::StateUpdate{data}));
        BOOST_REQUIRE(update);
        BOOST_TEST((std::get<core::StateUpdate>(update.value()).data == data));
    }
    const core::ConfigDocument document{0, "{\"version\":0}"};
    const auto command = net::decodeCommand(net::encodeCommand(core::PutDocument{document}));
    BOOST_REQUIRE(command);
    BOOST_TEST((std::get<core::PutDocument>(command.value()).document == document));
}

// Guards against an entry that holds version 0 and takes no state in which it is omitted.
BOOST_AUTO_TEST_CASE(omitted_document_with_version_zero_is_kept_by_the_entry)
{
    core::SiteData held = siteData();
    held.document = core::ConfigDocument{0, "{\"version\":0}"};
    core::SiteData next = held;
    next.revision = held.revision + 1;
    const auto update = core::StateFeed::answer({held.revision, 0}, next);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->documentOmitted);
    const auto read = net::decodeMessage(net::encodeMessage(*update));
    BOOST_REQUIRE(read);
    BOOST_TEST((core::StateFeed::merge(held, std::get<core::StateUpdate>(read.value())) == next));
}

// Builds that take version 0 for no document find a length that no document can have.
BOOST_AUTO_TEST_CASE(stored_document_with_version_zero_is_invalid_for_earlier_builds)
{
    const std::string markHex = "feffffffffffffff";
    core::SiteData data = siteData();
    data.document = core::ConfigDocument{0, "{}"};
    BOOST_TEST(hexOf(net::encodeSiteData(data)).substr(2 + 32, 16) == markHex);
    const std::string command = net::encodeCommand(core::PutDocument{{0, "{}"}});
    BOOST_TEST(hexOf(command)
               == "0100000000"
                  "0000000000000000"
                          + markHex
                          + "0200000000000000"
                            "7b7d");
}

BOOST_AUTO_TEST_CASE(evacuations_round_trip)
{
    const auto data = net::decodeSiteData(net::encodeSiteData(evacuatedSiteData()));
    BOOST_REQUIRE(data);
    BOOST_TEST((data.value() == evacuatedSiteData()));
    const auto update =
            net::decodeMessage(net::encodeMessage(core::StateUpdate{evacuatedSiteData()}));
    BOOST_REQUIRE(update);
    BOOST_TEST((std::get<core::StateUpdate>(update.value()).data == evacuatedSiteData()));
    const core::SetEvacuation order{core::DataCentreId("praha-a"), true, 1'700'000'000'000};
    const auto command = net::decodeCommand(net::encodeCommand(order));
    BOOST_REQUIRE(command);
    BOOST_TEST((std::get<core::SetEvacuation>(command.value()) == order));
}

// An entry of an older build reads an update up to where the evacuations begin, and goes on
// serving.
BOOST_AUTO_TEST_CASE(state_update_with_evacuations_begins_like_one_without)
{
    const std::string without = net::encodeMessage(core::StateUpdate{siteData()});
    const std::string with = net::encodeMessage(core::StateUpdate{evacuatedSiteData()});
    BOOST_TEST(with.size() > without.size());
    BOOST_TEST(with.starts_with(without));
}

// A control VM of an older build that read such a snapshot would lose acknowledged orders. It finds
// the length of the document, at this offset, larger than any string can be, and rejects it.
BOOST_AUTO_TEST_CASE(snapshot_with_evacuations_has_no_valid_document_for_older_builds)
{
    constexpr std::size_t kLengthOffset = 1 + 8 + 8; // after byte order, revision and version
    const std::string bytes = net::encodeSiteData(evacuatedSiteData());
    BOOST_TEST(hexOf(std::string_view(bytes).substr(kLengthOffset, 8)) == "ffffffffffffffff");
}

BOOST_AUTO_TEST_CASE(truncated_evacuations_are_rejected)
{
    const std::string bytes = net::encodeSiteData(evacuatedSiteData());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!net::decodeSiteData(std::string_view(bytes).substr(0, size)));
    // An update that ends before the evacuations is one without.
    const std::size_t begin = net::encodeMessage(core::StateUpdate{siteData()}).size();
    const std::string update = net::encodeMessage(core::StateUpdate{evacuatedSiteData()});
    for (std::size_t size = begin + 1; size < update.size(); ++size)
        BOOST_TEST(!net::decodeMessage(std::string_view(update).substr(0, size)));
}

BOOST_AUTO_TEST_CASE(state_and_commands_round_trip)
{
    const auto data = net::decodeSiteData(net::encodeSiteData(siteData()));
    BOOST_REQUIRE(data);
    BOOST_TEST((data.value() == siteData()));
    const core::SetRolloutStage stageChange{core::ServiceName("llm"), 3,
                                            core::RolloutStage::Completed};
    const auto command = net::decodeCommand(net::encodeCommand(stageChange));
    BOOST_REQUIRE(command);
    const auto &read = std::get<core::SetRolloutStage>(command.value());
    BOOST_TEST(read.number == 3U);
    BOOST_TEST((read.stage == core::RolloutStage::Completed));
}

BOOST_AUTO_TEST_CASE(replica_messages_round_trip)
{
    core::ReplicaMessage message;
    message.group = core::GroupId{1};
    message.from = {core::VmId("10.0.0.1"), core::Incarnation{1}};
    message.to = {core::VmId("10.0.0.2"), core::Incarnation{8}};
    message.term = 4;
    core::LogEntry entry{.index = 5, .term = 4, .kind = core::EntryKind::Membership};
    entry.membership.members = {{message.from, core::MemberRole::Voter}};
    message.body = core::AppendRequest{4, 3, {entry}, 4, 17};
    const auto read = net::decodeMessage(net::encodeMessage(message));
    BOOST_REQUIRE(read);
    BOOST_TEST((std::get<core::ReplicaMessage>(read.value()) == message));
}

BOOST_AUTO_TEST_CASE(endpoint_records_and_work_reports_round_trip)
{
    core::EndpointRecord record;
    record.id = core::EndpointId("i-1");
    record.state = core::EndpointRecordState::Draining;
    record.sequence = core::kFinalSequence;
    record.unresponsive = true;
    const auto update = net::decodeMessage(net::encodeMessage(core::EndpointUpdate{{record}}));
    BOOST_REQUIRE(update);
    BOOST_TEST((std::get<core::EndpointUpdate>(update.value()).records.at(0) == record));
    const core::WorkReport workReport{{{core::EndpointId("i-1"), 3, 4000}}};
    const auto report = net::decodeMessage(net::encodeMessage(workReport));
    BOOST_REQUIRE(report);
    BOOST_TEST((std::get<core::WorkReport>(report.value()) == workReport));
}

BOOST_AUTO_TEST_CASE(entry_updates_round_trip)
{
    core::EntryUpdate update;
    BOOST_TEST(update.isEmpty());
    update.sessions = {{core::SessionId("s"), core::VersionName("v2"), true}};
    update.prompts = {{core::EndpointId("i-1"), {7, 8}}};
    update.refusingEndpoints = {core::EndpointId("i-2")};
    BOOST_TEST(!update.isEmpty());
    const auto read = net::decodeMessage(net::encodeMessage(update));
    BOOST_REQUIRE(read);
    BOOST_TEST((std::get<core::EntryUpdate>(read.value()) == update));
}

BOOST_AUTO_TEST_CASE(crash_reports_and_quarantines_round_trip)
{
    core::CrashReport report;
    BOOST_TEST(report.isEmpty());
    report.crashes = {
            {core::EndpointId("i-1"), 5, core::ServiceName("llm"), {core::RequestTrait{0xdead}}}};
    report.answered = {core::RequestTrait{1}};
    report.answers = {{core::ServiceName("llm"), 20}};
    report.quarantined = {{core::RequestTrait{2}, std::chrono::minutes(3)}};
    const auto read = net::decodeMessage(net::encodeMessage(report));
    BOOST_REQUIRE(read);
    BOOST_TEST((std::get<core::CrashReport>(read.value()) == report));
    core::QuarantineState state{report.answered, report.quarantined, {}, {}};
    const std::string withoutTrials = net::encodeMessage(state);
    const auto readState = net::decodeMessage(withoutTrials);
    BOOST_REQUIRE(readState);
    BOOST_TEST((std::get<core::QuarantineState>(readState.value()) == state));
    // What earlier builds don't know follows at the end, where they ignore it.
    const std::string withoutRefused = net::encodeMessage(report);
    report.refused = {core::RequestTrait{3}};
    state.trials = {core::RequestTrait{4}};
    const std::string bytes = net::encodeMessage(report);
    const std::string stateBytes = net::encodeMessage(state);
    BOOST_TEST(bytes.starts_with(withoutRefused));
    BOOST_TEST(stateBytes.starts_with(withoutTrials));
    const auto readRefused = net::decodeMessage(bytes);
    const auto readTrials = net::decodeMessage(stateBytes);
    BOOST_REQUIRE((readRefused && readTrials));
    BOOST_TEST((std::get<core::CrashReport>(readRefused.value()) == report));
    BOOST_TEST((std::get<core::QuarantineState>(readTrials.value()) == state));
}

BOOST_AUTO_TEST_CASE(isolation_and_relays_round_trip)
{
    const auto probe = net::decodeMessage(net::encodeMessage(core::FreshnessProbe{7, true}));
    BOOST_REQUIRE(probe);
    BOOST_TEST(std::get<core::FreshnessProbe>(probe.value()).nonce == 7U);
    BOOST_TEST(std::get<core::FreshnessProbe>(probe.value()).isolated);
    const core::RelayList list{{core::VmId("10.0.0.7"), core::VmId("10.0.0.2")}};
    const auto read = net::decodeMessage(net::encodeMessage(list));
    BOOST_REQUIRE(read);
    BOOST_TEST((std::get<core::RelayList>(read.value()) == list));
}

BOOST_AUTO_TEST_CASE(grants_for_cold_endpoints_round_trip)
{
    const core::ColdGrants grants{7, {{core::EndpointId("e1"), 2}}};
    const auto read = net::decodeMessage(net::encodeMessage(grants));
    BOOST_REQUIRE(read);
    BOOST_TEST((std::get<core::ColdGrants>(read.value()) == grants));
}

BOOST_AUTO_TEST_CASE(announcements_and_requests_of_the_state_round_trip)
{
    const auto announcement =
            net::decodeMessage(net::encodeMessage(core::StateAnnouncement{9, true}));
    BOOST_REQUIRE(announcement);
    BOOST_TEST(std::get<core::StateAnnouncement>(announcement.value()).revision == 9U);
    BOOST_TEST(std::get<core::StateAnnouncement>(announcement.value()).sameRegion);
    const auto request = net::decodeMessage(net::encodeMessage(core::StateRequest{8, 7}));
    BOOST_REQUIRE(request);
    BOOST_TEST(std::get<core::StateRequest>(request.value()).revision == 8U);
    BOOST_TEST((std::get<core::StateRequest>(request.value()).documentVersion == 7U));
}

// Guards against inc1: the transfer of a configuration of 1.2 MB took an entry's network link of
// 10 Mbit/s for a second, in which all answers to callers were late.
BOOST_AUTO_TEST_CASE(configuration_of_thousands_of_routes_is_transferred_compressed)
{
    constexpr std::size_t kRoutes = 4200;
    constexpr std::size_t kMaxBytes = 250'000; // takes 0.2 s at 10 Mbit/s
    std::mt19937 random(1);
    core::StateUpdate update{siteData()};
    std::string document;
    for (std::size_t i = 0; i < kRoutes; ++i) {
        document += fmt::format(
                R"({{"name":"r-{:07x}","host":"nobo35.example","pathPrefix":"/{:08x}/",)"
                R"("kind":"streaming","timeoutMs":20000,"targetLatencyMs":8000,"priority":2,)"
                R"("sizes":["daka510000","rada7437b5","ravo486f6a"],"service":"huvo11a",)"
                R"("maxAttempts":3,"public":false,"sticky":true,"resumable":true}},)",
                random() & 0xfffffffU, random());
    }
    update.data.document = core::ConfigDocument{1, document};
    const std::string bytes = net::encodeMessage(update);
    BOOST_TEST(document.size() > 1'000'000U);
    BOOST_TEST(bytes.size() < kMaxBytes);
    const auto read = net::decodeMessage(bytes);
    BOOST_REQUIRE(read);
    BOOST_TEST((std::get<core::StateUpdate>(read.value()).data == update.data));
}

BOOST_AUTO_TEST_CASE(damaged_compression_is_rejected)
{
    std::string bytes = net::encodeMessage(core::StateUpdate{siteData()});
    const std::size_t packed = bytes.find('\x78'); // first byte of a zlib stream
    BOOST_REQUIRE(packed != std::string::npos);
    bytes[packed + 4] = static_cast<char>(~bytes[packed + 4]);
    BOOST_TEST(!net::decodeMessage(bytes));
}

BOOST_AUTO_TEST_CASE(truncated_frames_are_rejected)
{
    const std::string bytes = net::encodeMessage(core::StateUpdate{siteData()});
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!net::decodeMessage(std::string_view(bytes).substr(0, size)));
}

// Messages between own processes read back as they were written, and broken ones are refused.

#define BOOST_TEST_MODULE site_codec
#include "net/site_codec.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute;

namespace {

core::SiteData siteData()
{
    core::SiteData data;
    data.revision = 9;
    data.document = {7, "{\"version\":7}"};
    core::Rollout rollout;
    rollout.service = core::ServiceName("llm");
    rollout.target = core::VersionName("v2");
    rollout.number = 3;
    rollout.stage = core::RolloutStage::Expanding;
    data.rollouts[rollout.service] = rollout;
    return data;
}

} // namespace

BOOST_AUTO_TEST_CASE(state_and_commands_read_back)
{
    const auto data = net::decodeSiteData(net::encodeSiteData(siteData()));
    BOOST_REQUIRE(data);
    BOOST_TEST((data.value() == siteData()));
    const core::MoveRollout move{core::ServiceName("llm"), 3, core::RolloutStage::Completed};
    const auto command = net::decodeCommand(net::encodeCommand(move));
    BOOST_REQUIRE(command);
    const auto &read = std::get<core::MoveRollout>(command.value());
    BOOST_TEST(read.number == 3U);
    BOOST_TEST((read.stage == core::RolloutStage::Completed));
}

BOOST_AUTO_TEST_CASE(replica_messages_read_back)
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

BOOST_AUTO_TEST_CASE(records_and_work_read_back)
{
    core::EndpointRecord record;
    record.id = core::EndpointId("i-1");
    record.state = core::EndpointState::Draining;
    record.sequence = core::kLastSequence;
    record.silent = true;
    const auto update = net::decodeMessage(net::encodeMessage(core::EndpointUpdate{{record}}));
    BOOST_REQUIRE(update);
    BOOST_TEST((std::get<core::EndpointUpdate>(update.value()).records.at(0) == record));
    const core::WorkReport work{{{core::EndpointId("i-1"), 3, 4000}}};
    const auto report = net::decodeMessage(net::encodeMessage(work));
    BOOST_REQUIRE(report);
    BOOST_TEST((std::get<core::WorkReport>(report.value()) == work));
}

BOOST_AUTO_TEST_CASE(news_read_back)
{
    core::EntryNews news;
    BOOST_TEST(news.isEmpty());
    news.sessions = {{core::SessionId("s"), core::VersionName("v2"), true}};
    news.prompts = {{core::EndpointId("i-1"), {7, 8}}};
    news.refusing = {core::EndpointId("i-2")};
    BOOST_TEST(!news.isEmpty());
    const auto read = net::decodeMessage(net::encodeMessage(news));
    BOOST_REQUIRE(read);
    BOOST_TEST((std::get<core::EntryNews>(read.value()) == news));
}

BOOST_AUTO_TEST_CASE(frames_that_end_early_are_refused)
{
    const std::string bytes = net::encodeMessage(core::StateUpdate{siteData()});
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!net::decodeMessage(std::string_view(bytes).substr(0, size)));
}

// JSON codec of replica messages: messages round-trip through text, and invalid ones are rejected.

#define BOOST_TEST_MODULE replication_json
#include "net/replication_json.h"
#include "net/text_json.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::net;
namespace core = fireflyroute::core;

namespace {

// Contains every byte value, so that an encoding that is not binary-safe fails.
std::string allBytes()
{
    std::string bytes;
    for (int value = 0; value < 256; ++value)
        bytes += static_cast<char>(value);
    return bytes;
}

core::Membership makeMembership()
{
    return core::Membership{
            {{{core::VmId("vm1"), core::Incarnation{1}}, core::MemberRole::Voter},
             {{core::VmId("vm2"), core::Incarnation{~0ULL}}, core::MemberRole::Learner}}};
}

std::vector<core::MessageBody> allBodies()
{
    core::LogEntry command{.index = 8, .term = 3, .kind = core::EntryKind::Command};
    command.payload = allBytes();
    core::LogEntry change{.index = 9, .term = 3, .kind = core::EntryKind::Membership};
    change.membership = makeMembership();
    const core::LogEntry noop{.index = 7, .term = 3};
    return {core::PreVoteRequest{4, 2},
            core::VoteRequest{5, 3, true},
            core::VoteReply{true, false},
            core::AppendRequest{6, 2, {noop, command, change}, 5, ~0ULL},
            core::AppendReply{true, 1, 2, 3, 4},
            core::SnapshotChunk{{9, 3, makeMembership()}, 1000, 256, allBytes(), 12},
            core::SnapshotReply{9, 512, 13},
            core::TimeoutNow{},
            core::JoinRequest{core::MemberRole::Learner}};
}

core::ReplicaMessage makeMessage(const core::MessageBody &body)
{
    return core::ReplicaMessage{core::GroupId{5},
                                {core::VmId("vm1"), core::Incarnation{1}},
                                {core::VmId("vm2"), core::Incarnation{4}},
                                77,
                                body};
}

} // namespace

BOOST_AUTO_TEST_CASE(every_message_type_round_trips)
{
    BOOST_TEST(allBodies().size() == std::variant_size_v<core::MessageBody>);
    for (const core::MessageBody &body : allBodies()) {
        const core::ReplicaMessage message = makeMessage(body);
        const Json::Value value = parseJson(writeJson(toJson(message))).value();
        const Result<core::ReplicaMessage> decoded = readReplicaMessage(value);
        BOOST_TEST_REQUIRE(decoded.has_value(), writeJson(value));
        BOOST_TEST((decoded.value() == message), writeJson(value));
    }
}

BOOST_AUTO_TEST_CASE(missing_or_mistyped_field_is_rejected)
{
    for (const core::MessageBody &body : allBodies()) {
        const Json::Value complete = toJson(makeMessage(body));
        for (const std::string &name : complete.getMemberNames()) {
            Json::Value altered = complete;
            altered.removeMember(name);
            BOOST_TEST(!readReplicaMessage(altered).has_value(), "without " << name);
            altered = complete;
            altered[name] = -1;
            BOOST_TEST(!readReplicaMessage(altered).has_value(), "mistyped " << name);
        }
    }
}

BOOST_AUTO_TEST_CASE(invalid_values_are_rejected_with_the_field_name)
{
    for (const char *text : {"null", "[]", "{}", "7", "\"x\""}) {
        const Json::Value value = parseJson(text).value();
        BOOST_TEST(!readReplicaMessage(value).has_value(), text);
    }
    Json::Value value = toJson(makeMessage(core::JoinRequest{}));
    value["role"] = "emperor";
    BOOST_TEST(readReplicaMessage(value).error().detail == "replica message: role");
    value = toJson(makeMessage(core::TimeoutNow{}));
    value["group"] = Json::Value(Json::UInt64(1) << 32);
    BOOST_TEST(!readReplicaMessage(value).has_value());
    value = toJson(makeMessage(allBodies()[3]));
    value["entries"][1]["data"] = "A===";
    BOOST_TEST(!readReplicaMessage(value).has_value());
}

BOOST_AUTO_TEST_CASE(base64_decoder_accepts_only_canonical_text)
{
    for (std::size_t size = 0; size < 10; ++size) {
        const std::string bytes = allBytes().substr(250, size);
        BOOST_TEST(decodeBase64(encodeBase64(bytes)).value() == bytes);
    }
    for (const char *text : {"A", "AA", "AAA", "====", "AA==\n", " AAAA", "AAAA=", "A*AA", "AB=="})
        BOOST_TEST(!decodeBase64(text).has_value(), text);
}

// Tests the directory with delayed, repeated and reordered announcements, and its expiry.

#define BOOST_TEST_MODULE directory
#include "core/endpoints/directory.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
constexpr Duration kExpiry = 3s;
const ModelVersion kVersion{ModelName("m"), VersionName("1")};

EndpointAnnouncement makeAnnouncement(std::uint64_t sequence, EndpointPhase phase)
{
    EndpointAnnouncement announcement;
    announcement.id = EndpointId("e1");
    announcement.incarnation = Incarnation(7);
    announcement.sequence = sequence;
    announcement.phase = phase;
    announcement.versions = {kVersion};
    return announcement;
}

} // namespace

BOOST_AUTO_TEST_CASE(out_of_order_ready_announcement_does_not_undo_leaving)
{
    Directory directory(kExpiry);
    directory.announce(makeAnnouncement(1, EndpointPhase::Ready), 0ms, kStart);
    BOOST_TEST(directory.view(kStart)->byVersion.count(kVersion) == 1U);
    directory.announce(makeAnnouncement(3, EndpointPhase::Leaving), 0ms, kStart);
    BOOST_TEST((directory.announce(makeAnnouncement(2, EndpointPhase::Ready), 0ms, kStart)
                == DirectoryChange::None));
    BOOST_TEST(directory.view(kStart)->endpoints.empty());
}

BOOST_AUTO_TEST_CASE(expiry_is_measured_from_the_age_of_the_announcement)
{
    Directory directory(kExpiry);
    directory.announce(makeAnnouncement(1, EndpointPhase::Ready), 1s, kStart);
    BOOST_TEST(directory.view(kStart + 1999ms)->endpoints.size() == 1U);
    BOOST_TEST(directory.view(kStart + 2s)->endpoints.empty());
    BOOST_TEST(directory.expire(kStart + 2s).size() == 1U);
    BOOST_TEST(directory.all().empty());
}

BOOST_AUTO_TEST_CASE(new_incarnation_replaces_the_old_one_regardless_of_sequence)
{
    Directory directory(kExpiry);
    directory.announce(makeAnnouncement(90, EndpointPhase::Leaving), 0ms, kStart);
    EndpointAnnouncement restarted = makeAnnouncement(1, EndpointPhase::Ready);
    restarted.incarnation = Incarnation(8);
    BOOST_TEST((directory.announce(restarted, 0ms, kStart) == DirectoryChange::Changed));
    BOOST_TEST(directory.view(kStart)->endpoints.size() == 1U);
}

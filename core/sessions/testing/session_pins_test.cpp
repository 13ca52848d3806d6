// Sessions that move between entries during a roll-out.

#define BOOST_TEST_MODULE session_pins
#include "core/sessions/session_pins.h"

#include "core/versions/version_gate.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const VersionName kOld("v1");
const VersionName kNew("v2");
constexpr double kShare = 0.1;
constexpr Duration kTtl = 5s;
const Instant kStart = Instant() + 100s;

// The first session, numbered from `firstNumber`, that is or is not selected for the canary.
SessionId sessionWith(bool isSelected, int firstNumber = 0)
{
    for (int i = firstNumber;; ++i) {
        const std::string name = "session-" + std::to_string(i);
        if (VersionGate::isInShare(name, kShare) == isSelected)
            return SessionId(name);
    }
}

bool runsOnNew(const SessionPins &pins, const SessionId &session, Instant now)
{
    SiteRollout rollout;
    rollout.target = kNew;
    rollout.number = 7;
    rollout.stage = RolloutStage::Canary;
    VersionGate gate(&rollout, {});
    gate.sampleCanary(session.value(), kShare, pins.versionOf(session, now));
    return gate.admits(kNew);
}

} // namespace

// Guards against a session changing its version when it moves to another entry: the entry did not
// know which version had run the session and selected it for the canary. Found on site Mavuno,
// scenario quiet-1 with seed 619378315609.
BOOST_AUTO_TEST_CASE(session_keeps_its_version_on_another_entry)
{
    SessionPins first(kTtl, kShare);
    SessionPins second(kTtl, kShare);
    const SessionId session = sessionWith(true);
    BOOST_TEST(runsOnNew(second, session, kStart));
    first.recordStart(session, kOld, kStart);
    second.applyUpdates(first.takeUpdates(), kStart + 200ms);
    BOOST_TEST(!runsOnNew(second, session, kStart + 12s)); // a long request may still be running
    first.recordEnd(session, kOld, kStart + 12s);
    second.applyUpdates(first.takeUpdates(), kStart + 12s + 200ms);
    BOOST_TEST(!runsOnNew(second, session, kStart + 17s));
    BOOST_TEST(runsOnNew(second, session, kStart + 18s));
}

BOOST_AUTO_TEST_CASE(session_on_the_new_version_keeps_it_on_another_entry)
{
    SessionPins first(kTtl, kShare);
    SessionPins second(kTtl, kShare);
    const SessionId session = sessionWith(true);
    first.recordStart(session, kNew, kStart);
    second.applyUpdates(first.takeUpdates(), kStart);
    BOOST_TEST(runsOnNew(second, session, kStart + 1s));
}

BOOST_AUTO_TEST_CASE(only_sessions_selected_for_canaries_are_published)
{
    SessionPins pins(kTtl, kShare);
    pins.recordStart(sessionWith(false), kOld, kStart);
    pins.recordStart(SessionId(), kOld, kStart);
    BOOST_TEST(pins.takeUpdates().empty());
    pins.recordEnd(sessionWith(true), kOld, kStart);
    BOOST_TEST(pins.takeUpdates().size() == 1U);
    BOOST_TEST(pins.takeUpdates().empty());
}

BOOST_AUTO_TEST_CASE(expired_pins_are_dropped)
{
    SessionPins pins(kTtl, kShare);
    const SessionId session = sessionWith(false);
    pins.recordEnd(session, kOld, kStart);
    pins.expire(kStart + 4s);
    BOOST_TEST(pins.versionOf(session, kStart + 4s).has_value());
    pins.expire(kStart + 6s);
    BOOST_TEST(!pins.versionOf(session, kStart).has_value());
}

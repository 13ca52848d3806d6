// Tests the freshness period within which an entry may rely on its state.

#define BOOST_TEST_MODULE config_freshness
#include "core/leases/config_currency.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};

} // namespace

BOOST_AUTO_TEST_CASE(freshness_period_starts_when_probe_is_sent)
{
    ConfigFreshness freshness(4s);
    BOOST_TEST((freshness.validUntil() == Instant()));
    freshness.probeSent(1, kStart);
    freshness.replyReceived(1, 7, 7);
    BOOST_TEST((freshness.validUntil() == kStart + 4s));
}

BOOST_AUTO_TEST_CASE(reply_takes_effect_once_newer_revision_is_applied)
{
    ConfigFreshness freshness(4s);
    freshness.probeSent(1, kStart);
    freshness.replyReceived(1, 8, 7);
    BOOST_TEST((freshness.validUntil() == Instant()));
    freshness.revisionApplied(8);
    BOOST_TEST((freshness.validUntil() == kStart + 4s));
}

BOOST_AUTO_TEST_CASE(replies_to_expired_or_unknown_probes_are_ignored)
{
    ConfigFreshness freshness(4s);
    freshness.probeSent(1, kStart);
    freshness.probeSent(2, kStart + 10s); // the process was suspended in between
    freshness.replyReceived(1, 7, 7);
    BOOST_TEST((freshness.validUntil() == Instant()));
    freshness.replyReceived(3, 7, 7); // no such probe was sent
    BOOST_TEST((freshness.validUntil() == Instant()));
    freshness.replyReceived(2, 7, 7);
    BOOST_TEST((freshness.validUntil() == kStart + 14s));
}

BOOST_AUTO_TEST_CASE(late_reply_does_not_shorten_freshness_period)
{
    ConfigFreshness freshness(4s);
    freshness.probeSent(1, kStart);
    freshness.probeSent(2, kStart + 1s);
    freshness.replyReceived(2, 7, 7);
    freshness.replyReceived(1, 7, 7);
    BOOST_TEST((freshness.validUntil() == kStart + 5s));
}

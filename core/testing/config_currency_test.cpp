// Until when an entry may rely on its state.

#define BOOST_TEST_MODULE config_currency
#include "core/config_currency.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};

} // namespace

BOOST_AUTO_TEST_CASE(a_proof_counts_from_the_asking)
{
    ConfigCurrency currency(4s);
    BOOST_TEST((currency.validUntil() == Instant()));
    currency.asked(1, kStart);
    currency.answered(1, 7, 7);
    BOOST_TEST((currency.validUntil() == kStart + 4s));
}

BOOST_AUTO_TEST_CASE(a_newer_revision_has_to_come_first)
{
    ConfigCurrency currency(4s);
    currency.asked(1, kStart);
    currency.answered(1, 8, 7);
    BOOST_TEST((currency.validUntil() == Instant()));
    currency.took(8);
    BOOST_TEST((currency.validUntil() == kStart + 4s));
}

BOOST_AUTO_TEST_CASE(answers_to_old_questions_prove_nothing)
{
    ConfigCurrency currency(4s);
    currency.asked(1, kStart);
    currency.asked(2, kStart + 10s); // the process was suspended in between
    currency.answered(1, 7, 7);
    BOOST_TEST((currency.validUntil() == Instant()));
    currency.answered(3, 7, 7); // never asked
    BOOST_TEST((currency.validUntil() == Instant()));
    currency.answered(2, 7, 7);
    BOOST_TEST((currency.validUntil() == kStart + 14s));
}

BOOST_AUTO_TEST_CASE(a_proof_never_shortens_an_earlier_one)
{
    ConfigCurrency currency(4s);
    currency.asked(1, kStart);
    currency.asked(2, kStart + 1s);
    currency.answered(2, 7, 7);
    currency.answered(1, 7, 7);
    BOOST_TEST((currency.validUntil() == kStart + 5s));
}

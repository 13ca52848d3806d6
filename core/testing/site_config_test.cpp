// Checks of a site's configuration, and look-ups by host, path and key.

#define BOOST_TEST_MODULE site_config
#include "core/site_config.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

Route route(const std::string &name, const std::string &prefix)
{
    Route made;
    made.name = name;
    made.host = "desk.example";
    made.prefix = prefix;
    made.timeout = std::chrono::seconds(1);
    made.services = {{ServiceName("ledger"), 1}};
    return made;
}

SiteConfig config()
{
    SiteConfig made;
    made.version = 1;
    made.routes = {route("refunds", "/refunds/"), route("old", "/refunds/old/")};
    made.services = {Service{ServiceName("ledger")}};
    made.accounts = {Account{ClientAccountId("duka-1"), {"k1", "k2"}},
                     Account{ClientAccountId("duka-2"), {"k3"}}};
    return made;
}

std::string problemOf(const SiteConfig &made)
{
    const Result<void> valid = validate(made);
    return valid ? "" : valid.error().detail;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_sound_configuration_is_valid)
{
    BOOST_TEST(problemOf(config()) == "");
}

BOOST_AUTO_TEST_CASE(each_fault_is_named)
{
    SiteConfig made = config();
    made.routes[0].services[0].service = ServiceName("nobody");
    BOOST_TEST(problemOf(made) == "route refunds: unknown service nobody");
    made = config();
    made.routes[1].prefix = "/refunds/";
    BOOST_TEST(problemOf(made) == "route old: another has its host and prefix");
    made = config();
    made.routes[0].services[0].weight = 0;
    BOOST_TEST(problemOf(made) == "route refunds: the weights add up to 0");
    made = config();
    made.routes[0].timeout = Duration::zero();
    BOOST_TEST(problemOf(made) == "route refunds: the timeout is 0");
    made = config();
    made.routes[0].prefix = "/refunds";
    BOOST_TEST(problemOf(made) == "route refunds: the prefix needs a slash at both ends");
    made = config();
    made.accounts[1].keys = {"k1"};
    BOOST_TEST(problemOf(made) == "accounts duka-1 and duka-2 share a key");
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    const SiteTable table(std::make_shared<const SiteConfig>(config()));
    BOOST_REQUIRE(table.match("desk.example", "/refunds/17"));
    BOOST_TEST(table.match("desk.example", "/refunds/17")->name == "refunds");
    BOOST_TEST(table.match("desk.example", "/refunds/old/17")->name == "old");
    BOOST_TEST(!table.match("desk.example", "/stock/"));
    BOOST_TEST(!table.match("other.example", "/refunds/17"));
}

BOOST_AUTO_TEST_CASE(a_key_names_its_account)
{
    const SiteTable table(std::make_shared<const SiteConfig>(config()));
    BOOST_REQUIRE(table.accountOf("k2"));
    BOOST_TEST(table.accountOf("k2")->id.value() == "duka-1");
    BOOST_TEST(!table.accountOf("k4"));
    BOOST_TEST(table.needsKeys());
}

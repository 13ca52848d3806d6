// Validation of a site's configuration, and lookups by host, path and key.

#define BOOST_TEST_MODULE site_config
#include "core/config/site_config.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

Route makeRoute(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "desk.example";
    route.prefix = prefix;
    route.timeout = std::chrono::seconds(1);
    route.services = {{ServiceName("ledger"), 1}};
    return route;
}

SiteConfig makeConfig()
{
    SiteConfig config;
    config.version = 1;
    config.routes = {makeRoute("refunds", "/refunds/"), makeRoute("old", "/refunds/old/")};
    config.services = {Service{ServiceName("ledger")}};
    config.accounts.emplace({Account{ClientAccountId("duka-1"), {"k1", "k2"}},
                             Account{ClientAccountId("duka-2"), {"k3"}}});
    return config;
}

std::string problemOf(const SiteConfig &config)
{
    const Result<void> valid = validate(config);
    return valid ? "" : valid.error().detail;
}

} // namespace

BOOST_AUTO_TEST_CASE(correct_configuration_is_valid)
{
    BOOST_TEST(problemOf(makeConfig()) == "");
}

BOOST_AUTO_TEST_CASE(validation_error_names_each_fault)
{
    SiteConfig config = makeConfig();
    config.routes[0].services[0].service = ServiceName("nobody");
    BOOST_TEST(problemOf(config) == "route refunds: unknown service nobody");
    config = makeConfig();
    config.routes[1].prefix = "/refunds/";
    BOOST_TEST(problemOf(config) == "route old: another has its host and prefix");
    config = makeConfig();
    config.routes[0].services[0].weight = 0;
    BOOST_TEST(problemOf(config) == "route refunds: the weights add up to 0");
    config = makeConfig();
    config.routes[0].timeout = Duration::zero();
    BOOST_TEST(problemOf(config) == "route refunds: the timeout is 0");
    config = makeConfig();
    config.routes[0].prefix = "/refunds";
    BOOST_TEST(problemOf(config) == "route refunds: the prefix needs a slash at both ends");
    config = makeConfig();
    config.accounts->at(1).keys = {"k1"};
    BOOST_TEST(problemOf(config) == "accounts duka-1 and duka-2 share a key");
}

BOOST_AUTO_TEST_CASE(longest_matching_prefix_is_selected)
{
    const SiteTable table(std::make_shared<const SiteConfig>(makeConfig()));
    BOOST_REQUIRE(table.match("desk.example", "/refunds/17"));
    BOOST_TEST(table.match("desk.example", "/refunds/17")->name == "refunds");
    BOOST_TEST(table.match("desk.example", "/refunds/old/17")->name == "old");
    BOOST_TEST(!table.match("desk.example", "/stock/"));
    BOOST_TEST(!table.match("other.example", "/refunds/17"));
}

BOOST_AUTO_TEST_CASE(account_is_found_by_key)
{
    const SiteTable table(std::make_shared<const SiteConfig>(makeConfig()));
    BOOST_REQUIRE(table.accountOf("k2"));
    BOOST_TEST(table.accountOf("k2")->id.value() == "duka-1");
    BOOST_TEST(!table.accountOf("k4"));
    BOOST_TEST(table.needsKeys());
}

// Guards against requests without a key that get the account with an empty one.
BOOST_AUTO_TEST_CASE(empty_key_belongs_to_no_account)
{
    SiteConfig config = makeConfig();
    config.accounts->at(0).keys = {"", "k1"};
    const SiteTable table(std::make_shared<const SiteConfig>(config));
    BOOST_TEST(!table.accountOf(""));
    BOOST_TEST(table.accountOf("k1"));
}

// Guards against a site that serves everybody once its last account is removed (review/13).
BOOST_AUTO_TEST_CASE(keys_are_required_while_there_is_a_list_of_accounts)
{
    SiteConfig config = makeConfig();
    config.accounts->clear();
    BOOST_TEST(problemOf(config) == "");
    const SiteTable closed(std::make_shared<const SiteConfig>(config));
    BOOST_TEST(closed.needsKeys());
    BOOST_TEST(!closed.accountOf("k1"));
    config.accounts.reset();
    BOOST_TEST(problemOf(config) == "");
    const SiteTable open(std::make_shared<const SiteConfig>(config));
    BOOST_TEST(!open.needsKeys());
}

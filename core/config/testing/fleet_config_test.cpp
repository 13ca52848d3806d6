// Tests validation and permission rules of the fleet configuration.

#define BOOST_TEST_MODULE fleet_config
#include "core/config/fleet_config.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

const WallTime kNow{std::chrono::seconds(1'000'000)};

FleetConfig twoVersionConfig()
{
    FleetConfig config;
    ModelSpec model;
    model.name = ModelName("returns");
    model.versions = {VersionSpec{.name = VersionName("1")}, VersionSpec{.name = VersionName("2")}};
    model.stable = VersionName("1");
    config.models = {model};
    ClientAccount account;
    account.id = ClientAccountId("duka");
    account.allowed = {ModelPermission{ModelName("returns"), VersionName("1")}};
    config.accounts = {account};
    return config;
}

ModelVersion version(const char *name)
{
    return ModelVersion{ModelName("returns"), VersionName(name)};
}

bool accountMayUse(const FleetConfig &config, const char *name)
{
    return isAllowed(config, config.accounts[0], TaskName("tag"), Rank::Normal, version(name),
                     kNow);
}

} // namespace

BOOST_AUTO_TEST_CASE(versioned_permission_covers_only_that_version)
{
    const FleetConfig config = twoVersionConfig();
    BOOST_TEST(accountMayUse(config, "1"));
    BOOST_TEST(!accountMayUse(config, "2"));
}

BOOST_AUTO_TEST_CASE(exception_without_reason_is_rejected)
{
    FleetConfig config = twoVersionConfig();
    config.exceptions = {ConfigException{.id = ExceptionId("e1"), .reason = "  "}};
    const Result<void> checked = validate(config);
    BOOST_TEST_REQUIRE(!checked.has_value());
    BOOST_TEST((checked.error().code == CoreError::ReasonMissing));
}

BOOST_AUTO_TEST_CASE(deny_exception_overrides_allow_until_expiry)
{
    FleetConfig config = twoVersionConfig();
    ConfigException allow{.id = ExceptionId("allow"), .version = VersionName("2")};
    allow.effect = ExceptionEffect::Allow;
    config.exceptions = {allow};
    BOOST_TEST(accountMayUse(config, "2"));

    ConfigException deny{.id = ExceptionId("deny"), .version = VersionName("2")};
    deny.expiresAt = kNow + std::chrono::milliseconds(1);
    config.exceptions.push_back(deny);
    BOOST_TEST(!accountMayUse(config, "2"));

    config.exceptions.back().expiresAt = kNow;
    BOOST_TEST(accountMayUse(config, "2"));
}

BOOST_AUTO_TEST_CASE(invalid_cross_references_are_rejected)
{
    FleetConfig config = twoVersionConfig();
    BOOST_TEST(validate(config).has_value());
    config.models[0].stable = VersionName("9");
    BOOST_TEST(!validate(config).has_value());
    config = twoVersionConfig();
    config.accounts[0].allowed[0].model = ModelName("other");
    BOOST_TEST(!validate(config).has_value());
    config = twoVersionConfig();
    config.accounts.push_back(config.accounts[0]);
    BOOST_TEST(!validate(config).has_value());
}

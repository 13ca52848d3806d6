// Unit tests of the decision which data centres may serve a restricted request. Guard against
// requests that reach a region outside of their lists, and against restrictions of requests that
// have none.

#define BOOST_TEST_MODULE region_policy
#include "core/places/region_policy.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

const DataCentreId kEu1("eu-1");
const DataCentreId kEu2("eu-2");
const DataCentreId kUs1("us-1");
const DataCentreId kUnlisted("unlisted");
const Regions kRegions{{kEu1, "eu"}, {kEu2, "eu"}, {kUs1, "us"}};

} // namespace

BOOST_AUTO_TEST_CASE(missing_and_empty_lists_admit_all_data_centres)
{
    const RegionNames empty;
    for (const RegionPolicy &policy :
         {RegionPolicy(), RegionPolicy(kRegions, {nullptr}),
          RegionPolicy(kRegions, {&empty, nullptr}), RegionPolicy(kRegions, {&empty, &empty})}) {
        BOOST_TEST(!policy.isRestricted());
        BOOST_TEST(policy.admits(kEu1));
        BOOST_TEST(policy.admits(kUs1));
        BOOST_TEST(policy.admits(kUnlisted));
    }
}

BOOST_AUTO_TEST_CASE(one_list_admits_the_data_centres_of_its_regions)
{
    const RegionNames empty;
    const RegionNames eu{"eu"};
    for (const RegionPolicy &policy :
         {RegionPolicy(kRegions, {&eu, nullptr}), RegionPolicy(kRegions, {&empty, &eu})}) {
        BOOST_TEST(policy.isRestricted());
        BOOST_TEST(policy.admits(kEu1));
        BOOST_TEST(policy.admits(kEu2));
        BOOST_TEST(!policy.admits(kUs1));
    }
}

BOOST_AUTO_TEST_CASE(a_data_centre_without_region_serves_no_restricted_request)
{
    // Neither its own name nor an empty one stands for the missing region.
    const RegionNames names{"eu", "us", "unlisted", ""};
    BOOST_TEST(!RegionPolicy(kRegions, {&names}).admits(kUnlisted));
    BOOST_TEST(!RegionPolicy(kRegions, {&names}).admits(DataCentreId()));
}

BOOST_AUTO_TEST_CASE(names_are_compared_with_regions_and_not_with_data_centres)
{
    const RegionNames names{"eu-1"};
    BOOST_TEST(!RegionPolicy(kRegions, {&names}).admits(kEu1));
}

BOOST_AUTO_TEST_CASE(an_unknown_region_admits_nothing)
{
    const RegionNames moon{"moon"};
    const RegionPolicy policy(kRegions, {&moon});
    BOOST_TEST(policy.isRestricted());
    for (const DataCentreId &dataCentre : {kEu1, kEu2, kUs1, kUnlisted})
        BOOST_TEST(!policy.admits(dataCentre));
}

BOOST_AUTO_TEST_CASE(two_lists_intersect)
{
    const RegionNames both{"eu", "us"};
    const RegionNames eu{"eu"};
    const RegionNames us{"us"};
    const RegionPolicy narrow(kRegions, {&both, &eu});
    BOOST_TEST(narrow.admits(kEu1));
    BOOST_TEST(!narrow.admits(kUs1));
    BOOST_TEST(narrow.describe() == "eu,us and eu");
    const RegionPolicy none(kRegions, {&us, &eu});
    BOOST_TEST(none.isRestricted());
    BOOST_TEST(!none.admits(kEu1));
    BOOST_TEST(!none.admits(kUs1));
}

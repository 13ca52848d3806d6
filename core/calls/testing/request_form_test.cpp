// Tests which requests are streams. Guards against a second condition, such as whether the service
// has models, beside the kind of the route.

#define BOOST_TEST_MODULE request_form
#include "core/calls/request_form.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

BOOST_TEST_DONT_PRINT_LOG_VALUE(RequestForm)

namespace {

Route routeOf(RouteKind kind, bool hasModels)
{
    Route route;
    route.kind = kind;
    if (hasModels)
        route.models = {ModelName("small"), ModelName("large")};
    return route;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_the_kind_of_the_route_makes_a_stream)
{
    for (const bool hasModels : {false, true}) {
        BOOST_TEST(requestForm(routeOf(RouteKind::Stream, hasModels)) == RequestForm::Stream);
        BOOST_TEST(requestForm(routeOf(RouteKind::Safe, hasModels)) == RequestForm::Call);
        BOOST_TEST(requestForm(routeOf(RouteKind::Unsafe, hasModels)) == RequestForm::Call);
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_be_resumed_is_a_stream)
{
    Route route = routeOf(RouteKind::Stream, true);
    for (const bool resumable : {false, true}) {
        route.resumable = resumable;
        BOOST_TEST(requestForm(route) == RequestForm::Stream);
    }
}

// Tests the admission policies of a site. Guards against a default policy that refuses requests.

#define BOOST_TEST_MODULE request_admission
#include "core/admission/request_admission.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

BOOST_AUTO_TEST_CASE(every_request_is_admitted)
{
    const Route route;
    const Account account;
    AdmitAll policy;
    for (const RequestForm form : {RequestForm::Call, RequestForm::Stream}) {
        BOOST_TEST(!policy.admit({route, nullptr, form}, Instant()).has_value());
        BOOST_TEST(!policy.admit({route, &account, form}, Instant()).has_value());
    }
}

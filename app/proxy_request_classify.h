// Classify: whether the request is a call or a stream.
//
// In: the route that the request matched.
// Out: its form, which is stored. All later phases use the stored form; none of them looks at the
// kind of the route or at its models to tell a stream.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_CLASSIFY_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_CLASSIFY_H

#include "app/proxy_request.h"

namespace fireflyroute::app {

// Called once each time the request is routed, before its first attempt: a request that waits for
// the start of the process may match another route afterwards.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::classify()
{
    form_ = core::requestForm(*route_);
}

} // namespace fireflyroute::app

#endif

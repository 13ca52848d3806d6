// Implementation of ProxyRequest, one file for each phase. Included by app/proxy_request.h only.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_IMPL_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_IMPL_H

#include "app/proxy_request.h"

namespace fireflyroute::app::proxy {

// Minimum time before the deadline for a new attempt.
constexpr std::chrono::milliseconds kMinAttemptTime{10};

constexpr unsigned kFirstNonSuccessStatus = 300;

} // namespace fireflyroute::app::proxy

#include "app/proxy_request_accept.h"
#include "app/proxy_request_admit.h"
#include "app/proxy_request_choose.h"
#include "app/proxy_request_classify.h"
#include "app/proxy_request_dispatch.h"
#include "app/proxy_request_end.h"
#include "app/proxy_request_relay.h"
#include "app/proxy_request_resume.h"

#endif

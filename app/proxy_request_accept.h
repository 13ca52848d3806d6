// Accept and check: the first phase of a request.
//
// In: a message of a caller, and the entry's view and freshness at its arrival.
// Out: the route, the account, the deadline, the service and the first model of a request that may
// be served; a refusal; or a wait while the process starts.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_ACCEPT_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_ACCEPT_H

#include "app/proxy_request.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::app {

namespace proxy {

// How long a request waits for a change of the entry's state, while the process starts, before it
// is routed again.
constexpr std::chrono::milliseconds kStartupWaitLimit{1500};

} // namespace proxy

template<TrafficDialect Dialect>
ProxyRequest<Dialect>::ProxyRequest(TrafficPlane &plane,
                                    std::shared_ptr<net::ServerSession> session,
                                    net::HttpRequestMessage request)
    : plane_(plane)
    , session_(std::move(session))
    , request_(std::move(request))
    , body_(std::make_shared<const std::string>(std::move(request_.body)))
    , meta_(Dialect::decodeRequest(request_))
    , timer_(plane.io)
    , arrivedAt_(plane.clock.now())
    , streamSplice_(meta_.lastEvent)
{}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::start()
{
    ++plane_.counts.requests;
    session_->onDisconnect([self = this->shared_from_this()] { self->onCallerDisconnected(); });
    session_->onLastCall([self = this->shared_from_this()] { self->onLastCall(); });
    route();
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::route()
{
    const core::Instant now = plane_.clock.now();
    const std::optional<core::Refusal> refusal = prepare(now);
    if (refusal == core::Refusal::NotReady && plane_.isStarting(now)) {
        waitForStartup();
        return;
    }
    if (refusal) {
        refuse(*refusal);
        return;
    }
    admit(now);
}

// Retries routing after the next change of the entry's state, or after kStartupWaitLimit if nothing
// changes. Once the start-up period is over, route() no longer waits.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::waitForStartup()
{
    const auto retry = [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->finished_ && !self->attempt_ && self->attemptTracker_.hasNoAttempts())
            self->route();
    };
    plane_.onNextChange(retry);
    timer_.expires_after(proxy::kStartupWaitLimit);
    timer_.async_wait(
            [self = this->shared_from_this(), retry](const boost::system::error_code &error) {
                if (!error)
                    retry();
            });
}

template<TrafficDialect Dialect>
std::optional<core::Refusal> ProxyRequest<Dialect>::prepare(core::Instant now)
{
    table_ = plane_.view->table;
    if (!table_ || !plane_.stop.takesRequests(now))
        return core::Refusal::NotReady;
    const std::string_view target(request_.target);
    const std::string_view host(meta_.host);
    route_ = table_->match(host.substr(0, host.find(':')), target.substr(0, target.find('?')));
    const bool needsFreshState = !route_ || !route_->isPublic;
    if (needsFreshState && !plane_.isFresh(now))
        return core::Refusal::NotReady;
    if (!route_)
        return core::Refusal::UnknownRoute;
    classify();
    if (table_->needsKeys() && !route_->isPublic) {
        account_ = table_->accountOf(meta_.key);
        if (!account_)
            return core::Refusal::UnknownKey;
    }
    // The restriction of a caller who gives a key also holds on public routes, which require none.
    const core::Account *keyOwner = account_ ? account_ : table_->accountOf(meta_.key);
    regions_ = core::RegionPolicy(
            plane_.settings.regions,
            {&route_->allowedRegions, keyOwner ? &keyOwner->allowedRegions : nullptr});
    deadlineAt_ = arrivedAt_ + std::min(meta_.deadline.value_or(route_->timeout), route_->timeout);
    // The caller of a call gets an answer before this process exits, also if its endpoint is late.
    if (!isStream())
        deadlineAt_ = std::min(deadlineAt_, plane_.stop.answerBy());
    chooseService();
    model_ = plane_.models.initialModel(*route_);
    return std::nullopt;
}

} // namespace fireflyroute::app

#endif

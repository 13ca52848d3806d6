// Choose: the service of a request, and the endpoint and model of each attempt.
//
// In: an admitted request, and the endpoints that are excluded by its earlier attempts.
// Out: an endpoint and the model that it runs, which are dispatched; a wait if a stream has begun
// and no endpoint is eligible; or the end of the request. During an attempt: whether another
// endpoint could take the request, and whether a larger model should answer.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_CHOOSE_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_CHOOSE_H

#include "app/proxy_request.h"
#include "core/common/stable_hash.h"

#include <algorithm>

namespace fireflyroute::app {

namespace proxy {

// Estimated bytes of a stream per token, framing included. Used only to choose an endpoint.
constexpr double kStreamBytesPerToken = 10;

// Expected length of an answer relative to the caller's token limit, if the caller gives no
// estimate.
constexpr double kTypicalOutputShare = 0.35;

} // namespace proxy

// Chooses a service by weight. All requests of a session get the same service.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::chooseService()
{
    std::uint64_t totalWeight = 0;
    for (const core::WeightedService &weighted : route_->services)
        totalWeight += weighted.weight;
    const std::string &identity = meta_.session.empty() ? meta_.id.value() : meta_.session.value();
    std::uint64_t point =
            std::hash<std::string>()(identity) % std::max<std::uint64_t>(totalWeight, 1);
    for (const core::WeightedService &weighted : route_->services) {
        service_ = weighted.service;
        if (point < weighted.weight)
            return;
        point -= weighted.weight;
    }
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::startAttempt()
{
    const core::Instant now = plane_.clock.now();
    if (deadlineAt_ - now < proxy::kMinAttemptTime) {
        failRequest("no time left");
        return;
    }
    if (const std::optional<core::QuarantinedTrait> quarantined = checkQuarantine(now)) {
        refuseQuarantined(*quarantined);
        return;
    }
    const core::PickResult pick = pickEndpoint(model_, excludedEndpoints_, now);
    const bool isRestricted = regions_.isRestricted();
    if (!pick.endpoint && isRestricted && !responseStarted_ && !plane_.stop.isStopping())
        plane_.recordRegionRefusal(meta_.id, route_->name, service_, regions_);
    if (pick.endpoint)
        send(pick, now);
    else if (!isRestricted && attemptTracker_.hasNoAttempts() && plane_.isStarting(now))
        waitForStartup();
    else if (responseStarted_)
        waitForAnyEndpoint();
    else
        failRequest("no endpoint usable");
}

// Picks the best endpoint for an attempt with the model, among the endpoints that are eligible.
template<TrafficDialect Dialect>
core::PickResult ProxyRequest<Dialect>::pickEndpoint(std::size_t model,
                                                     const std::set<core::EndpointId> &excluded,
                                                     core::Instant now) const
{
    const auto rollout = plane_.view->rollouts.find(service_);
    const auto endpoints = plane_.view->endpoints.find(service_);
    if (endpoints == plane_.view->endpoints.end())
        return {};
    // An attempt after another one continues a stream that the process has to finish anyway.
    const bool isContinued = responseStarted_ || !excluded.empty();
    if (isStream() && !isContinued && !plane_.stop.startsStreams(now))
        return {};
    core::VersionGate gate(rollout == plane_.view->rollouts.end() ? nullptr : &rollout->second,
                           endpoints->second);
    const bool hasSession = !meta_.session.empty();
    gate.sampleCanary(hasSession ? meta_.session.value() : meta_.id.value(),
                      plane_.settings.canaryShare,
                      hasSession ? plane_.pins.versionOf(meta_.session, now) : std::nullopt);
    core::PickRequest query = makePickRequest(model);
    core::PromptMatch match;
    if (query.prompt) {
        match = plane_.prompts.match(query.model, *query.prompt, now);
        query.match = &match;
    }
    const auto pick = [&] {
        return plane_.picker.pick(plane_.candidates(service_, gate, regions_, excluded, now), query,
                                  plane_.monitor, now);
    };
    const core::PickResult best = pick();
    if (best.endpoint || !gate.isCanary())
        return best;
    gate.clearCanary();
    return pick();
}

template<TrafficDialect Dialect>
core::PickRequest ProxyRequest<Dialect>::makePickRequest(std::size_t model) const
{
    core::PickRequest query;
    query.bytes = static_cast<double>(body_->size())
                  + proxy::kStreamBytesPerToken * meta_.maxOutputTokens;
    query.draw = core::hashText(meta_.id.value()) + attemptTracker_.attemptCount()
                 + excludedEndpoints_.size();
    if (!meta_.prompt.empty())
        query.prompt = &meta_.prompt;
    const core::Service *service = table_->service(service_);
    if (!route_->models.empty() && service) {
        query.model = route_->models[model];
        query.modelTimeRatio = core::relativeCost(*service, query.model);
    }
    return query;
}

// Whether an endpoint other than the current one could take the request.
template<TrafficDialect Dialect>
bool ProxyRequest<Dialect>::hasAlternative(core::Instant now) const
{
    std::set<core::EndpointId> excluded = excludedEndpoints_;
    excluded.insert(attempt_->endpoint.id);
    return pickEndpoint(model_, excluded, now).endpoint != nullptr;
}

// Returns the larger model that should answer instead, or nothing. Only possible as long as no part
// of this answer was sent to the caller.
template<TrafficDialect Dialect>
std::optional<std::size_t> ProxyRequest<Dialect>::escalationTarget()
{
    const bool mayEscalate = !responseStarted_ && attempt_->meta.confidence
                             && !route_->models.empty()
                             && attemptTracker_.allowsAnother(route_->maxAttempts);
    if (!mayEscalate)
        return std::nullopt;
    const core::Instant now = plane_.clock.now();
    const std::uint32_t confidence = *attempt_->meta.confidence;
    const std::size_t next = plane_.models.nextModel(*route_, model_, confidence);
    const core::PickResult pick = pickEndpoint(next, excludedEndpoints_, now);
    const bool keepsAnswer = !pick.endpoint
                             || plane_.models.acceptsAnswer(*route_, model_, confidence,
                                                            expectedAnswer(next, pick, now));
    return keepsAnswer ? std::nullopt : std::optional(next);
}

// Returns the expected timing of the model's answer if the request is dispatched now.
template<TrafficDialect Dialect>
core::ExpectedAnswer ProxyRequest<Dialect>::expectedAnswer(std::size_t model,
                                                           const core::PickResult &pick,
                                                           core::Instant now)
{
    const std::chrono::duration<double, std::milli> expectedDelay(pick.expectedFirstByteMs);
    core::ExpectedAnswer expected;
    expected.prefillMs = plane_.updateTypicalPrefill(route_->name, pick.prefillMs);
    expected.queuedPrefillMs = pick.queuedPrefillMs;
    expected.deadline = deadlineAt_ - arrivedAt_;
    expected.firstByte =
            now - arrivedAt_ + std::chrono::duration_cast<core::Duration>(expectedDelay);
    const core::Service *service = table_->service(service_);
    const std::uint32_t tokens = meta_.estimatedOutputTokens.value_or(
            static_cast<std::uint32_t>(meta_.maxOutputTokens * proxy::kTypicalOutputShare));
    const std::uint32_t events = service ? tokens / std::max(service->eventTokens, 1U) : 0;
    expected.complete =
            expected.firstByte + events * plane_.typicalEventInterval(route_->models[model]);
    return expected;
}

} // namespace fireflyroute::app

#endif

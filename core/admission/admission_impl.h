// Member functions of Admission. Included by core/admission/admission.h only.

#ifndef FIREFLYROUTE_CORE_ADMISSION_ADMISSION_IMPL_H
#define FIREFLYROUTE_CORE_ADMISSION_ADMISSION_IMPL_H

#include "core/admission/admission.h"

namespace fireflyroute::core {

namespace admission_detail {

constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{60};

inline std::chrono::seconds retryAfter(Duration wait)
{
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(wait), kMinRetryAfter,
                      kMaxRetryAfter);
}

inline RefuseRequest overloaded(const RequestId &id, RefusalReason reason, Duration wait)
{
    return RefuseRequest{id, reason, CoreError::Overloaded, retryAfter(wait)};
}

} // namespace admission_detail

template<RankScheduler Scheduler>
void Admission<Scheduler>::configure(const FleetConfig &config, Instant now)
{
    for (const RankPolicy &policy : config.defaults.ranks)
        policies_[index(policy.rank)] = policy;
    accounts_.configure(config.accounts, now);
    for (auto &[id, pool] : pools_)
        pool.configure(policies_);
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::handle(const RequestArrived &message, Instant now, Actions *actions)
{
    refuseExpired(now, actions);
    const AdmissionRequest &request = message.request;
    ++counters_.arrived[index(request.rank)];
    Pool &targetPool = pool(request.pool);
    if (const std::optional<RefuseRequest> refused = refusal(request, targetPool, now)) {
        refuse(*refused, actions);
        return;
    }
    enqueue(request, targetPool, now);
    dispatch(request.pool, targetPool, now, actions);
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::handle(const RequestFinished &message, Instant now, Actions *actions)
{
    const auto found = running_.find(message.id);
    if (found == running_.end())
        return;
    const Running run = std::move(found->second);
    running_.erase(found);
    counters_.running = running_.size();
    const auto tokens = static_cast<double>(message.tokens);
    const double estimateError = tokens - run.tokens;
    Pool &usedPool = pool(run.key.pool);
    usedPool.release(run.key, accounts_.weight(run.key.account), estimateError, run.fromGuarantee);
    if (message.tokens > 0)
        usedPool.recordCompletion(tokens, now - run.startedAt);
    accounts_.charge(run.key.account, estimateError, now);
    exchange_.addTokens(run.key, static_cast<std::int64_t>(estimateError));
    exchange_.addRunning(run.key, -1);
    refuseExpired(now, actions);
    if (changeRunning(run.key.account, -1))
        dispatchAll(now, actions);
    else
        dispatch(run.key.pool, usedPool, now, actions);
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::handle(const AdmissionCancelled &message, Instant now, Actions *)
{
    const auto found = waiting_.find(message.id);
    if (found == waiting_.end())
        return;
    const Waiting removed = dequeue(found);
    accounts_.charge(removed.request.account, -estimate(removed.request), now);
    ++counters_.cancelled[index(removed.request.rank)];
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::handle(const CapacityChanged &message, Instant now, Actions *actions)
{
    Pool &changedPool = pool(message.pool);
    changedPool.setSlots(message.slots);
    refuseExpired(now, actions);
    dispatch(message.pool, changedPool, now, actions);
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::handle(const UsageReported &message, Instant now, Actions *actions)
{
    refuseExpired(now, actions);
    if (apply(exchange_.receive(message.report, message.age, now), now))
        dispatchAll(now, actions);
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::handle(const AdmissionTick &, Instant now, Actions *actions)
{
    refuseExpired(now, actions);
    if (apply(exchange_.expire(now), now))
        dispatchAll(now, actions);
}

template<RankScheduler Scheduler>
std::optional<RefuseRequest> Admission<Scheduler>::refusal(const AdmissionRequest &request,
                                                           Pool &pool, Instant now)
{
    using admission_detail::overloaded;
    const RequestId &id = request.id;
    if (waiting_.contains(id) || running_.contains(id))
        return RefuseRequest{id, RefusalReason::Duplicate, CoreError::AlreadyExists};
    if (!accounts_.isConfigured(request.account))
        return RefuseRequest{id, RefusalReason::UnknownAccount, CoreError::UnknownAccount};
    if (request.deadline && *request.deadline <= now)
        return RefuseRequest{id, RefusalReason::PastDeadline, CoreError::DeadlineExceeded};

    const RankPolicy &rankPolicy = policy(request.rank);
    const double weight = accounts_.weight(request.account);
    const Duration wait = pool.expectedWait(request, weight, policies_, now);
    const std::size_t queued = pool.queue(request.rank).size();
    if (queued >= rankPolicy.queueLimit)
        return overloaded(id, RefusalReason::RankQueueFull, wait);
    // Dynamic threshold: no account may queue more requests than the free space of the queue, so
    // that other accounts always find space.
    const std::size_t free = rankPolicy.queueLimit - queued;
    if (Scheduler::kFairByAccount && pool.waiting(request.rank, request.account) >= free)
        return overloaded(id, RefusalReason::AccountQueueFull, wait);
    const Duration tokenWait = accounts_.tokenWait(request.account, estimate(request), now);
    if (tokenWait > Duration::zero())
        return overloaded(id, RefusalReason::TokenRate, tokenWait);
    if (wait > rankPolicy.queueTimeout)
        return overloaded(id, RefusalReason::WaitTooLong, wait - rankPolicy.queueTimeout);
    if (request.deadline && now + wait > *request.deadline) {
        return RefuseRequest{id, RefusalReason::PastDeadline, CoreError::DeadlineExceeded,
                             admission_detail::retryAfter(wait)};
    }
    return std::nullopt;
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::enqueue(const AdmissionRequest &request, Pool &pool, Instant now)
{
    const double tokens = estimate(request);
    const Instant timeout = now + policy(request.rank).queueTimeout;
    const Instant expiresAt = request.deadline ? std::min(timeout, *request.deadline) : timeout;
    const auto elementHandle = pool.push(request, accounts_.weight(request.account), tokens, now);
    waiting_.emplace(request.id, Waiting{request, elementHandle, now, expiresAt});
    expiries_.emplace(expiresAt, request.id);
    accounts_.charge(request.account, tokens, now);
    ++counters_.waiting[index(request.rank)];
}

// Removes a request that will not be served from the queue and from the indexes.
template<RankScheduler Scheduler>
typename Admission<Scheduler>::Waiting
Admission<Scheduler>::dequeue(typename std::unordered_map<RequestId, Waiting>::iterator found)
{
    Waiting removed = std::move(found->second);
    pool(removed.request.pool).erase(removed.request.rank, removed.elementHandle);
    expiries_.erase(std::pair(removed.expiresAt, removed.request.id));
    waiting_.erase(found);
    --counters_.waiting[index(removed.request.rank)];
    return removed;
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::refuseExpired(Instant now, Actions *actions)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const Waiting expired = dequeue(waiting_.find(expiries_.begin()->second));
        const AdmissionRequest &request = expired.request;
        accounts_.charge(request.account, -estimate(request), now);
        const bool callerDeadline = request.deadline && *request.deadline <= now;
        const auto wait = admission_detail::retryAfter(now - expired.arrivedAt);
        refuse(RefuseRequest{request.id, RefusalReason::QueueTimeout,
                             callerDeadline ? CoreError::DeadlineExceeded : CoreError::Overloaded,
                             wait},
               actions);
    }
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::dispatch(const PoolId &id, Pool &pool, Instant now, Actions *actions)
{
    const auto mayRun = [this](const ClientAccountId &account) {
        return accounts_.mayRun(account);
    };
    while (pool.hasFreeSlot()) {
        const auto choice = pool.next(mayRun, now);
        if (!choice)
            return;
        const RequestId &request = choice->request.id;
        const auto found = waiting_.find(request);
        const double tokens = estimate(found->second.request);
        const UsageKey key{id, choice->request.account, choice->rank};
        expiries_.erase(std::pair(found->second.expiresAt, request));
        waiting_.erase(found);
        running_.emplace(request, Running{key, tokens, choice->fromGuarantee, now});
        accounts_.addRunning(key.account, 1);
        exchange_.addTokens(key, static_cast<std::int64_t>(tokens));
        exchange_.addRunning(key, 1);
        --counters_.waiting[index(key.rank)];
        ++counters_.dispatched[index(key.rank)];
        counters_.running = running_.size();
        const Rank priority = Pool::priority(*choice);
        actions->push_back(DispatchRequest{request, now - choice->request.arrivedAt, priority});
    }
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::dispatchAll(Instant now, Actions *actions)
{
    for (auto &[id, pool] : pools_)
        dispatch(id, pool, now, actions);
}

// Charges usage reported by other entries. Returns true if an account that had reached its
// concurrency limit may run requests again.
template<RankScheduler Scheduler>
bool Admission<Scheduler>::apply(const std::vector<UsageDelta> &deltas, Instant now)
{
    bool unblocked = false;
    const std::size_t entries = exchange_.peerCount() + 1;
    for (const UsageDelta &delta : deltas) {
        unblocked |= changeRunning(delta.key.account, delta.running);
        if (!accounts_.isConfigured(delta.key.account))
            continue;
        const auto tokens = static_cast<double>(delta.tokens);
        const double weight = accounts_.weight(delta.key.account);
        accounts_.charge(delta.key.account, tokens, now);
        pool(delta.key.pool).chargeRemote(delta.key, weight, tokens, entries);
    }
    return unblocked;
}

template<RankScheduler Scheduler>
bool Admission<Scheduler>::changeRunning(const ClientAccountId &account, std::int64_t change)
{
    if (!accounts_.addRunning(account, change))
        return false;
    for (auto &[id, pool] : pools_)
        pool.unblock(account);
    return true;
}

template<RankScheduler Scheduler>
void Admission<Scheduler>::refuse(const RefuseRequest &refused, Actions *actions)
{
    ++counters_.refused[static_cast<std::size_t>(refused.reason)];
    actions->push_back(refused);
}

} // namespace fireflyroute::core

#endif

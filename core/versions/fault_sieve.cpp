// Correlates failed runs within a time window.

#include "core/versions/fault_sieve.h"

#include <iterator>
#include <set>
#include <utility>

namespace fireflyroute::core {

namespace {

// Limit of pending runs. More failures than this within the window only occur with a common cause.
constexpr std::size_t kMaxPending = 1000;

} // namespace

void CommonCauseFilter::add(FailedRun run, Instant now)
{
    if (pending_.size() >= kMaxPending)
        pending_.pop_front();
    pending_.push_back({std::move(run), now, false});
    std::set<EndpointId> endpoints;
    auto oldest = pending_.end();
    while (oldest != pending_.begin() && now - std::prev(oldest)->failedAt <= kCorrelationWindow) {
        --oldest;
        endpoints.insert(oldest->run.endpoint);
    }
    if (endpoints.size() < kMinEndpoints)
        return;
    for (; oldest != pending_.end(); ++oldest)
        oldest->hasCommonCause = true;
}

std::vector<FailedRun> CommonCauseFilter::takeIsolated(Instant now)
{
    std::vector<FailedRun> isolated;
    while (!pending_.empty() && now - pending_.front().failedAt > kCorrelationWindow) {
        if (!pending_.front().hasCommonCause)
            isolated.push_back(std::move(pending_.front().run));
        pending_.pop_front();
    }
    return isolated;
}

} // namespace fireflyroute::core

// Windows around broken runs.

#include "core/fault_sieve.h"

#include <iterator>
#include <set>
#include <utility>

namespace fireflyroute::core {

namespace {

// More runs than this break off at once for a common cause only.
constexpr std::size_t kMaxNoted = 1000;

} // namespace

void FaultSieve::note(BrokenRun run, Instant now)
{
    if (noted_.size() >= kMaxNoted)
        noted_.pop_front();
    noted_.push_back({std::move(run), now, false});
    std::set<EndpointId> endpoints;
    auto first = noted_.end();
    while (first != noted_.begin() && now - std::prev(first)->at <= kWindow) {
        --first;
        endpoints.insert(first->run.endpoint);
    }
    if (endpoints.size() < kCommon)
        return;
    for (; first != noted_.end(); ++first)
        first->isCommon = true;
}

std::vector<BrokenRun> FaultSieve::take(Instant now)
{
    std::vector<BrokenRun> counted;
    while (!noted_.empty() && now - noted_.front().at > kWindow) {
        if (!noted_.front().isCommon)
            counted.push_back(std::move(noted_.front().run));
        noted_.pop_front();
    }
    return counted;
}

} // namespace fireflyroute::core

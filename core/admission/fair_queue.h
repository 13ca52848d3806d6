// Request queue that is fair between client accounts: weighted start-time fair queueing by
// estimated tokens.
//
//   FairQueue<RequestId> queue;
//   queue.push(account, weight, tokens, id);
//   auto mayRun = [&](const auto &element) { return limits.mayRun(element.account); };
//   if (const auto *head = queue.head(mayRun))
//       start(queue.pop().item);
//   queue.charge(account, weight, actualTokens - tokens, kUnboundedLead);
//
// Each account is a flow with a tag: the virtual time at which its next request starts. The flow
// with the smallest tag is served first, and serving a request advances its tag by tokens / weight.
// When an idle account returns, its tag is raised to the current virtual time, so that it can't
// accumulate unused service. Every operation costs O(log accounts), independent of the number of
// queued requests.

#ifndef FIREFLYROUTE_CORE_ADMISSION_FAIR_QUEUE_H
#define FIREFLYROUTE_CORE_ADMISSION_FAIR_QUEUE_H

#include "core/common/types.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>

namespace fireflyroute::core {

// Passed to FairQueue::charge() to leave the debt of a flow unbounded.
constexpr double kUnboundedLead = std::numeric_limits<double>::max();

template<typename Item>
class FairQueue
{
public:
    struct Element
    {
        ClientAccountId account;
        double tokens = 0;
        Item item;
    };

    // Identifies a queued element until it is popped or erased.
    using ElementHandle = typename std::list<Element>::iterator;

    ElementHandle push(const ClientAccountId &account, double weight, double tokens, Item item)
    {
        Flow &flow = flowOf(account, weight);
        if (flow.elements.empty()) {
            flow.tag = std::max(flow.tag, virtualTime_);
            activeWeight_ += flow.weight;
            activate(flow);
        }
        flow.elements.push_back(Element{account, tokens, std::move(item)});
        flow.tokens += tokens;
        tokens_ += tokens;
        ++size_;
        return std::prev(flow.elements.end());
    }

    // The next element to serve, or null. Flows of accounts that may not run now are skipped and
    // blocked until unblock().
    template<std::predicate<const Element &> MayRun>
    const Element *head(MayRun mayRun)
    {
        while (!active_.empty()) {
            Flow &flow = *active_.begin()->flow;
            const Element &first = flow.elements.front();
            if (mayRun(first))
                return &first;
            deactivate(flow);
        }
        return nullptr;
    }

    // Removes and returns the element that head() returned. Requires a preceding successful head().
    Element pop()
    {
        Flow &flow = *active_.begin()->flow;
        deactivate(flow);
        virtualTime_ = std::max(virtualTime_, flow.tag);
        Element element = std::move(flow.elements.front());
        flow.elements.pop_front();
        flow.tag += element.tokens / flow.weight;
        removeFromTotals(flow, element.tokens);
        if (!flow.elements.empty())
            activate(flow);
        return element;
    }

    // Removes an element that is not to be served.
    void erase(ElementHandle elementHandle)
    {
        Flow &flow = flows_.at(elementHandle->account);
        const double tokens = elementHandle->tokens;
        flow.elements.erase(elementHandle);
        removeFromTotals(flow, tokens);
        if (flow.elements.empty())
            deactivate(flow);
    }

    // Advances an account's tag by tokens that it used on another entry, or corrects it by the
    // error of an estimate. The tag exceeds virtual time by at most `maxLead`, in tokens per unit
    // of weight.
    void charge(const ClientAccountId &account, double weight, double tokens, double maxLead)
    {
        Flow &flow = flowOf(account, weight);
        const bool wasActive = flow.active;
        deactivate(flow);
        const double startTag = tokens > 0 ? std::max(flow.tag, virtualTime_) : flow.tag;
        flow.tag = std::min(startTag + tokens / flow.weight, virtualTime_ + maxLead);
        if (wasActive)
            activate(flow);
    }

    // Makes an account's flow eligible again after its limits have changed.
    void unblock(const ClientAccountId &account)
    {
        const auto found = flows_.find(account);
        if (found != flows_.end() && !found->second.elements.empty())
            activate(found->second);
    }

    // Unblocks every flow; linear in the number of accounts.
    void unblockAll()
    {
        for (auto &[account, flow] : flows_) {
            if (!flow.elements.empty())
                activate(flow);
        }
    }

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] double tokens() const { return tokens_; }

    [[nodiscard]] std::size_t waiting(const ClientAccountId &account) const
    {
        const auto found = flows_.find(account);
        return found == flows_.end() ? 0 : found->second.elements.size();
    }

    // Tokens that are served before a new request of the account, given the current queues and
    // tags.
    [[nodiscard]] double tokensAhead(const ClientAccountId &account, double weight) const
    {
        const auto found = flows_.find(account);
        if (found == flows_.end())
            return 0;
        const Flow &flow = found->second;
        const double lead = std::max(0.0, flow.tag - virtualTime_);
        const double otherWeight =
                flow.elements.empty() ? activeWeight_ : activeWeight_ - flow.weight;
        const double rounds = lead + flow.tokens / weight;
        return flow.tokens + std::min(tokens_ - flow.tokens, rounds * otherWeight);
    }

private:
    struct Flow
    {
        std::uint64_t index = 0; // creation order; breaks ties between equal tags
        double weight = 1;
        double tag = 0; // virtual start time of the next request
        double tokens = 0; // sum over `elements`
        bool active = false; // true if the flow is in `active_`; only flows with elements are
        std::list<Element> elements;
    };

    struct Position
    {
        double tag;
        std::uint64_t index;
        Flow *flow;

        bool operator<(const Position &other) const
        {
            return std::pair(tag, index) < std::pair(other.tag, other.index);
        }
    };

    Flow &flowOf(const ClientAccountId &account, double weight)
    {
        const auto [found, created] = flows_.try_emplace(account);
        Flow &flow = found->second;
        if (created)
            flow.index = flows_.size();
        if (!flow.elements.empty())
            activeWeight_ += weight - flow.weight;
        flow.weight = weight;
        return flow;
    }

    void activate(Flow &flow)
    {
        if (flow.active)
            return;
        active_.insert(Position{flow.tag, flow.index, &flow});
        flow.active = true;
    }

    void deactivate(Flow &flow)
    {
        if (!flow.active)
            return;
        active_.erase(Position{flow.tag, flow.index, &flow});
        flow.active = false;
    }

    // Subtracts a removed element from the totals.
    void removeFromTotals(Flow &flow, double tokens)
    {
        --size_;
        tokens_ -= tokens;
        flow.tokens -= tokens;
        if (flow.elements.empty())
            activeWeight_ -= flow.weight;
    }

    // One flow for each account that has had a request or charge. Accounts come from the fleet
    // configuration, which bounds their number. References are stable, and `active_` points to the
    // flows.
    std::unordered_map<ClientAccountId, Flow> flows_;
    std::set<Position> active_; // flows that have elements and are not blocked
    double virtualTime_ = 0; // never decreases
    double activeWeight_ = 0; // over flows with elements, blocked or not
    double tokens_ = 0;
    std::size_t size_ = 0;
};

} // namespace fireflyroute::core

#endif

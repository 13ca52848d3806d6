// A model of a large fleet under load, for experiments with endpoint selection: hundreds of entries
// choose among hundreds of model engines, each with what it knows of the others' work. Time is
// simulated and all randomness comes from a seed.
//
//   const FleetLoadResult result = playFleetLoad({.requestsPerSecond = 900, .seed = 1});
//
// Pattern: many entries with few requests each, so that what an entry knows is mostly the report of
// others, which is older than the time between two requests of the fleet.

#ifndef FIREFLYROUTE_CORE_BALANCING_TESTING_FLEET_LOAD_MODEL_H
#define FIREFLYROUTE_CORE_BALANCING_TESTING_FLEET_LOAD_MODEL_H

#include "core/balancing/endpoint_pick.h"
#include "core/common/stable_hash.h"
#include "core/site/work_exchange.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fireflyroute::core {

struct FleetLoad
{
    int entries = 295;
    int endpoints = 160;
    std::uint32_t slots = 16;
    std::uint32_t queueLength = 33; // waiting requests beyond which an endpoint rejects
    double requestsPerSecond = 960;
    double meanPromptTokens = 1500; // of the part that is the request's own
    double sharedTokens = 1500;
    int subjects = 3000; // different shared parts
    double prefillTokensPerMs = 100;
    double meanDecodeMs = 800; // on an idle endpoint
    double seconds = 6;
    double reportIntervalMs = 150; // of each entry to its home
    double relayIntervalMs = 100; // between homes
    PickWeights weights{};
    unsigned seed = 1;
};

struct FleetLoadResult
{
    int requests = 0;
    int rejected = 0; // arrivals at full endpoints; each is sent again
    int lost = 0; // requests that were rejected three times
    double meanFirstMs = 0; // until the prompt is processed
    double lateShare = 0; // of requests whose prompt is processed after one second
    std::size_t busiest = 0; // most requests at one endpoint, sampled
    int remote = 0; // requests sent to another region
    double repeatedTokens = 0; // of shared parts that were processed
    double meanLoad = 0; // mean requests at an endpoint, sampled
};

class FleetLoadModel
{
public:
    explicit FleetLoadModel(const FleetLoad &load)
        : load_(load)
        , random_(load.seed)
        , endpoints_(static_cast<std::size_t>(load.endpoints))
    {
        for (int i = 0; i < load.endpoints; ++i) {
            EndpointRecord record;
            record.id = EndpointId("endpoint-" + std::to_string(i));
            record.dataCentre = dataCentre(i);
            record.slots = load.slots;
            records_.push_back(record);
        }
        for (const EndpointRecord &record : records_)
            candidates_.push_back(&record);
        for (int i = 0; i < kRegions; ++i)
            homes_.emplace_back(std::chrono::seconds(1));
        prompts_.resize(kRegions);
        Regions regions;
        for (int i = 0; i < kDataCentres; ++i)
            regions[dataCentre(i)] = "region-" + std::to_string(i % kRegions);
        for (int i = 0; i < load.entries; ++i)
            entries_.push_back({EndpointMonitor(),
                                EndpointPicker(dataCentre(i), regions, load.weights),
                                i % kDataCentres % kRegions, VmId("entry-" + std::to_string(i))});
    }

    FleetLoadResult play()
    {
        const double endMs = load_.seconds * 1000;
        for (std::size_t i = 0; i < entries_.size(); ++i)
            at(uniform(0, load_.reportIntervalMs), [this, i] { report(i); });
        at(0, [this] { relay(); });
        at(0, [this] { sample(); });
        at(0, [this] { arrive(); });
        while (!events_.empty() && events_.top().atMs < endMs) {
            const Event event = events_.top();
            events_.pop();
            nowMs_ = event.atMs;
            event.action();
        }
        result_.meanFirstMs = firstMsSum_ / std::max(served_, 1);
        result_.lateShare = static_cast<double>(late_) / std::max(served_, 1);
        result_.meanLoad = loadSum_ / std::max(samples_, 1);
        return result_;
    }

private:
    static constexpr int kDataCentres = 6;
    static constexpr int kRegions = 3;
    static constexpr int kMaxRejections = 3;
    static constexpr double kLateMs = 1000;
    static constexpr std::uint64_t kFirstSubject = 1'000'000'000; // above all request numbers

    struct Event
    {
        double atMs;
        std::uint64_t order; // of events at the same time
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(-atMs, -static_cast<double>(order))
                   < std::pair(-other.atMs, -static_cast<double>(other.order));
        }
    };

    struct Request
    {
        std::size_t entry;
        double arrivedMs;
        double tokens;
        double decodeMs;
        std::uint64_t number;
        std::uint64_t subject; // identifies the shared part of the prompt
        std::uint32_t prefillTokens = 0; // as estimated by the entry
        int rejections = 0;
    };

    struct Endpoint
    {
        std::uint32_t running = 0;
        std::deque<Request> waiting;
        double prefillFreeMs = 0;
        std::set<std::uint64_t> subjects; // shared parts in its cache
    };

    struct Entry
    {
        EndpointMonitor monitor;
        EndpointPicker picker;
        int region;
        VmId id;
    };

    static DataCentreId dataCentre(int i)
    {
        return DataCentreId("centre-" + std::to_string(i % kDataCentres));
    }

    [[nodiscard]] Instant now() const
    {
        return Instant(std::chrono::hours(1))
               + std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double, std::milli>(nowMs_));
    }

    double uniform(double low, double high)
    {
        return low
               + (high - low) * static_cast<double>(random_()) / static_cast<double>(random_.max());
    }

    double exponential(double mean) { return -mean * std::log(1 - uniform(0, 0.999999)); }

    void at(double delayMs, std::function<void()> action)
    {
        events_.push({nowMs_ + delayMs, ++order_, std::move(action)});
    }

    void arrive()
    {
        const auto entry = static_cast<std::size_t>(uniform(0, static_cast<double>(load_.entries)));
        ++result_.requests;
        send({std::min(entry, entries_.size() - 1), nowMs_, exponential(load_.meanPromptTokens),
              exponential(load_.meanDecodeMs), static_cast<std::uint64_t>(result_.requests),
              kFirstSubject + random_() % static_cast<std::uint64_t>(load_.subjects)});
        at(exponential(1000 / load_.requestsPerSecond), [this] { arrive(); });
    }

    void send(Request request)
    {
        Entry &entry = entries_[request.entry];
        const std::vector<PromptPart> prompt{
                {request.subject, static_cast<std::uint32_t>(load_.sharedTokens)},
                {request.number, static_cast<std::uint32_t>(request.tokens)}};
        PromptIndex &prompts = prompts_[static_cast<std::size_t>(entry.region)];
        const PromptMatch match = prompts.match(ModelName("m"), prompt, now());
        PickRequest query;
        query.prompt = &prompt;
        query.match = &match;
        query.draw = mixBits(request.number);
        std::vector<const EndpointRecord *> usable;
        for (const EndpointRecord *candidate : candidates_) {
            if (entry.monitor.isUsable(candidate->id, now()))
                usable.push_back(candidate);
        }
        const PickResult pick = entry.picker.pick(usable, query, entry.monitor, now());
        const auto index = static_cast<std::size_t>(pick.endpoint - records_.data());
        entry.monitor.recordDispatch(pick.endpoint->id, pick.prefillTokens);
        request.prefillTokens = pick.prefillTokens;
        for (PromptIndex &index : prompts_)
            index.recordSent(pick.endpoint->id, ModelName("m"), prompt, now());
        (void)prompts.takeUpdates();
        const int pickedRegion = static_cast<int>(index) % kDataCentres % kRegions;
        result_.remote += pickedRegion == entry.region ? 0 : 1;
        const bool isLocal =
                pick.endpoint->dataCentre == dataCentre(static_cast<int>(request.entry));
        at(isLocal ? 1 : 12, [this, index, request] { receive(index, request); });
    }

    void receive(std::size_t index, Request request)
    {
        Endpoint &endpoint = endpoints_[index];
        if (endpoint.running < load_.slots) {
            start(index, request);
            return;
        }
        if (endpoint.waiting.size() < load_.queueLength) {
            endpoint.waiting.push_back(request);
            return;
        }
        ++result_.rejected;
        Entry &entry = entries_[request.entry];
        entry.monitor.recordSaturation(records_[index].id, now());
        entry.monitor.recordPrefillDone(records_[index].id, request.prefillTokens);
        finish(index, request);
        if (++request.rejections < kMaxRejections)
            send(request);
        else
            ++result_.lost;
    }

    // The request has left the endpoint.
    void finish(std::size_t index, const Request &request)
    {
        entries_[request.entry].monitor.recordEnd(records_[index].id);
    }

    void start(std::size_t index, const Request &request)
    {
        Endpoint &endpoint = endpoints_[index];
        ++endpoint.running;
        const bool isCached = !endpoint.subjects.insert(request.subject).second;
        result_.repeatedTokens += isCached ? 0 : load_.sharedTokens;
        const double tokens = request.tokens + (isCached ? 0 : load_.sharedTokens);
        const double beginMs =
                std::max(nowMs_, endpoint.prefillFreeMs) + tokens / load_.prefillTokensPerMs;
        endpoint.prefillFreeMs = beginMs;
        const double firstMs = beginMs - request.arrivedMs;
        ++served_;
        firstMsSum_ += firstMs;
        late_ += firstMs > kLateMs ? 1 : 0;
        const double slowdown = 1 + 0.5 * endpoint.running / load_.slots;
        at(beginMs - nowMs_, [this, index, request] {
            entries_[request.entry].monitor.recordPrefillDone(records_[index].id,
                                                              request.prefillTokens);
        });
        at(beginMs - nowMs_ + request.decodeMs * slowdown, [this, index, request] {
            Endpoint &ended = endpoints_[index];
            --ended.running;
            finish(index, request);
            if (ended.waiting.empty())
                return;
            const Request next = ended.waiting.front();
            ended.waiting.pop_front();
            start(index, next);
        });
    }

    void report(std::size_t index)
    {
        Entry &entry = entries_[index];
        WorkExchange &home = homes_[static_cast<std::size_t>(entry.region)];
        home.receive(entry.id, entry.monitor.localWork(), now());
        entry.monitor.applyRemoteWork(home.workOfOthers(entry.id, now()), now());
        at(load_.reportIntervalMs, [this, index] { report(index); });
    }

    void relay()
    {
        std::vector<WorkReport> reports;
        for (WorkExchange &home : homes_)
            reports.push_back(home.workOfEntries(now()));
        for (std::size_t from = 0; from < homes_.size(); ++from) {
            for (std::size_t to = 0; to < homes_.size(); ++to) {
                if (from != to)
                    homes_[to].receiveFromControlVm(VmId("home-" + std::to_string(from)),
                                                    reports[from], now());
            }
        }
        at(load_.relayIntervalMs, [this] { relay(); });
    }

    void sample()
    {
        constexpr double kSampleIntervalMs = 100;
        double sum = 0;
        for (const Endpoint &endpoint : endpoints_) {
            const std::size_t requests = endpoint.running + endpoint.waiting.size();
            result_.busiest = std::max(result_.busiest, requests);
            sum += static_cast<double>(requests);
        }
        loadSum_ += sum / static_cast<double>(endpoints_.size());
        ++samples_;
        at(kSampleIntervalMs, [this] { sample(); });
    }

    FleetLoad load_;
    std::mt19937 random_;
    std::vector<EndpointRecord> records_;
    std::vector<const EndpointRecord *> candidates_; // pointers into records_
    std::vector<Endpoint> endpoints_; // by index of the record
    std::vector<Entry> entries_;
    std::vector<WorkExchange> homes_; // by region
    std::vector<PromptIndex> prompts_; // by region
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    double nowMs_ = 0;
    FleetLoadResult result_;
    int served_ = 0;
    int late_ = 0;
    int samples_ = 0;
    double firstMsSum_ = 0;
    double loadSum_ = 0;
};

inline FleetLoadResult playFleetLoad(const FleetLoad &load)
{
    return FleetLoadModel(load).play();
}

} // namespace fireflyroute::core

#endif

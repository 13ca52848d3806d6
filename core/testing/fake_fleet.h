// A discrete-event simulation for admission experiments: a few endpoints with fixed slots, one
// Admission per entry, Poisson arrivals and usage reports between the entries. Time is simulated
// and all randomness comes from one printed seed.
//
//   FakeFleet<GuaranteedShareScheduler> fleet(config, FleetShape{}, seed);
//   fleet.addLoad(LoadSource{.account = "duka", .rank = Rank::Normal, .tokensPerSecond = 900});
//   fleet.run(60s);
//   const std::vector<SimulatedRequest> &requests = fleet.requests();
//
// Endpoints serve their queues by priority, as model engines do.

#ifndef FIREFLYROUTE_CORE_TESTING_FAKE_FLEET_H
#define FIREFLYROUTE_CORE_TESTING_FAKE_FLEET_H

#include "core/admission/admission.h"
#include "core/balancing/endpoint_choice.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace fireflyroute::core {

struct FleetShape
{
    std::uint32_t entries = 8;
    std::uint32_t endpoints = 12;
    std::uint32_t concurrency = 8; // slots of one endpoint
    double slotTokensPerSecond = 200;
    Duration reportInterval = std::chrono::milliseconds(500); // of usage and endpoint load
    bool exchangesUsage = true;
    double estimateSpread = 0.3; // standard deviation of the logarithm of estimate / actual

    [[nodiscard]] double capacity() const
    {
        return endpoints * concurrency * slotTokensPerSecond; // tokens per second
    }
};

// Arrivals of one account at one rank.
struct LoadSource
{
    std::string account;
    Rank rank = Rank::Normal;
    double tokensPerSecond = 0;
    double meanTokens = 400;
    Duration from{0};
    Duration until = std::chrono::hours(1);
    int entry = -1; // the entry that receives the requests; -1 for a random one
};

// An arrived request and its timing.
struct SimulatedRequest
{
    std::string account;
    Rank rank = Rank::Normal;
    std::uint32_t tokens = 0;
    Duration arrivedAt{0}; // since the start
    Duration wait = Duration::max(); // from arrival to the start on an endpoint; max if rejected
    Duration latency = Duration::max(); // from arrival to completion; max if rejected or unfinished
};

template<RankScheduler Scheduler, ScoringPolicy Policy = WeightedPolicy>
class FakeFleet
{
public:
    FakeFleet(const FleetConfig &config, const FleetShape &shape, std::uint64_t seed)
        : shape_(shape)
        , rng_(seed)
        , endpoints_(shape.endpoints)
    {
        for (std::uint32_t i = 0; i < shape.entries; ++i) {
            const VmId vm("entry" + std::to_string(i));
            entries_.push_back(Entry{Admission<Scheduler>(vm, Incarnation(1))});
            entries_.back().admission.configure(config, now_);
        }
        announceAndExchange();
        for (std::uint32_t i = 0; i < shape.entries; ++i) {
            const std::uint32_t slots = shape.endpoints * shape.concurrency / shape.entries;
            step(i, CapacityChanged{kPool, slots});
        }
    }

    void addLoad(const LoadSource &load)
    {
        scheduleAt(load.from, [this, load] { generateArrivals(load); });
    }

    void run(Duration length)
    {
        while (!events_.empty() && events_.begin()->first.first <= kStart + length) {
            now_ = events_.begin()->first.first;
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
    }

    // All requests so far, in order of arrival.
    [[nodiscard]] const std::vector<SimulatedRequest> &requests() const { return requests_; }

private:
    static inline const PoolId kPool{"returns"};
    static inline const ModelVersion kVersion{ModelName("m"), VersionName("1")};
    static constexpr Instant kStart{std::chrono::hours(1)};

    struct Entry
    {
        Admission<Scheduler> admission;
        LoadEstimator loadEstimator{Duration{0}};
        EndpointChooser<Policy> chooser{1};
    };

    struct QueuedRequest
    {
        std::size_t request; // index in requests_
        std::uint32_t entry;
    };

    struct Endpoint
    {
        std::uint32_t running = 0;
        std::multimap<Rank, QueuedRequest> queue; // by priority, then in order of arrival
    };

    void scheduleAt(Duration when, std::function<void()> event)
    {
        events_.emplace(std::pair(std::max(now_, kStart + when), nextEvent_++), std::move(event));
    }

    void scheduleAfter(double seconds, std::function<void()> event)
    {
        const auto delay =
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        scheduleAt(now_ - kStart + delay, std::move(event));
    }

    double exponential(double mean) { return std::exponential_distribution<>(1 / mean)(rng_); }

    void generateArrivals(const LoadSource &load)
    {
        if (now_ - kStart >= load.until)
            return;
        const auto tokens = static_cast<std::uint32_t>(std::max(1.0, exponential(load.meanTokens)));
        const double error = std::lognormal_distribution<>(0, shape_.estimateSpread)(rng_);
        const auto number = requests_.size();
        requests_.push_back(SimulatedRequest{load.account, load.rank, tokens, now_ - kStart});
        const auto entry = load.entry >= 0 ? static_cast<std::uint32_t>(load.entry)
                                           : static_cast<std::uint32_t>(rng_() % entries_.size());
        const AdmissionRequest request{.id = RequestId(std::to_string(number)),
                                       .account = ClientAccountId(load.account),
                                       .pool = kPool,
                                       .rank = load.rank,
                                       .estimatedTokens =
                                               static_cast<std::uint32_t>(tokens * error)};
        step(entry, RequestArrived{request});
        scheduleAfter(exponential(load.meanTokens / load.tokensPerSecond),
                      [=, this] { generateArrivals(load); });
    }

    void step(std::uint32_t entry, const AdmissionInput &input)
    {
        for (const AdmissionAction &action : entries_[entry].admission.step(input, now_)) {
            if (const auto *dispatch = std::get_if<DispatchRequest>(&action))
                enqueue(QueuedRequest{std::stoul(dispatch->id.value()), entry}, dispatch->priority);
        }
    }

    void enqueue(const QueuedRequest &queued, Rank priority)
    {
        Entry &entry = entries_[queued.entry];
        const SimulatedRequest &request = requests_[queued.request];
        const EndpointChoiceRequest choiceRequest{.target = kVersion, .rank = request.rank};
        const auto anyEndpoint = [](const EndpointState &) { return true; };
        const auto chosen = entry.chooser.choose(*index_, choiceRequest, entry.loadEstimator,
                                                 prefixCache_, anyEndpoint, rng_, now_);
        const EndpointId id = chosen ? chosen.value().id : EndpointId("0");
        entry.loadEstimator.recordStart(id, now_);
        const std::size_t number = std::stoul(id.value());
        endpoints_[number].queue.emplace(priority, queued);
        startQueued(number);
    }

    void startQueued(std::size_t number)
    {
        Endpoint &endpoint = endpoints_[number];
        while (endpoint.running < shape_.concurrency && !endpoint.queue.empty()) {
            const QueuedRequest queued = endpoint.queue.begin()->second;
            endpoint.queue.erase(endpoint.queue.begin());
            ++endpoint.running;
            SimulatedRequest &request = requests_[queued.request];
            request.wait = now_ - kStart - request.arrivedAt;
            scheduleAfter(request.tokens / shape_.slotTokensPerSecond,
                          [=, this] { finish(queued, number); });
        }
    }

    void finish(const QueuedRequest &queued, std::size_t number)
    {
        SimulatedRequest &request = requests_[queued.request];
        request.latency = now_ - kStart - request.arrivedAt;
        --endpoints_[number].running;
        startQueued(number);
        entries_[queued.entry].loadEstimator.recordFinish(EndpointId(std::to_string(number)), now_);
        step(queued.entry,
             RequestFinished{RequestId(std::to_string(queued.request)), request.tokens});
    }

    void announceAndExchange()
    {
        ++sequence_;
        for (std::size_t number = 0; number < endpoints_.size(); ++number) {
            EndpointAnnouncement announcement{.id = EndpointId(std::to_string(number)),
                                              .sequence = sequence_};
            announcement.phase = EndpointPhase::Ready;
            announcement.versions = {kVersion};
            announcement.load =
                    EndpointLoad{endpoints_[number].running,
                                 static_cast<std::uint32_t>(endpoints_[number].queue.size()),
                                 shape_.concurrency};
            directory_.announce(announcement, Duration{0}, now_);
        }
        index_.emplace(directory_.view(now_), DataCentreId(), distanceByName);
        for (std::uint32_t from = 0; shape_.exchangesUsage && from < entries_.size(); ++from) {
            const UsageReport report = entries_[from].admission.usageReport();
            for (std::uint32_t to = 0; to < entries_.size(); ++to)
                step(to, UsageReported{report});
        }
        for (std::uint32_t entry = 0; entry < entries_.size(); ++entry)
            step(entry, AdmissionTick{});
        scheduleAt(now_ - kStart + shape_.reportInterval, [this] { announceAndExchange(); });
    }

    FleetShape shape_;
    std::mt19937_64 rng_;
    Instant now_ = kStart;
    std::uint64_t nextEvent_ = 0; // orders events at the same time
    std::uint64_t sequence_ = 0; // of announcements
    std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> events_;
    std::vector<Endpoint> endpoints_;
    std::vector<Entry> entries_;
    std::vector<SimulatedRequest> requests_;
    Directory directory_{std::chrono::hours(1)};
    std::optional<EndpointIndex> index_;
    PrefixCache prefixCache_{1};
};

} // namespace fireflyroute::core

#endif

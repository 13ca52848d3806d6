// A service whose endpoints crash, in simulated time: the evidence that entries report, what the
// leader concludes from it and what that does to callers, by traffic, number of endpoints and
// cause.

#define BOOST_TEST_MODULE crash_attribution_model
#include "core/quarantine/crash_attribution.h"
#include "core/quarantine/crash_watch.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

constexpr Duration kStep = 10ms;
constexpr Duration kReportPeriod = 150ms;
constexpr Duration kHeartbeat = 1200ms;
constexpr Duration kRestart = 3s;
constexpr Duration kWork = 200ms; // of a sound request
constexpr Duration kContact = 4s; // in which the site has to react
constexpr Duration kTogetherEach = 5s; // between two crashes of several endpoints together
constexpr std::size_t kEntries = 4;
constexpr std::size_t kMaxAttempts = 3;
constexpr std::size_t kMaxLateRequests = 3;
const Instant kStart{1h};
const ServiceName kService("ledger");

// What ends connections to endpoints, besides the deadly request.
enum class Cause { None, Wipes, CutEntry, HalfCrashes, AllCrash };

struct Setting
{
    double otherPerSecond = 2; // sound requests, no two alike
    std::size_t endpoints = 3;
    Duration repeatedEach = 1s; // the deadly request, or a sound one in its place
    bool isDeadly = true;
    std::size_t sharedParts = 0; // of the prompts of all requests
    Cause cause = Cause::None;
};

struct Outcome
{
    std::size_t crashesLater = 0; // after the third crash by the deadly request
    std::size_t requestsLater = 0; // that reached endpoints kContact after it
    std::size_t soundRequests = 0;
    std::size_t soundRefused = 0; // because of a suspension or a quarantine
    std::size_t repeatedServed = 0;
    std::size_t repeatedRefused = 0;
    Duration lastRefusal{}; // of the repeated request, since the other cause has ended
};

class Model
{
public:
    Model(const Setting &setting, std::uint64_t seed)
        : setting_(setting)
        , rng_(seed)
        , endpoints_(setting.endpoints)
        , watches_(kEntries)
    {
        for (std::size_t i = 0; i < endpoints_.size(); ++i)
            endpoints_[i].heartbeatAt = kStart + kHeartbeat * i / endpoints_.size();
    }

    Outcome run(Duration duration)
    {
        const Instant end = kStart + duration;
        Instant repeatAt = kStart + 2s;
        Instant otherAt = kStart;
        std::exponential_distribution<double> gap(setting_.otherPerSecond);
        for (; now_ < end; now_ += kStep) {
            isCauseActive_ =
                    setting_.cause != Cause::None && now_ - kStart >= 5s && now_ - kStart < 25s;
            if (now_ >= otherAt) {
                otherAt += std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(gap(rng_)));
                send(++lastRequest_, false);
            }
            if (now_ >= repeatAt) {
                repeatAt += setting_.repeatedEach;
                send(kRepeated, setting_.isDeadly);
            }
            stepEndpoints();
            finishRequests();
            report();
        }
        return result_;
    }

private:
    static constexpr std::uint64_t kRepeated = 1;

    struct Endpoint
    {
        std::uint64_t startedAtMs = 1;
        Instant upAt = kStart;
        Instant heartbeatAt;
    };

    struct Running
    {
        std::uint64_t request = 0;
        std::size_t entry = 0;
        std::size_t endpoint = 0;
        std::size_t attempts = 0;
        Instant doneAt;
    };

    std::vector<RequestTrait> traitsOfRequest(std::uint64_t request) const
    {
        std::vector<RequestTrait> traits;
        for (std::size_t i = 0; i < setting_.sharedParts; ++i)
            traits.push_back(RequestTrait{1'000'000 + i});
        traits.push_back(RequestTrait{2'000'000 + request}); // the last part of its prompt
        traits.push_back(RequestTrait{3'000'000 + request});
        return traits;
    }

    void send(std::uint64_t request, bool isDeadly)
    {
        result_.soundRequests += isDeadly || request == kRepeated ? 0 : 1;
        const std::size_t entry = rng_() % kEntries;
        if (isDeadly)
            sendDeadly(entry);
        else
            start({request, entry, 0, 0, {}});
    }

    bool isRefused(std::uint64_t request, std::size_t entry)
    {
        if (!watches_[entry].checkQuarantine(traitsOfRequest(request), now_))
            return false;
        if (request != kRepeated) {
            ++result_.soundRefused;
        } else {
            ++result_.repeatedRefused;
            if (now_ - kStart > 25s)
                result_.lastRefusal = now_ - kStart - 25s;
        }
        return true;
    }

    std::vector<std::size_t> upEndpoints() const
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            if (endpoints_[i].upAt <= now_)
                up.push_back(i);
        }
        return up;
    }

    // Each attempt crashes its endpoint at once.
    void sendDeadly(std::size_t entry)
    {
        bool hasReached = false;
        for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
            const std::vector<std::size_t> up = upEndpoints();
            if (up.empty() || isRefused(kRepeated, entry))
                break;
            const std::size_t endpoint = up[rng_() % up.size()];
            hasReached = true;
            if (++deadlyCrashes_ == 3)
                thirdCrashAt_ = now_;
            result_.crashesLater += deadlyCrashes_ > 3 ? 1 : 0;
            recordCrash(entry, endpoint, kRepeated);
            crash(endpoint);
        }
        const bool isLate = thirdCrashAt_ && now_ > *thirdCrashAt_ + kContact;
        result_.requestsLater += hasReached && isLate ? 1 : 0;
    }

    void start(Running running)
    {
        while (running.attempts < kMaxAttempts) {
            const std::vector<std::size_t> up = upEndpoints();
            if (up.empty() || isRefused(running.request, running.entry))
                return;
            ++running.attempts;
            running.endpoint = up[rng_() % up.size()];
            if (isCauseActive_ && setting_.cause == Cause::CutEntry && running.entry == 0) {
                recordCrash(running.entry, running.endpoint, running.request);
                continue;
            }
            running.doneAt = now_ + kWork;
            running_.push_back(running);
            return;
        }
    }

    void recordCrash(std::size_t entry, std::size_t endpoint, std::uint64_t request)
    {
        watches_[entry].recordCrash({EndpointId(fmt::format("e{}", endpoint)),
                                     endpoints_[endpoint].startedAtMs, kService,
                                     traitsOfRequest(request)},
                                    now_);
    }

    void crash(std::size_t endpoint)
    {
        for (const Running &running : interrupt(endpoint))
            start(running);
    }

    void crashTogether(std::size_t count)
    {
        std::vector<Running> interrupted;
        for (std::size_t endpoint = 0; endpoint < count; ++endpoint) {
            for (const Running &running : interrupt(endpoint))
                interrupted.push_back(running);
        }
        for (const Running &running : interrupted)
            start(running);
    }

    // Ends the incarnation of the endpoint. Returns what was running there.
    std::vector<Running> interrupt(std::size_t endpoint)
    {
        std::vector<Running> interrupted;
        std::erase_if(running_, [&](const Running &running) {
            if (running.endpoint == endpoint)
                interrupted.push_back(running);
            return running.endpoint == endpoint;
        });
        for (const Running &running : interrupted)
            recordCrash(running.entry, endpoint, running.request);
        endpoints_[endpoint].upAt = now_ + kRestart;
        ++endpoints_[endpoint].startedAtMs;
        return interrupted;
    }

    void stepEndpoints()
    {
        if (isCauseActive_ && setting_.cause == Cause::Wipes && rng_() % 100 == 0)
            crash(rng_() % endpoints_.size());
        const bool isTogether = (now_ - kStart) % kTogetherEach == Duration::zero();
        if (isCauseActive_ && isTogether && setting_.cause == Cause::HalfCrashes)
            crashTogether(endpoints_.size() / 2);
        if (isCauseActive_ && isTogether && setting_.cause == Cause::AllCrash)
            crashTogether(endpoints_.size());
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            Endpoint &endpoint = endpoints_[i];
            if (endpoint.heartbeatAt > now_)
                continue;
            endpoint.heartbeatAt += kHeartbeat;
            if (endpoint.upAt <= now_)
                leader_.recordHeartbeat(EndpointId(fmt::format("e{}", i)), endpoint.startedAtMs,
                                        now_);
        }
    }

    void finishRequests()
    {
        std::erase_if(running_, [&](const Running &running) {
            if (running.doneAt > now_)
                return false;
            watches_[running.entry].recordAnswered(kService, traitsOfRequest(running.request));
            result_.repeatedServed += running.request == kRepeated ? 1 : 0;
            return true;
        });
    }

    void report()
    {
        if (now_ < reportAt_)
            return;
        reportAt_ = now_ + kReportPeriod;
        for (CrashWatch &watch : watches_) {
            const CrashReport report = watch.takeReport(now_);
            for (const EndpointCrash &crash : report.crashes)
                leader_.recordCrash(crash, now_);
            leader_.recordAnswers(report, now_);
            for (const QuarantinedTrait &quarantined : report.quarantined)
                leader_.recordQuarantined(quarantined, now_);
            QuarantineState grant;
            grant.trials = leader_.grantTrials(report.refused, now_);
            if (grant.trials.empty())
                continue;
            const std::vector<RequestTrait> trials = grant.trials;
            grant = leader_.state(now_);
            grant.trials = trials;
            watch.apply(grant, now_);
        }
        if (!leader_.update(now_))
            return;
        for (CrashWatch &watch : watches_)
            watch.apply(leader_.state(now_), now_);
    }

    const Setting setting_;
    std::mt19937_64 rng_;
    Instant now_ = kStart;
    Instant reportAt_ = kStart;
    std::vector<Endpoint> endpoints_;
    std::vector<CrashWatch> watches_; // of each entry
    CrashAttribution leader_{kHeartbeat};
    std::vector<Running> running_;
    std::uint64_t lastRequest_ = kRepeated;
    std::size_t deadlyCrashes_ = 0;
    std::optional<Instant> thirdCrashAt_;
    bool isCauseActive_ = false;
    Outcome result_;
};

constexpr std::uint64_t kSeeds = 5;
constexpr double kTraffic[] = {0.1, 2, 15, 100};
constexpr std::size_t kSizes[] = {1, 2, 3, 8, 30};

std::string nameOf(Cause cause)
{
    const std::map<Cause, std::string> names{{Cause::None, "deadly"},
                                             {Cause::Wipes, "wipes"},
                                             {Cause::CutEntry, "cut entry"},
                                             {Cause::HalfCrashes, "half crashes"},
                                             {Cause::AllCrash, "all crash"}};
    return names.at(cause);
}

void describe(const std::string &name, const Setting &setting, const Outcome &sum)
{
    BOOST_TEST_MESSAGE(fmt::format(
            "{}: {:5.1f}/s, {:2} endpoints, repeated each {:5} ms: crashes after the third "
            "{:5.1f}, "
            "late requests {:4.1f}, sound refused {} of {}, repeated served {}, refused {}",
            name, setting.otherPerSecond, setting.endpoints, setting.repeatedEach / 1ms,
            static_cast<double>(sum.crashesLater) / kSeeds,
            static_cast<double>(sum.requestsLater) / kSeeds, sum.soundRefused, sum.soundRequests,
            sum.repeatedServed, sum.repeatedRefused));
}

} // namespace

// Guards against deadly requests that go on crashing endpoints where a service has little traffic
// or few endpoints (review/7), and against sound requests refused because of them (review/9).
BOOST_AUTO_TEST_CASE(deadly_request_is_stopped_whatever_the_traffic_and_the_size_of_the_service)
{
    for (const double traffic : kTraffic) {
        for (const std::size_t size : kSizes) {
            for (const Duration repeatedEach : {Duration(100ms), Duration(1s), Duration(25s)}) {
                const Setting setting{.otherPerSecond = traffic,
                                      .endpoints = size,
                                      .repeatedEach = repeatedEach,
                                      .sharedParts = 2};
                Outcome sum;
                for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
                    const Outcome result = Model(setting, seed).run(5min);
                    BOOST_TEST(result.requestsLater <= kMaxLateRequests,
                               fmt::format("{} late requests at {}/s, {} endpoints, each {} ms, "
                                           "seed {}",
                                           result.requestsLater, traffic, size, repeatedEach / 1ms,
                                           seed));
                    sum.crashesLater += result.crashesLater;
                    sum.requestsLater += result.requestsLater;
                    sum.soundRequests += result.soundRequests;
                    sum.soundRefused += result.soundRefused;
                    sum.repeatedRefused += result.repeatedRefused;
                }
                describe(nameOf(setting.cause), setting, sum);
                BOOST_TEST(sum.soundRefused * 1000 <= sum.soundRequests);
            }
        }
    }
}

// Guards against sound requests that come again being refused after resets of other causes.
BOOST_AUTO_TEST_CASE(sound_request_is_served_after_wipes_and_cut_links)
{
    for (const Cause cause : {Cause::Wipes, Cause::CutEntry, Cause::HalfCrashes}) {
        for (const double traffic : kTraffic) {
            for (const std::size_t size : kSizes) {
                const Setting setting{.otherPerSecond = traffic,
                                      .endpoints = size,
                                      .repeatedEach = cause == Cause::HalfCrashes ? 20ms : 300ms,
                                      .isDeadly = false,
                                      .sharedParts = 2,
                                      .cause = cause};
                Outcome sum;
                for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
                    const Outcome result = Model(setting, seed).run(60s);
                    BOOST_TEST(result.lastRefusal <= kContact,
                               fmt::format("refused {} ms after the cause has ended, at {}/s, {} "
                                           "endpoints, seed {}",
                                           result.lastRefusal / 1ms, traffic, size, seed));
                    sum.soundRequests += result.soundRequests;
                    sum.soundRefused += result.soundRefused;
                    sum.repeatedServed += result.repeatedServed;
                    sum.repeatedRefused += result.repeatedRefused;
                }
                describe(nameOf(cause), setting, sum);
                BOOST_TEST(sum.soundRefused * 1000 <= sum.soundRequests);
            }
        }
    }
}

// A request that many callers send is in flight on all endpoints as they crash together, so that
// nothing tells it from a deadly one until a trial.
BOOST_AUTO_TEST_CASE(common_request_is_served_again_after_all_endpoints_have_crashed_together)
{
    for (const std::size_t size : kSizes) {
        const Setting setting{.endpoints = size,
                              .repeatedEach = 20ms,
                              .isDeadly = false,
                              .sharedParts = 2,
                              .cause = Cause::AllCrash};
        Outcome sum;
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            const Outcome result = Model(setting, seed).run(60s);
            BOOST_TEST(result.lastRefusal <= CrashAttribution::kFirstTrial + kContact);
            sum.soundRequests += result.soundRequests;
            sum.soundRefused += result.soundRefused;
            sum.repeatedServed += result.repeatedServed;
            sum.repeatedRefused += result.repeatedRefused;
        }
        describe(nameOf(Cause::AllCrash), setting, sum);
    }
}

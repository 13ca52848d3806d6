// Tests of the allowances of cold endpoints: the parts that entries hold, the leader that grants
// them, and both together under the load "a data centre returns cold under full traffic".

#define BOOST_TEST_MODULE cold_allowance
#include "core/cold/cold_allowance.h"
#include "core/cold/cold_endpoints.h"
#include "core/cold/cold_grants.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <random>
#include <vector>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const WallTime kWallStart{std::chrono::hours(24 * 365 * 50)};
const EndpointId kEndpoint("e1");

ColdGrants grantOf(std::uint64_t nonce, std::uint32_t parts)
{
    return {nonce, {{kEndpoint, parts}}};
}

std::uint32_t partsOf(const ColdGrants &grants)
{
    return grants.grants.empty() ? 0 : grants.grants.front().parts;
}

EndpointRecord recordOf(Duration age, std::uint32_t warmupMs, std::uint64_t sequence)
{
    EndpointRecord record;
    record.id = kEndpoint;
    record.startedAtMs =
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                               kWallStart.time_since_epoch() - age)
                                               .count());
    record.sequence = sequence;
    record.warmupMs = warmupMs;
    return record;
}

} // namespace

// Guards against a burst of an entry that took over a part which another one has just used.
BOOST_AUTO_TEST_CASE(part_permits_no_request_before_its_first_interval)
{
    ColdAllowance allowance(2s);
    allowance.applyGrants(grantOf(1, 1), kStart, kStart + 50ms);
    BOOST_TEST(!allowance.allows(kEndpoint, kStart + 1s));
    BOOST_TEST(allowance.take(kEndpoint, kStart + 50ms + kColdPartInterval));
    BOOST_TEST(!allowance.take(kEndpoint, kStart + 60ms + kColdPartInterval));
}

// Guards against the use of a part after the leader may have granted it to another entry.
BOOST_AUTO_TEST_CASE(part_ends_with_its_lifetime_counted_from_the_probe)
{
    ColdAllowance allowance(2s);
    allowance.applyGrants(grantOf(1, 3), kStart, kStart + 500ms);
    BOOST_TEST(allowance.allows(kEndpoint, kStart + 1999ms));
    BOOST_TEST(!allowance.allows(kEndpoint, kStart + 2s));
    allowance.applyGrants(grantOf(2, 3), kStart + 2s, kStart + 2100ms);
    BOOST_TEST(!allowance.allows(kEndpoint, kStart + 3100ms));
    // An answer to an earlier probe, and one that arrives too late.
    allowance.applyGrants(grantOf(1, 9), kStart, kStart + 2200ms);
    BOOST_TEST(allowance.partsHeld(kStart + 2200ms) == 3U);
    allowance.applyGrants(grantOf(3, 9), kStart + 2200ms, kStart + 4200ms);
    BOOST_TEST(allowance.partsHeld(kStart + 4200ms) == 0U);
}

// Guards against a request that is sent with the part that has just been returned.
BOOST_AUTO_TEST_CASE(fewer_parts_keep_the_ones_used_last)
{
    ColdAllowance allowance(2s);
    allowance.applyGrants(grantOf(1, 2), kStart, kStart);
    const Instant later = kStart + kColdPartInterval;
    BOOST_TEST(allowance.take(kEndpoint, later));
    allowance.applyGrants(grantOf(2, 1), later, later);
    BOOST_TEST(!allowance.allows(kEndpoint, later + 1s));
    BOOST_TEST(allowance.allows(kEndpoint, later + kColdPartInterval));
}

// Guards against two entries that hold the same part while lists of entries change.
BOOST_AUTO_TEST_CASE(leader_grants_a_part_again_only_after_it_has_expired)
{
    ColdGrantor grantor(2s);
    grantor.recordElected(kStart);
    const VmId first("10.0.0.1");
    const VmId second("10.0.0.2");
    const auto partsAt = [&](const VmId &entry, std::uint64_t nonce, std::chrono::milliseconds at,
                             bool isIsolated = false) {
        (void)grantor.grantTo(entry, nonce, isIsolated, kStart + at);
        grantor.setEndpoints({{kEndpoint, 2}}, kStart + at);
        return partsOf(grantor.grantTo(entry, nonce, isIsolated, kStart + at));
    };
    BOOST_TEST(partsAt(first, 1, 1999ms) == 0U);
    BOOST_TEST(partsAt(first, 2, 2s) == 2U);
    BOOST_TEST(partsAt(second, 1, 3s) == 0U);
    BOOST_TEST(partsAt(first, 3, 3s) == 1U);
    BOOST_TEST(partsAt(second, 2, 3999ms) == 0U);
    BOOST_TEST(partsAt(second, 3, 4s) == 1U);
    BOOST_TEST(partsAt(first, 4, 4s, true) == 0U);
    BOOST_TEST(partsAt(second, 4, 4900ms) == 1U);
    BOOST_TEST(partsAt(second, 5, 5s) == 2U);
}

BOOST_AUTO_TEST_CASE(endpoint_is_cold_after_its_start_and_while_it_reports_so)
{
    ColdEndpoints endpoints;
    BOOST_TEST(endpoints.isCold(kEndpoint, 3s, kStart));
    endpoints.observe(recordOf(1h, 0, 1), kStart, kWallStart);
    BOOST_TEST(!endpoints.isCold(kEndpoint, 3s, kStart));
    // Turns cold again; an older report that arrives later has no effect.
    endpoints.observe(recordOf(1h, 800, 3), kStart + 1s, kWallStart);
    endpoints.observe(recordOf(1h, 0, 2), kStart + 1s, kWallStart);
    BOOST_TEST(endpoints.isCold(kEndpoint, 3s, kStart + 1799ms));
    BOOST_TEST(!endpoints.isCold(kEndpoint, 3s, kStart + 1800ms));
    // A restart, and a start that the clocks can't tell from a recent one.
    endpoints.observe(recordOf(5s, 0, 1), kStart + 5s, kWallStart);
    BOOST_TEST(endpoints.isCold(kEndpoint, 3s, kStart + 7999ms));
    BOOST_TEST(!endpoints.isCold(kEndpoint, 3s, kStart + 8s));
    endpoints.recordConnectionRefusal(kEndpoint, kStart + 20s);
    BOOST_TEST(endpoints.isCold(kEndpoint, 3s, kStart + 22999ms));
    BOOST_TEST(!endpoints.isCold(kEndpoint, 3s, kStart + 23s));
    endpoints.retain({});
    BOOST_TEST(endpoints.isCold(kEndpoint, 3s, kStart + 9s));
}

namespace {

// How the fleet fares while the data centre returns.
struct Faults
{
    bool entriesRestart = false;
    bool leaderChanges = false; // the old one is cut off with a part of the entries until it ends
    bool linksFail = false; // each entry loses its messages for some time
};

// A data centre returns cold under full traffic: every entry has a request for any of its endpoints
// at any time. Time advances in steps; messages and requests take random times.
class ReturnOfDataCentre
{
public:
    static constexpr double kPerSecond = 11;
    static constexpr std::size_t kEndpoints = 12;
    static constexpr Duration kStep = 5ms;
    static constexpr Duration kDuration = 20s;
    static constexpr Duration kProbePeriod = 400ms;
    static constexpr Duration kEvaluationPeriod = 100ms;
    static constexpr Duration kMaxRequestDelay = 90ms;

    ReturnOfDataCentre(std::size_t entryCount, const Faults &faults, unsigned seed)
        : faults_(faults)
        , random_(seed)
        , leaders_(2, ColdGrantor(kColdGrantLifetime))
        , arrivals_(kEndpoints)
    {
        for (std::size_t i = 0; i < kEndpoints; ++i) {
            endpoints_.emplace_back(fmt::format("cold-{}", i));
            cold_.push_back({endpoints_.back(), coldParts(kPerSecond)});
        }
        leaders_[0].recordElected(kStart - 10s);
        for (std::size_t i = 0; i < entryCount; ++i) {
            entries_.push_back({VmId(fmt::format("10.0.{}.{}", i / 250, i % 250))});
            entries_.back().nextProbeAt = kStart + upTo(kProbePeriod);
            entries_.back().cutFrom = kStart + upTo(kDuration);
        }
    }

    void run()
    {
        for (Instant now = kStart; now < kStart + kDuration; now += kStep) {
            if (faults_.leaderChanges && leader_ == 0 && now >= kStart + 8s) {
                leader_ = 1;
                leaders_[1].recordElected(now);
            }
            if ((now - kStart) % kEvaluationPeriod == Duration::zero())
                leaders_[leader_].setEndpoints(cold_, now);
            for (Entry &entry : entries_)
                step(entry, now);
        }
        for (std::vector<Instant> &arrivals : arrivals_)
            std::sort(arrivals.begin(), arrivals.end());
    }

    // Largest number of requests that reached an endpoint within a second.
    [[nodiscard]] std::size_t mostInOneSecond() const
    {
        std::size_t most = 0;
        for (const std::vector<Instant> &arrivals : arrivals_) {
            std::size_t first = 0;
            for (std::size_t last = 0; last < arrivals.size(); ++last) {
                while (arrivals[last] - arrivals[first] > 1s)
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }

    // Requests per second of an endpoint, on average.
    [[nodiscard]] double meanRate() const
    {
        std::size_t sum = 0;
        for (const std::vector<Instant> &arrivals : arrivals_)
            sum += arrivals.size();
        return static_cast<double>(sum) / kEndpoints
               / std::chrono::duration<double>(kDuration).count();
    }

private:
    struct Message
    {
        Instant arrivesAt;
        std::uint64_t nonce = 0;
        std::size_t leader = 0;
        Instant probeSentAt;
        ColdGrants grants; // of answers
    };

    struct Entry
    {
        VmId vm;
        ColdAllowance allowance{kColdGrantLifetime};
        std::uint64_t nonce = 0;
        Instant nextProbeAt;
        Instant cutFrom; // its messages are lost for 3 s from then, if links fail
        std::deque<Message> probes;
        std::deque<Message> answers;
    };

    Duration upTo(Duration limit)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(0, limit.count())(random_));
    }

    // A message in order after those before it. One in 40 is late by up to 2.5 s.
    Instant arrival(const std::deque<Message> &queue, Instant now)
    {
        const Duration delay = upTo(1s) < 25ms ? upTo(2500ms) : upTo(60ms);
        const Instant earliest = queue.empty() ? now : queue.back().arrivesAt;
        return std::max(earliest, now + delay);
    }

    void step(Entry &entry, Instant now)
    {
        if (faults_.entriesRestart && upTo(6s) < kStep) {
            entry.allowance = ColdAllowance(kColdGrantLifetime);
            entry.nonce = 0;
            entry.answers.clear();
            entry.probes.clear();
        }
        const bool isCut = faults_.linksFail && now >= entry.cutFrom && now < entry.cutFrom + 3s;
        if (now >= entry.nextProbeAt) {
            entry.nextProbeAt = now + kProbePeriod;
            ++entry.nonce;
            if (!isCut)
                entry.probes.push_back({arrival(entry.probes, now), entry.nonce, leader_, now, {}});
        }
        while (!entry.probes.empty() && entry.probes.front().arrivesAt <= now) {
            Message probe = entry.probes.front();
            entry.probes.pop_front();
            // A leader that was replaced has no lease.
            if (probe.leader != leader_)
                continue;
            probe.grants = leaders_[leader_].grantTo(entry.vm, probe.nonce, false, now);
            probe.arrivesAt = arrival(entry.answers, now);
            entry.answers.push_back(probe);
        }
        while (!entry.answers.empty() && entry.answers.front().arrivesAt <= now) {
            if (!isCut)
                entry.allowance.applyGrants(entry.answers.front().grants,
                                            entry.answers.front().probeSentAt, now);
            entry.answers.pop_front();
        }
        for (std::size_t i = 0; i < kEndpoints; ++i) {
            if (entry.allowance.take(endpoints_[i], now))
                arrivals_[i].push_back(now + upTo(kMaxRequestDelay));
        }
    }

    Faults faults_;
    std::mt19937 random_;
    std::vector<EndpointId> endpoints_;
    std::vector<ColdEndpointAllowance> cold_; // all of endpoints_
    std::vector<ColdGrantor> leaders_;
    std::size_t leader_ = 0;
    std::vector<Entry> entries_;
    std::vector<std::vector<Instant>> arrivals_; // of each endpoint
};

constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5;

void checkBound(const Faults &faults)
{
    for (const std::size_t entryCount : {1, 3, 67, 100, 295}) {
        for (unsigned seed = 1; seed <= 2; ++seed) {
            ReturnOfDataCentre load(entryCount, faults, seed);
            load.run();
            BOOST_TEST_CONTEXT("entries " << entryCount << ", seed " << seed)
            {
                BOOST_TEST(load.mostInOneSecond()
                           <= ReturnOfDataCentre::kPerSecond * kOvershoot + kSlack);
                BOOST_TEST(load.meanRate() > 0);
                BOOST_TEST_MESSAGE("entries " << entryCount << ", seed " << seed << ": most in 1 s "
                                              << load.mostInOneSecond() << ", mean rate "
                                              << load.meanRate());
            }
        }
    }
}

} // namespace

// Guards against a fleet that crashes a cold endpoint, and against one that leaves it unused.
BOOST_AUTO_TEST_CASE(data_centre_returns_cold_under_full_traffic)
{
    checkBound({});
    ReturnOfDataCentre load(100, {}, 1);
    load.run();
    BOOST_TEST(load.meanRate() >= ReturnOfDataCentre::kPerSecond / 2);
}

// Guards against entries that send twice because a restart forgot what they had sent.
BOOST_AUTO_TEST_CASE(data_centre_returns_cold_while_entries_restart)
{
    checkBound({.entriesRestart = true});
}

// Guards against a new leader that grants what entries still hold from the one before.
BOOST_AUTO_TEST_CASE(data_centre_returns_cold_while_the_leader_changes)
{
    checkBound({.leaderChanges = true});
}

// Guards against entries that go on sending while they are cut off.
BOOST_AUTO_TEST_CASE(data_centre_returns_cold_while_links_fail)
{
    checkBound({.entriesRestart = true, .leaderChanges = true, .linksFail = true});
}

// Finds out which part of the requests that crash endpoints causes the crashes. Runs on the leader,
// from reports of all entries.
//
//   CrashAttribution attribution;
//   attribution.recordCrash(crash, now);
//   attribution.recordAnswers(report, now);
//   if (attribution.update(now)) publish(attribution.state(now));
//
// Each request has traits that other requests share: the parts of its prompt, or a hash of what it
// asks for (core/quarantine/crash_watch.h). A trait is suspect while requests with it were in
// flight on several endpoints that crashed and no request with it has been answered since. It is
// quarantined on all entries if it stays suspect while other requests of the service are answered.
// Crashes that a quarantined trait explains are no evidence against the others.

#ifndef FIREFLYROUTE_CORE_QUARANTINE_CRASH_ATTRIBUTION_H
#define FIREFLYROUTE_CORE_QUARANTINE_CRASH_ATTRIBUTION_H

#include "core/common/clock.h"
#include "core/site/site_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace fireflyroute::core {

class CrashAttribution
{
public:
    // Number of crashed endpoints after which a trait is quarantined. More than the attempts of one
    // request, so that two requests have to be involved.
    static constexpr std::size_t kCrashesToQuarantine = 4;

    // Number of crashed endpoints from which on entries report answers to requests with the trait.
    static constexpr std::size_t kCrashesToWatch = 2;

    // Time in which a request with a suspect trait may still be answered. Covers the reports of the
    // entries and the time to the first part of an answer.
    static constexpr std::chrono::milliseconds kConfirmation{1500};

    // Number of answers to other requests of the service in that time. Without them the endpoints
    // may be unable to answer any request.
    static constexpr std::uint64_t kMinOtherAnswers = 20;

    // How long a crash counts.
    static constexpr std::chrono::seconds kCrashWindow{60};

    // How long a trait stays quarantined.
    static constexpr std::chrono::minutes kQuarantineTime{10};

    // Limits memory and the time of update(). The oldest crash is dropped first.
    static constexpr std::size_t kMaxCrashes = 400;
    static constexpr std::size_t kMaxQuarantined = 1000;

    void recordCrash(const EndpointCrash &crash, Instant now);

    void recordAnswers(const CrashReport &report, Instant now);

    // Takes over what an entry knows to be quarantined. Restores the state of a former leader.
    void recordQuarantined(const QuarantinedTrait &quarantined, Instant now);

    // Re-evaluates the evidence. Returns whether state() has changed since the last call.
    [[nodiscard]] bool update(Instant now);

    [[nodiscard]] QuarantineState state(Instant now) const;

private:
    struct Crash
    {
        EndpointCrash crash;
        Instant at;
        std::uint64_t answersBefore = 0; // value of answers_ for the service
    };

    struct Suspicion
    {
        std::set<std::pair<EndpointId, std::uint64_t>> endpoints; // crashed since the last answer
        const Crash *decisive = nullptr; // the crash that reached kCrashesToQuarantine
    };

    [[nodiscard]] bool isConfirmed(const Suspicion &suspicion, Instant now) const;

    [[nodiscard]] std::map<RequestTrait, Suspicion> suspicions() const;
    [[nodiscard]] bool isExplained(const EndpointCrash &crash) const;

    std::deque<Crash> crashes_; // oldest first; at most kMaxCrashes
    std::map<RequestTrait, Instant> answeredAt_; // last answer; only traits of crashes_
    std::map<ServiceName, std::uint64_t> answers_; // number of answers that entries reported
    std::map<RequestTrait, Instant> quarantinedUntil_; // at most kMaxQuarantined
    std::set<RequestTrait> watched_;
    bool changed_ = false; // quarantinedUntil_ has changed since the last update()
};

} // namespace fireflyroute::core

#endif

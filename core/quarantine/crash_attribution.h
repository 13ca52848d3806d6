// Finds out which requests, or which part of them, crash endpoints. Runs on the leader, from
// reports of all entries and from the heartbeats of endpoints.
//
//   CrashAttribution attribution(heartbeatInterval);
//   attribution.recordCrash(crash, now);
//   attribution.recordHeartbeat(endpoint, startedAtMs, now);
//   attribution.recordAnswers(report, now);
//   if (attribution.update(now)) publish(attribution.state(now));
//   send(entry, attribution.grantTrials(report.refused, now));
//
// Each request has traits: the parts of its prompt, which other requests share, and as the last one
// its own trait, which only repetitions of it share (core/quarantine/crash_watch.h).
//
// The request itself is suspected first. If it was in flight on several endpoints that crashed and
// has never been answered since, it is suspended at once, on all entries. The crashes are verified
// meanwhile: an endpoint whose heartbeats go on has only lost a connection. The request is then
// quarantined, or the suspension ends. None of this depends on other traffic of the service.
//
// A shared part is suspected only if different requests with it crash endpoints. It is quarantined
// if no request with it is answered while other requests of the service are.
//
// Crashes that a suspended or quarantined trait explains are no evidence against other requests. A
// quarantine lasts while requests with the trait arrive. From time to time one of them is let
// through as a trial, at growing intervals; an answer ends the quarantine.

#ifndef FIREFLYROUTE_CORE_QUARANTINE_CRASH_ATTRIBUTION_H
#define FIREFLYROUTE_CORE_QUARANTINE_CRASH_ATTRIBUTION_H

#include "core/common/clock.h"
#include "core/quarantine/crash_watch.h"
#include "core/site/site_messages.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fireflyroute::core {

class CrashAttribution
{
public:
    // Number of crashed endpoints from which on a trait is suspected. More than the attempts of one
    // request, so that it has to be sent twice.
    static constexpr std::size_t kCrashesToSuspect = 4;

    // Number of crashed endpoints from which on entries report answers to requests with the trait.
    static constexpr std::size_t kCrashesToWatch = 2;

    // Time in which a request with a suspect part may still be answered. Covers the reports of the
    // entries and the time to the first part of an answer.
    static constexpr std::chrono::milliseconds kConfirmation{1500};

    // Number of answers to other requests of the service in that time. Without them the endpoints
    // may be unable to answer any request.
    static constexpr std::uint64_t kMinOtherAnswers = 20;

    // How long a crash counts against a shared part, and against the request itself, of which it
    // takes several to be suspected, however rarely they arrive.
    static constexpr std::chrono::seconds kPartWindow{60};
    static constexpr std::chrono::minutes kRequestWindow{10};

    // A heartbeat that arrives sooner after a crash may have been sent before it.
    static constexpr std::chrono::milliseconds kHeartbeatDelay{300};

    // Number of heartbeats that a crashed endpoint has to miss.
    static constexpr int kMissedHeartbeats = 2;

    // Entries suspend a request this much longer than its verification takes, so that its outcome
    // reaches them before.
    static constexpr std::chrono::milliseconds kSuspensionMargin{500};

    // How long a trait stays quarantined after the last request with it.
    static constexpr std::chrono::minutes kQuarantineTime{10};

    // How long a quarantined trait is remembered after that. A single crash suffices until then.
    static constexpr std::chrono::hours kMemory{24};

    // Time from a quarantine to its first trial. Each further one waits kTrialGrowth times as long.
    static constexpr std::chrono::seconds kFirstTrial{10};
    static constexpr int kTrialGrowth = 20;

    // How long an entry may let a request through as a trial.
    static constexpr std::chrono::seconds kTrialTime{10};

    // Limits memory and the time of update(). The oldest crash is dropped first.
    static constexpr std::size_t kMaxCrashes = 400;
    static constexpr std::size_t kMaxQuarantined = 1000;

    explicit CrashAttribution(Duration heartbeatInterval)
        : verification_(std::min<Duration>(heartbeatInterval * kMissedHeartbeats + kHeartbeatDelay,
                                           CrashWatch::kMaxSuspension - kSuspensionMargin))
    {}

    void recordCrash(const EndpointCrash &crash, Instant now);

    // The endpoint, in the incarnation that started then, has sent a heartbeat.
    void recordHeartbeat(const EndpointId &endpoint, std::uint64_t startedAtMs, Instant now);

    void recordAnswers(const CrashReport &report, Instant now);

    // Takes over what an entry knows to be quarantined. Restores the state of a former leader.
    void recordQuarantined(const QuarantinedTrait &quarantined, Instant now);

    // Returns those of the traits of which the entry that has refused requests with them may let
    // one request through.
    [[nodiscard]] std::vector<RequestTrait> grantTrials(const std::vector<RequestTrait> &refused,
                                                        Instant now);

    // Re-evaluates the evidence. Returns whether state() has changed since the last call.
    [[nodiscard]] bool update(Instant now);

    [[nodiscard]] QuarantineState state(Instant now) const;

private:
    using EndpointRun = std::pair<EndpointId, std::uint64_t>; // endpoint and incarnation

    struct Crash
    {
        EndpointCrash crash;
        Instant at;
        std::uint64_t answersBefore = 0; // value of answers_ for the service

        [[nodiscard]] EndpointRun run() const { return {crash.endpoint, crash.startedAtMs}; }
        [[nodiscard]] RequestTrait ownTrait() const { return crash.traits.back(); }
    };

    struct Suspicion
    {
        std::set<EndpointRun> endpoints; // crashed since the last answer
        std::set<RequestTrait> requests; // own traits of the requests in flight there
        const Crash *decisive = nullptr; // the crash that reached kCrashesToSuspect
    };

    struct Quarantine
    {
        Instant until; // remembered for kMemory after it
        Instant trialAt; // when the next trial is due
        Duration trialGap{}; // from that one to the next
        std::optional<Instant> trialUntil; // an entry may let a request through until then
    };

    // Own traits or shared parts, see the head of the file.
    enum class TraitKind { Own, Part };

    [[nodiscard]] bool isInForce(RequestTrait trait, Instant now) const;
    [[nodiscard]] bool isBlocked(RequestTrait trait, Instant now) const;
    [[nodiscard]] bool wasAnsweredSince(RequestTrait trait, Instant at) const;
    [[nodiscard]] std::vector<const Crash *> unexplained(Instant now) const;
    [[nodiscard]] std::map<RequestTrait, Suspicion> suspicions(TraitKind kind, Instant now) const;
    [[nodiscard]] bool isPartConfirmed(const Suspicion &suspicion, Instant now) const;
    void quarantine(RequestTrait trait, Instant now);
    void lift(RequestTrait trait, Instant now);
    void expire(Instant now);
    void judgeRequests(Instant now);
    void judgeParts(Instant now);

    Duration verification_; // time from the decisive crash in which the endpoints may prove alive
    std::deque<Crash> crashes_; // oldest first; at most kMaxCrashes; each with a trait
    std::map<RequestTrait, Instant> answeredAt_; // last answer; only traits of crashes_
    std::map<ServiceName, std::uint64_t> answers_; // number of answers that entries reported
    std::map<RequestTrait, Instant> suspendedUntil_; // own traits whose crashes are being verified
    std::map<RequestTrait, Quarantine> quarantines_; // at most kMaxQuarantined
    std::map<RequestTrait, Instant> liftedAt_; // within kQuarantineTime; entries still know them
    std::set<RequestTrait> watched_;
    std::size_t inForce_ = 0; // number of quarantines in force at the last update()
    bool changed_ = false; // since the last update()
};

} // namespace fireflyroute::core

#endif

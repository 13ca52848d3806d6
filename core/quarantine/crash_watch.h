// An entry's part in the quarantine of requests that crash endpoints: reports crashes and answers
// to the leader, and knows the traits whose requests must not be dispatched. Runs on the traffic
// thread.
//
//   CrashWatch watch;
//   watch.recordCrash({endpoint, startedAtMs, service, traits}, now);  // ended without an answer
//   watch.recordAnswered(service, traits);
//   if (watch.checkQuarantine(traits, now)) refuse
//   send(watch.takeReport(now));                          // to the leader
//   watch.apply(state, now);                              // from the leader
//
// core/quarantine/crash_attribution.h decides which traits are quarantined.

#ifndef FIREFLYROUTE_CORE_QUARANTINE_CRASH_WATCH_H
#define FIREFLYROUTE_CORE_QUARANTINE_CRASH_WATCH_H

#include "core/calls/site_calls.h"
#include "core/common/clock.h"
#include "core/site/site_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::core {

// Returns the traits of a request: the parts of its prompt, and its own trait, for all that the
// client account asks for.
[[nodiscard]] std::vector<RequestTrait> traitsOf(const std::vector<PromptPart> &prompt,
                                                 const ClientAccountId &account,
                                                 std::string_view target, std::string_view body);

// Returns traits in hexadecimal for logs, as many as fit in a line.
[[nodiscard]] std::string describe(const std::vector<RequestTrait> &traits);
[[nodiscard]] std::string describe(const std::vector<QuarantinedTrait> &traits);

class CrashWatch
{
public:
    // Interval at which the quarantined traits are reported, for a new leader.
    static constexpr std::chrono::seconds kQuarantineReportInterval{1};

    // Traits that are quarantined for longer are known to crash endpoints. Those for at most as
    // long are only suspended, see core/quarantine/crash_attribution.h.
    static constexpr std::chrono::seconds kMaxSuspension{10};

    // Limit of the crashes in one report.
    static constexpr std::size_t kMaxCrashes = 100;

    // How long answers to requests with the traits of a crashed one are reported, whether or not
    // the leader watches them: another attempt may be answered before it could.
    static constexpr std::chrono::seconds kCrashMemory{5};

    // Whether any trait is quarantined or watched, so that the traits of a request are needed.
    [[nodiscard]] bool isActive() const
    {
        return !watched_.empty() || !quarantinedUntil_.empty() || !crashedAt_.empty();
    }

    // How long a trial may be used: less than CrashAttribution::kTrialTime, after which the leader
    // may grant another entry one.
    static constexpr std::chrono::seconds kTrialTime{8};

    // Returns a quarantined trait because of which a request with these traits has to be refused,
    // or nothing. A request that is let through as a trial uses the trial up.
    [[nodiscard]] std::optional<QuarantinedTrait>
    checkQuarantine(const std::vector<RequestTrait> &traits, Instant now);

    void recordCrash(EndpointCrash crash, Instant now);
    void recordAnswered(const ServiceName &service, const std::vector<RequestTrait> &traits);

    // Returns and clears the observations since the last call.
    [[nodiscard]] CrashReport takeReport(Instant now);

    void apply(const QuarantineState &state, Instant now);

private:
    std::set<RequestTrait> watched_; // answers to requests with these are reported
    std::map<RequestTrait, Instant> quarantinedUntil_;
    std::map<RequestTrait, Instant> trialUntil_; // trials that are not used yet
    std::set<RequestTrait> refused_; // quarantined traits of refused requests; not yet reported
    std::vector<EndpointCrash> crashes_; // not yet reported; at most kMaxCrashes
    std::map<RequestTrait, Instant> crashedAt_; // traits of crashed requests, for kCrashMemory
    std::set<RequestTrait> answered_; // not yet reported; only watched ones and those of crashedAt_
    std::map<ServiceName, std::uint32_t> answers_; // not yet reported, since traits are watched
    Instant quarantineReportedAt_;
};

} // namespace fireflyroute::core

#endif

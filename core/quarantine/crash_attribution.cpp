// Evidence against the traits of requests.

#include "core/quarantine/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::core {

void CrashAttribution::recordCrash(const EndpointCrash &crash, Instant now)
{
    crashes_.push_back({crash, now, answers_[crash.service]});
    if (crashes_.size() > kMaxCrashes)
        crashes_.pop_front();
}

void CrashAttribution::recordAnswers(const CrashReport &report, Instant now)
{
    for (const RequestTrait trait : report.answered)
        answeredAt_[trait] = now;
    for (const ServiceAnswers &answers : report.answers)
        answers_[answers.service] += answers.count;
}

void CrashAttribution::recordQuarantined(const QuarantinedTrait &quarantined, Instant now)
{
    const auto known = quarantinedUntil_.find(quarantined.trait);
    if (known == quarantinedUntil_.end() && quarantinedUntil_.size() >= kMaxQuarantined)
        return;
    changed_ = changed_ || known == quarantinedUntil_.end();
    Instant &until = quarantinedUntil_[quarantined.trait];
    until = std::max(until, now + std::min<Duration>(quarantined.remaining, kQuarantineTime));
}

bool CrashAttribution::isExplained(const EndpointCrash &crash) const
{
    return std::any_of(crash.traits.begin(), crash.traits.end(),
                       [this](RequestTrait trait) { return quarantinedUntil_.contains(trait); });
}

// Returns the traits with crashes since their last answer that no quarantined trait explains.
std::map<RequestTrait, CrashAttribution::Suspicion> CrashAttribution::suspicions() const
{
    std::map<RequestTrait, Suspicion> result;
    for (const Crash &item : crashes_) {
        if (isExplained(item.crash))
            continue;
        for (const RequestTrait trait : item.crash.traits) {
            const auto answered = answeredAt_.find(trait);
            if (answered != answeredAt_.end() && item.at <= answered->second)
                continue;
            Suspicion &suspicion = result[trait];
            suspicion.endpoints.emplace(item.crash.endpoint, item.crash.startedAtMs);
            if (!suspicion.decisive && suspicion.endpoints.size() >= kCrashesToQuarantine)
                suspicion.decisive = &item;
        }
    }
    return result;
}

bool CrashAttribution::isConfirmed(const Suspicion &suspicion, Instant now) const
{
    if (!suspicion.decisive || now - suspicion.decisive->at < kConfirmation)
        return false;
    const std::uint64_t answers = answers_.at(suspicion.decisive->crash.service);
    return answers - suspicion.decisive->answersBefore >= kMinOtherAnswers;
}

bool CrashAttribution::update(Instant now)
{
    bool hasChanged = std::exchange(changed_, false);
    while (!crashes_.empty() && now - crashes_.front().at >= kCrashWindow)
        crashes_.pop_front();
    if (crashes_.empty())
        answers_.clear();
    // Answers before the oldest crash clear no trait of it.
    std::erase_if(answeredAt_, [this](const auto &item) {
        return crashes_.empty() || item.second < crashes_.front().at;
    });
    hasChanged =
            std::erase_if(quarantinedUntil_, [now](const auto &item) { return item.second <= now; })
                    > 0
            || hasChanged;
    std::map<RequestTrait, Suspicion> suspects = suspicions();
    for (;;) {
        // The trait that most crashes have in common is the cause of them. Traits that are in the
        // same requests each time can't be told apart.
        std::size_t most = 0;
        for (const auto &[trait, suspicion] : suspects) {
            if (isConfirmed(suspicion, now))
                most = std::max(most, suspicion.endpoints.size());
        }
        if (most == 0 || quarantinedUntil_.size() >= kMaxQuarantined)
            break;
        for (const auto &[trait, suspicion] : suspects) {
            if (suspicion.endpoints.size() == most && isConfirmed(suspicion, now))
                quarantinedUntil_[trait] = now + kQuarantineTime;
        }
        hasChanged = true;
        suspects = suspicions();
    }
    std::set<RequestTrait> watched;
    for (const auto &[trait, suspicion] : suspects) {
        if (suspicion.endpoints.size() >= kCrashesToWatch)
            watched.insert(trait);
    }
    hasChanged = hasChanged || watched != watched_;
    watched_ = std::move(watched);
    return hasChanged;
}

QuarantineState CrashAttribution::state(Instant now) const
{
    QuarantineState state;
    state.watched.assign(watched_.begin(), watched_.end());
    for (const auto &[trait, until] : quarantinedUntil_) {
        if (until > now)
            state.quarantined.push_back({trait, until - now});
    }
    return state;
}

} // namespace fireflyroute::core

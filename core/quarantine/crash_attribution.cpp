// Evidence against the traits of requests.

#include "core/quarantine/crash_attribution.h"

#include <algorithm>

namespace fireflyroute::core {

void CrashAttribution::recordCrash(const EndpointCrash &crash, Instant now)
{
    if (crash.traits.empty())
        return;
    crashes_.push_back({crash, now, answers_[crash.service]});
    if (crashes_.size() > kMaxCrashes)
        crashes_.pop_front();
    for (const RequestTrait trait : crash.traits) {
        const auto known = quarantines_.find(trait);
        if (known == quarantines_.end())
            continue;
        const bool isRepetition = trait == crash.traits.back() && known->second.until <= now;
        if (known->second.trialUntil || isRepetition)
            quarantine(trait, now);
    }
}

void CrashAttribution::recordHeartbeat(const EndpointId &endpoint, std::uint64_t startedAtMs,
                                       Instant now)
{
    if (startedAtMs == 0)
        return; // unknown, so it may be the next incarnation
    std::erase_if(crashes_, [&](const Crash &item) {
        const bool isRefuted = item.run() == EndpointRun(endpoint, startedAtMs)
                               && now - item.at >= kHeartbeatDelay;
        // The request may have been quarantined without a reason, so its next trial is due.
        const auto known = quarantines_.find(item.ownTrait());
        if (isRefuted && known != quarantines_.end())
            known->second.trialAt = std::min(known->second.trialAt, now);
        return isRefuted;
    });
}

void CrashAttribution::recordAnswers(const CrashReport &report, Instant now)
{
    for (const RequestTrait trait : report.answered) {
        answeredAt_[trait] = now;
        if (quarantines_.contains(trait))
            lift(trait, now);
    }
    for (const ServiceAnswers &answers : report.answers)
        answers_[answers.service] += answers.count;
}

void CrashAttribution::recordQuarantined(const QuarantinedTrait &quarantined, Instant now)
{
    // Entries report suspensions as well.
    if (quarantined.remaining <= CrashWatch::kMaxSuspension
        || liftedAt_.contains(quarantined.trait))
        return;
    const auto known = quarantines_.find(quarantined.trait);
    if (known == quarantines_.end() && quarantines_.size() >= kMaxQuarantined)
        return;
    changed_ = changed_ || !isInForce(quarantined.trait, now);
    Quarantine &item = known == quarantines_.end()
                               ? quarantines_[quarantined.trait] = {now,
                                                                    now + kFirstTrial,
                                                                    kFirstTrial * kTrialGrowth,
                                                                    {}}
                               : known->second;
    item.until =
            std::max(item.until, now + std::min<Duration>(quarantined.remaining, kQuarantineTime));
}

std::vector<RequestTrait> CrashAttribution::grantTrials(const std::vector<RequestTrait> &refused,
                                                        Instant now)
{
    std::vector<RequestTrait> granted;
    for (const RequestTrait trait : refused) {
        const auto found = quarantines_.find(trait);
        if (found == quarantines_.end() || found->second.until <= now)
            continue;
        Quarantine &item = found->second;
        // Renewed well before its end, so that entries hear of it in time.
        if (item.until - now < kQuarantineTime / 2) {
            item.until = now + kQuarantineTime;
            changed_ = true;
        }
        const bool isOpen = item.trialUntil && now < *item.trialUntil;
        if (isOpen || now < item.trialAt)
            continue;
        item.trialUntil = now + kTrialTime;
        watched_.insert(trait);
        granted.push_back(trait);
    }
    return granted;
}

bool CrashAttribution::isInForce(RequestTrait trait, Instant now) const
{
    const auto found = quarantines_.find(trait);
    return found != quarantines_.end() && now < found->second.until;
}

bool CrashAttribution::isBlocked(RequestTrait trait, Instant now) const
{
    return suspendedUntil_.contains(trait) || isInForce(trait, now);
}

bool CrashAttribution::wasAnsweredSince(RequestTrait trait, Instant at) const
{
    const auto answered = answeredAt_.find(trait);
    return answered != answeredAt_.end() && at <= answered->second;
}

// Returns the crashes that no blocked trait explains: neither a part of the request, nor another
// request that was in flight on the same endpoint.
std::vector<const CrashAttribution::Crash *> CrashAttribution::unexplained(Instant now) const
{
    std::set<EndpointRun> blockedRuns;
    for (const Crash &item : crashes_) {
        const std::vector<RequestTrait> &traits = item.crash.traits;
        if (std::any_of(traits.begin(), traits.end(),
                        [&](RequestTrait trait) { return isBlocked(trait, now); }))
            blockedRuns.insert(item.run());
    }
    std::vector<const Crash *> result;
    for (const Crash &item : crashes_) {
        const std::vector<RequestTrait> &traits = item.crash.traits;
        const bool hasBlockedPart =
                std::any_of(traits.begin(), std::prev(traits.end()),
                            [&](RequestTrait trait) { return isBlocked(trait, now); });
        const bool isOtherBlocked =
                !isBlocked(item.ownTrait(), now) && blockedRuns.contains(item.run());
        if (!hasBlockedPart && !isOtherBlocked)
            result.push_back(&item);
    }
    return result;
}

std::map<RequestTrait, CrashAttribution::Suspicion> CrashAttribution::suspicions(TraitKind kind,
                                                                                 Instant now) const
{
    std::map<RequestTrait, Suspicion> result;
    for (const Crash *item : unexplained(now)) {
        const auto own = std::prev(item->crash.traits.end());
        if (kind == TraitKind::Part && now - item->at >= kPartWindow)
            continue;
        const auto first = kind == TraitKind::Own ? own : item->crash.traits.begin();
        const auto last = kind == TraitKind::Own ? item->crash.traits.end() : own;
        for (auto trait = first; trait != last; ++trait) {
            if (wasAnsweredSince(*trait, item->at))
                continue;
            Suspicion &suspicion = result[*trait];
            suspicion.endpoints.insert(item->run());
            suspicion.requests.insert(item->ownTrait());
            if (!suspicion.decisive && suspicion.endpoints.size() >= kCrashesToSuspect)
                suspicion.decisive = item;
        }
    }
    return result;
}

bool CrashAttribution::isPartConfirmed(const Suspicion &suspicion, Instant now) const
{
    if (!suspicion.decisive || suspicion.requests.size() < 2
        || now - suspicion.decisive->at < kConfirmation)
        return false;
    const std::uint64_t answers = answers_.at(suspicion.decisive->crash.service);
    return answers - suspicion.decisive->answersBefore >= kMinOtherAnswers;
}

void CrashAttribution::quarantine(RequestTrait trait, Instant now)
{
    const auto known = quarantines_.find(trait);
    if (known == quarantines_.end()) {
        quarantines_[trait] = {
                now + kQuarantineTime, now + kFirstTrial, kFirstTrial * kTrialGrowth, {}};
    } else {
        Quarantine &item = known->second;
        item = {now + kQuarantineTime,
                now + item.trialGap,
                std::min<Duration>(item.trialGap * kTrialGrowth, kMemory),
                {}};
    }
    liftedAt_.erase(trait);
    changed_ = true;
}

void CrashAttribution::lift(RequestTrait trait, Instant now)
{
    quarantines_.erase(trait);
    suspendedUntil_.erase(trait);
    if (liftedAt_.size() < kMaxQuarantined)
        liftedAt_[trait] = now;
    changed_ = true;
}

void CrashAttribution::expire(Instant now)
{
    std::erase_if(crashes_, [&](const Crash &item) {
        const Duration age = now - item.at;
        return age >= kRequestWindow
               || (age >= kPartWindow && wasAnsweredSince(item.ownTrait(), item.at));
    });
    if (crashes_.empty())
        answers_.clear();
    // Answers before the oldest crash clear no trait of it.
    std::erase_if(answeredAt_, [this](const auto &item) {
        return crashes_.empty() || item.second < crashes_.front().at;
    });
    std::erase_if(quarantines_,
                  [now](const auto &item) { return item.second.until + kMemory <= now; });
    std::erase_if(liftedAt_,
                  [now](const auto &item) { return item.second + kQuarantineTime <= now; });
}

// Suspends the requests that explain the most crashes, and quarantines those whose crashes are
// verified. Requests that were in flight on the same endpoints each time can't be told apart.
void CrashAttribution::judgeRequests(Instant now)
{
    const std::map<RequestTrait, Instant> before = std::exchange(suspendedUntil_, {});
    for (;;) {
        const std::map<RequestTrait, Suspicion> suspects = suspicions(TraitKind::Own, now);
        const auto isSuspect = [&](const auto &item) {
            return item.second.decisive && !isBlocked(item.first, now);
        };
        std::size_t most = 0;
        for (const auto &item : suspects) {
            if (isSuspect(item))
                most = std::max(most, item.second.endpoints.size());
        }
        if (most == 0 || quarantines_.size() >= kMaxQuarantined)
            break;
        std::vector<std::pair<RequestTrait, Instant>> worst; // with the end of their verification
        for (const auto &item : suspects) {
            if (isSuspect(item) && item.second.endpoints.size() == most)
                worst.emplace_back(item.first, item.second.decisive->at + verification_);
        }
        for (const auto &[trait, verifiedAt] : worst) {
            if (verifiedAt <= now)
                quarantine(trait, now);
            else
                suspendedUntil_[trait] = verifiedAt;
        }
    }
    for (const auto &[trait, until] : before) {
        if (!isBlocked(trait, now))
            lift(trait, now);
    }
    for (const auto &[trait, until] : suspendedUntil_) {
        liftedAt_.erase(trait);
        changed_ = changed_ || !before.contains(trait);
    }
}

void CrashAttribution::judgeParts(Instant now)
{
    for (;;) {
        const std::map<RequestTrait, Suspicion> suspects = suspicions(TraitKind::Part, now);
        // The trait that most crashes have in common is the cause of them. Traits that are in the
        // same requests each time can't be told apart.
        std::size_t most = 0;
        for (const auto &[trait, suspicion] : suspects) {
            if (isPartConfirmed(suspicion, now))
                most = std::max(most, suspicion.endpoints.size());
        }
        if (most == 0 || quarantines_.size() >= kMaxQuarantined)
            return;
        for (const auto &[trait, suspicion] : suspects) {
            if (suspicion.endpoints.size() == most && isPartConfirmed(suspicion, now))
                quarantine(trait, now);
        }
    }
}

bool CrashAttribution::update(Instant now)
{
    expire(now);
    judgeParts(now);
    judgeRequests(now);
    std::set<RequestTrait> watched;
    for (const TraitKind kind : {TraitKind::Own, TraitKind::Part}) {
        for (const auto &[trait, suspicion] : suspicions(kind, now)) {
            if (suspicion.endpoints.size() >= kCrashesToWatch)
                watched.insert(trait);
        }
    }
    for (const auto &[trait, item] : quarantines_) {
        if (item.trialUntil)
            watched.insert(trait);
    }
    const auto inForce = static_cast<std::size_t>(
            std::count_if(quarantines_.begin(), quarantines_.end(),
                          [now](const auto &item) { return now < item.second.until; }));
    const bool hasChanged = changed_ || watched != watched_ || inForce != inForce_;
    watched_ = std::move(watched);
    inForce_ = inForce;
    changed_ = false;
    return hasChanged;
}

QuarantineState CrashAttribution::state(Instant now) const
{
    QuarantineState state;
    state.watched.assign(watched_.begin(), watched_.end());
    for (const auto &[trait, until] : suspendedUntil_)
        state.quarantined.push_back({trait, until - now + kSuspensionMargin});
    for (const auto &[trait, item] : quarantines_) {
        if (item.until > now)
            state.quarantined.push_back({trait, item.until - now});
    }
    for (const auto &[trait, at] : liftedAt_)
        state.lifted.push_back(trait);
    return state;
}

} // namespace fireflyroute::core

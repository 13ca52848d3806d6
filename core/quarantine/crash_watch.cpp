// Observations of an entry about requests that crash endpoints.

#include "core/quarantine/crash_watch.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <utility>

namespace fireflyroute::core {

std::vector<RequestTrait> traitsOf(const std::vector<PromptPart> &prompt,
                                   const ClientAccountId &account, std::string_view target,
                                   std::string_view body)
{
    std::vector<RequestTrait> traits;
    traits.reserve(prompt.size() + 1);
    // The length prefixes distinguish different splits of the same bytes.
    std::string identity = fmt::format("{}\n{}\n{}\n{}\n{}", account.value().size(),
                                       account.value(), target.size(), target, body);
    for (const PromptPart &part : prompt) {
        traits.push_back(RequestTrait{part.id});
        identity += fmt::format("\n{:x}", part.id);
    }
    traits.push_back(RequestTrait{std::hash<std::string>()(identity)});
    return traits;
}

std::string describe(const std::vector<RequestTrait> &traits)
{
    constexpr std::size_t kMaxTraits = 8;
    std::string text;
    for (std::size_t i = 0; i < std::min(traits.size(), kMaxTraits); ++i)
        text += fmt::format("{}{:x}", i == 0 ? "" : ",", static_cast<std::uint64_t>(traits[i]));
    if (traits.size() > kMaxTraits)
        text += fmt::format(" and {} more", traits.size() - kMaxTraits);
    return text;
}

std::string describe(const std::vector<QuarantinedTrait> &traits)
{
    std::vector<RequestTrait> ids;
    ids.reserve(traits.size());
    for (const QuarantinedTrait &quarantined : traits)
        ids.push_back(quarantined.trait);
    return describe(ids);
}

std::optional<QuarantinedTrait> CrashWatch::checkQuarantine(const std::vector<RequestTrait> &traits,
                                                            Instant now)
{
    std::vector<RequestTrait> trials;
    for (const RequestTrait trait : traits) {
        const auto found = quarantinedUntil_.find(trait);
        if (found == quarantinedUntil_.end() || now >= found->second)
            continue;
        const auto trial = trialUntil_.find(trait);
        if (trial == trialUntil_.end() || now >= trial->second) {
            refused_.insert(trait);
            return QuarantinedTrait{trait, found->second - now};
        }
        trials.push_back(trait);
    }
    for (const RequestTrait trait : trials)
        trialUntil_.erase(trait);
    return std::nullopt;
}

void CrashWatch::recordCrash(EndpointCrash crash, Instant now)
{
    if (crashes_.size() >= kMaxCrashes)
        return;
    for (const RequestTrait trait : crash.traits)
        crashedAt_[trait] = now;
    crashes_.push_back(std::move(crash));
}

void CrashWatch::recordAnswered(const ServiceName &service, const std::vector<RequestTrait> &traits)
{
    if (!watched_.empty())
        ++answers_[service];
    for (const RequestTrait trait : traits) {
        if (watched_.contains(trait) || crashedAt_.contains(trait))
            answered_.insert(trait);
    }
}

CrashReport CrashWatch::takeReport(Instant now)
{
    CrashReport report;
    report.crashes = std::exchange(crashes_, {});
    report.answered.assign(answered_.begin(), answered_.end());
    answered_.clear();
    for (const auto &[service, count] : std::exchange(answers_, {}))
        report.answers.push_back({service, count});
    report.refused.assign(refused_.begin(), refused_.end());
    refused_.clear();
    std::erase_if(quarantinedUntil_, [now](const auto &item) { return item.second <= now; });
    std::erase_if(trialUntil_, [now](const auto &item) { return item.second <= now; });
    std::erase_if(crashedAt_,
                  [now](const auto &item) { return item.second + kCrashMemory <= now; });
    if (now - quarantineReportedAt_ >= kQuarantineReportInterval) {
        quarantineReportedAt_ = now;
        for (const auto &[trait, until] : quarantinedUntil_)
            report.quarantined.push_back({trait, until - now});
    }
    return report;
}

void CrashWatch::apply(const QuarantineState &state, Instant now)
{
    watched_ = {state.watched.begin(), state.watched.end()};
    for (const RequestTrait trait : state.lifted)
        quarantinedUntil_.erase(trait);
    for (const RequestTrait trait : state.trials)
        trialUntil_[trait] = now + kTrialTime;
    for (const QuarantinedTrait &quarantined : state.quarantined) {
        Instant &until = quarantinedUntil_[quarantined.trait];
        until = std::max(until, now + quarantined.remaining);
    }
}

} // namespace fireflyroute::core

// Lifetimes of session pins, and their updates for other entries.

#include "core/sessions/session_pins.h"

#include "core/versions/version_gate.h"

#include <utility>

namespace fireflyroute::core {

namespace {

// Added to the lifetime of a pin: the time that an update takes to another entry through the
// control VMs.
constexpr std::chrono::milliseconds kReportLatency{500};

// Lifetime of a pin whose request never reports its end because its entry has terminated. It covers
// the longest requests.
constexpr std::chrono::seconds kMaxRequestDuration{30};

} // namespace

void SessionPins::recordStart(const SessionId &session, const VersionName &version, Instant now)
{
    recordLocal({session, version, false}, now);
}

void SessionPins::recordEnd(const SessionId &session, const VersionName &version, Instant now)
{
    recordLocal({session, version, true}, now);
}

void SessionPins::recordLocal(SessionUpdate update, Instant now)
{
    if (update.session.empty())
        return;
    updatePin(update, now);
    if (VersionGate::isInShare(update.session.value(), canaryShare_))
        pendingUpdates_.push_back(std::move(update));
}

void SessionPins::applyUpdates(const std::vector<SessionUpdate> &updates, Instant now)
{
    for (const SessionUpdate &update : updates)
        updatePin(update, now);
}

void SessionPins::updatePin(const SessionUpdate &update, Instant now)
{
    const Duration lifetime = update.ended ? ttl_ + kReportLatency : Duration(kMaxRequestDuration);
    pins_[update.session] = Pin{update.version, now + lifetime};
}

std::optional<VersionName> SessionPins::versionOf(const SessionId &session, Instant now) const
{
    const auto found = pins_.find(session);
    const bool isPinned = found != pins_.end() && now < found->second.expiresAt;
    return isPinned ? std::optional(found->second.version) : std::nullopt;
}

std::vector<SessionUpdate> SessionPins::takeUpdates()
{
    return std::exchange(pendingUpdates_, {});
}

void SessionPins::expire(Instant now)
{
    std::erase_if(pins_, [&](const auto &pin) { return now >= pin.second.expiresAt; });
}

} // namespace fireflyroute::core

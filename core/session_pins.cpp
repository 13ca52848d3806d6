// Lifetimes of pins, and what is told of them.

#include "core/session_pins.h"

#include "core/version_gate.h"

#include <utility>

namespace fireflyroute::core {

namespace {

// A pin outlives the time to live by what a report takes to another entry, over the leader.
constexpr std::chrono::milliseconds kReportDelay{500};

// A request whose end is never told, because its entry ended, holds its session for so long: as
// long as the longest requests take.
constexpr std::chrono::seconds kLongestRequest{30};

} // namespace

void SessionPins::began(const SessionId &session, const VersionName &version, Instant now)
{
    see({session, version, false}, now);
}

void SessionPins::ended(const SessionId &session, const VersionName &version, Instant now)
{
    see({session, version, true}, now);
}

void SessionPins::see(SessionRun run, Instant now)
{
    if (run.session.empty())
        return;
    note(run, now);
    if (VersionGate::isDrawn(run.session.value(), canaryShare_))
        news_.push_back(std::move(run));
}

void SessionPins::heard(const std::vector<SessionRun> &news, Instant now)
{
    for (const SessionRun &run : news)
        note(run, now);
}

void SessionPins::note(const SessionRun &run, Instant now)
{
    const Duration held = run.ended ? ttl_ + kReportDelay : Duration(kLongestRequest);
    pins_[run.session] = Pin{run.version, now + held};
}

std::optional<VersionName> SessionPins::versionOf(const SessionId &session, Instant now) const
{
    const auto found = pins_.find(session);
    const bool isHeld = found != pins_.end() && now < found->second.until;
    return isHeld ? std::optional(found->second.version) : std::nullopt;
}

std::vector<SessionRun> SessionPins::takeNews()
{
    return std::exchange(news_, {});
}

void SessionPins::expire(Instant now)
{
    std::erase_if(pins_, [&](const auto &pin) { return now >= pin.second.until; });
}

} // namespace fireflyroute::core

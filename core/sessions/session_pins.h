// Session pins: the version of a service that runs each session, as observed by this entry and the
// others. A session keeps its version as long as its requests are at most `ttl` apart.
//
//   SessionPins pins(ttl, canaryShare);
//   pins.recordStart(session, version, now);       // a request was dispatched to an endpoint
//   pins.recordEnd(session, version, now);
//   if (std::optional<VersionName> version = pins.versionOf(session, now)) ...
//   send(pins.takeUpdates());                      // to the other entries
//   pins.applyUpdates(updates, now);               // from other entries
//
// Only sessions that a roll-out would select for its canary are published: other sessions keep
// their version without pins. The selection of a session does not depend on the roll-out, so its
// pin is published before a roll-out starts.

#ifndef FIREFLYROUTE_CORE_SESSIONS_SESSION_PINS_H
#define FIREFLYROUTE_CORE_SESSIONS_SESSION_PINS_H

#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/site/site_messages.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

class SessionPins
{
public:
    // `ttl`: requests within this time of each other belong to the same session.
    SessionPins(Duration ttl, double canaryShare)
        : ttl_(ttl)
        , canaryShare_(canaryShare)
    {}

    void recordStart(const SessionId &session, const VersionName &version, Instant now);
    void recordEnd(const SessionId &session, const VersionName &version, Instant now);

    // Applies the updates of other entries.
    void applyUpdates(const std::vector<SessionUpdate> &updates, Instant now);

    // The version that runs the session, or that ran its last request if that request is recent.
    [[nodiscard]] std::optional<VersionName> versionOf(const SessionId &session, Instant now) const;

    // Local updates since the last call that other entries need.
    [[nodiscard]] std::vector<SessionUpdate> takeUpdates();

    void expire(Instant now);

private:
    struct Pin
    {
        VersionName version;
        Instant expiresAt;
    };

    void updatePin(const SessionUpdate &update, Instant now);
    void recordLocal(SessionUpdate update, Instant now);

    Duration ttl_;
    double canaryShare_;
    std::unordered_map<SessionId, Pin> pins_;
    std::vector<SessionUpdate> pendingUpdates_;
};

} // namespace fireflyroute::core

#endif

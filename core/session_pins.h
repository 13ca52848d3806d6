// Which version of a service runs each session, as this entry and the others have seen it, so that
// a session keeps its version for as long as its requests follow each other.
//
//   SessionPins pins(ttl, canaryShare);
//   pins.began(session, version, now);             // a request of it was sent to an endpoint
//   pins.recordEnd(session, version, now);
//   if (std::optional<VersionName> version = pins.versionOf(session, now)) ...
//   send(pins.takeNews());                         // to the other entries
//   pins.heard(news, now);                         // from them
//
// Only sessions that a roll-out would move early are told: the others stay where they are without
// that. The draw of a session is known before any roll-out, so what it runs on is known in time.

#ifndef FIREFLYROUTE_CORE_SESSION_PINS_H
#define FIREFLYROUTE_CORE_SESSION_PINS_H

#include "core/clock.h"
#include "core/site_messages.h"
#include "core/types.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

class SessionPins
{
public:
    // `ttl`: requests of a session that follow each other within it belong together.
    SessionPins(Duration ttl, double canaryShare)
        : ttl_(ttl)
        , canaryShare_(canaryShare)
    {}

    void recordStart(const SessionId &session, const VersionName &version, Instant now);
    void recordEnd(const SessionId &session, const VersionName &version, Instant now);

    // What other entries saw.
    void applyUpdates(const std::vector<SessionUpdate> &updates, Instant now);

    // The version that runs the session, or ran its last request if that is recent.
    [[nodiscard]] std::optional<VersionName> versionOf(const SessionId &session, Instant now) const;

    // What was seen here since the last call and matters to other entries.
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

// Decides whether an entry has lost its network path to the endpoints, from what it observes on its
// direct connections to them. Connections by way of a relay are not reported here.
//
//   PathMonitor path;
//   path.setEndpointCount(view.endpointCount());
//   const auto token = path.startWaiting(endpoint, now);     // a request was sent
//   path.recordBytes(openedAt, now);                         // bytes of any endpoint
//   path.recordConnectFailure(endpoint, now);
//   path.endWaiting(token);
//   path.check(now);                                         // each kCheckInterval
//   if (path.isIsolated()) ...
//
// A false positive costs one more hop, so the evidence of a second or so suffices.

#ifndef FIREFLYROUTE_CORE_PATHS_PATH_MONITOR_H
#define FIREFLYROUTE_CORE_PATHS_PATH_MONITOR_H

#include "core/common/clock.h"
#include "core/common/enum_names.h"
#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace fireflyroute::core {

enum class PathState {
    Sound,
    Refusing, // new connections fail; established ones may still work
    Silent, // established connections deliver nothing either
};

template<>
struct EnumNames<PathState>
{
    static constexpr std::array table{
            EnumName{PathState::Sound, "sound"},
            EnumName{PathState::Refusing, "refusing"},
            EnumName{PathState::Silent, "silent"},
    };
};

struct PathPolicy
{
    // Distinct endpoints that have to fail, or all if fewer are known. Two endpoints often crash
    // together.
    std::size_t minEndpoints = 3;
    // The same for silence once new connections fail.
    std::size_t minSilentWhenRefusing = 2;
    // Failed connections count for this long. Covers a connect time-out and a retry.
    Duration failureWindow = std::chrono::seconds(3);
    // Single endpoints may be silent for a second while they process prompts, but hardly all of
    // them at the same time.
    Duration silence = std::chrono::seconds(1);
    Duration probeInterval = std::chrono::seconds(1);
    // A false positive ends soon.
    Duration firstProbeDelay = std::chrono::milliseconds(300);
};

// What the state is based on, for logs.
struct PathEvidence
{
    std::size_t failedEndpoints = 0; // new connections failed since the last success
    std::size_t waitingEndpoints = 0; // with requests that have waited for all of the silence
    Duration silence{}; // since the last byte of any endpoint
};

class PathMonitor
{
public:
    using WaitToken = std::uint64_t;

    static constexpr std::chrono::milliseconds kCheckInterval{100};

    explicit PathMonitor(const PathPolicy &policy = {})
        : policy_(policy)
    {}

    // Number of endpoints that the entry knows.
    void setEndpointCount(std::size_t count) { endpointCount_ = count; }

    // A new connection failed, or ended without a byte from the endpoint.
    void recordConnectFailure(const EndpointId &endpoint, Instant now);

    // Bytes were received. `openedAt`: start of the connection if they are its first.
    void recordBytes(std::optional<Instant> openedAt, Instant now);

    // A request was sent and waits for bytes, until endWaiting().
    [[nodiscard]] WaitToken startWaiting(const EndpointId &endpoint, Instant now);
    void endWaiting(WaitToken token) { waiting_.erase(token); }

    // Looks for silence. After a longer interval than usual the process was stopped and may have
    // unread bytes, so the silence begins anew.
    void check(Instant now);

    [[nodiscard]] PathState state() const { return state_; }
    [[nodiscard]] bool isIsolated() const { return state_ != PathState::Sound; }
    [[nodiscard]] PathEvidence evidence(Instant now) const;

    // Last sign of a lost path. Valid while isolated.
    [[nodiscard]] Instant failedLastAt() const { return failedLastAt_; }

    // Whether a request may try the direct path first while isolated. Counts it as a probe.
    [[nodiscard]] bool tryProbe(Instant now);

private:
    struct Waiting
    {
        EndpointId endpoint;
        Instant since;
    };

    [[nodiscard]] bool isEnough(std::size_t endpoints, std::size_t required) const;
    [[nodiscard]] std::size_t countFailed(Instant now) const;
    [[nodiscard]] std::size_t countWaiting(Instant now) const;
    void isolate(PathState state, Instant now);

    PathPolicy policy_;
    std::size_t endpointCount_ = 0;
    PathState state_ = PathState::Sound;
    std::map<EndpointId, Instant> failedAt_; // since a new connection last succeeded
    std::map<WaitToken, Waiting> waiting_;
    WaitToken lastToken_ = 0;
    Instant silentSince_; // last byte, or end of a stop of the process
    std::optional<Instant> checkedAt_;
    Instant isolatedAt_; // valid while isolated
    Instant probedAt_; // valid while isolated
    Instant failedLastAt_; // valid while isolated
};

} // namespace fireflyroute::core

#endif

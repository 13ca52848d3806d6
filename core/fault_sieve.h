// Tells runs that broke off with their endpoint from those that broke off together with many
// others: endpoints that fail in the same moment have a common cause, such as a lost network or a
// failed rack, and say nothing of the version that they run.
//
//   FaultSieve sieve;
//   sieve.note({endpoint, service, version, route}, now);
//   for (const BrokenRun &run : sieve.take(now))
//       count it against run.version
//
// A run is handed out once it is known what broke off around it.

#ifndef FIREFLYROUTE_CORE_FAULT_SIEVE_H
#define FIREFLYROUTE_CORE_FAULT_SIEVE_H

#include "core/clock.h"
#include "core/types.h"

#include <deque>
#include <string>
#include <vector>

namespace fireflyroute::core {

// A run that ended without an answer.
struct BrokenRun
{
    EndpointId endpoint;
    ServiceName service;
    VersionName version;
    std::string route;

    bool operator==(const BrokenRun &) const = default;
};

class FaultSieve
{
public:
    // Connections that one cause takes are noticed within so long of each other.
    static constexpr std::chrono::milliseconds kWindow{200};

    // Different endpoints that break off runs within the window for a common cause.
    static constexpr std::size_t kCommon = 3;

    void note(BrokenRun run, Instant now);

    // Runs that are counted now; those with a common cause are dropped.
    [[nodiscard]] std::vector<BrokenRun> take(Instant now);

private:
    struct Noted
    {
        BrokenRun run;
        Instant at;
        bool isCommon = false;
    };

    std::deque<Noted> noted_; // oldest first; bounded
};

} // namespace fireflyroute::core

#endif

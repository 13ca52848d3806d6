// Time types of the core. The core never reads a clock: every step receives the current time as a
// parameter. The code around the core reads it from a type that satisfies Clock.
//
//   std::vector<ReplicaAction> actions = replica.step(Tick{}, clock.now());

#ifndef FIREFLYROUTE_CORE_COMMON_CLOCK_H
#define FIREFLYROUTE_CORE_COMMON_CLOCK_H

#include <chrono>
#include <concepts>
#include <cstdint>

namespace fireflyroute::core {

using Duration = std::chrono::nanoseconds;

// A point on the monotonic clock of one process. Never sent to another process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A wall-clock time, for display, expiry times, roll-out stages and retention periods. It may be
// wrong or jump, so no safety decision depends on it alone: leases and dispatch windows compare it
// with the monotonic clock.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Truncates to whole milliseconds, for messages and logs.
[[nodiscard]] inline std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// A time source for the code outside the core.
template<typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<Instant>;
    {
        clock.wallNow()
        } -> std::same_as<WallTime>;
};

} // namespace fireflyroute::core

#endif

// Time as the core sees it. The core never reads a clock: each step is given the present instant,
// and whatever lies around the core takes a Clock as a template parameter.
//
//   template<Clock C>
//   void ControlLoop<C>::tick() { machine_.step(Tick{}, clock_.now()); }

#ifndef FIREFLYROUTE_CORE_CLOCK_H
#define FIREFLYROUTE_CORE_CLOCK_H

#include <chrono>
#include <concepts>
#include <cstdint>

namespace fireflyroute::core {

using Duration = std::chrono::nanoseconds;

// A point on the monotonic clock of one process. Never sent to another process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A point in calendar time, for people to read; no decision about safety rests on it.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Whole milliseconds, for messages and logs.
[[nodiscard]] inline std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Source of time that is passed in to everything outside the core that needs it.
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

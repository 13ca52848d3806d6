// The clocks of the machine. The process reads them only here.

#ifndef FIREFLYROUTE_APP_SYSTEM_CLOCK_H
#define FIREFLYROUTE_APP_SYSTEM_CLOCK_H

#include "core/common/clock.h"

#include <ctime>

namespace fireflyroute::app {

class SystemClock
{
public:
    [[nodiscard]] core::Instant now() const { return std::chrono::steady_clock::now(); }

    [[nodiscard]] core::WallTime wallNow() const
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now());
    }
};

static_assert(core::Clock<SystemClock>);

// A clock that also advances while the VM is suspended, so that a lease expires during a
// suspension.
class BootClock
{
public:
    [[nodiscard]] core::Instant now() const
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return core::Instant(std::chrono::seconds(time.tv_sec)
                             + std::chrono::nanoseconds(time.tv_nsec));
    }

    [[nodiscard]] core::WallTime wallNow() const { return SystemClock().wallNow(); }
};

static_assert(core::Clock<BootClock>);

} // namespace fireflyroute::app

#endif

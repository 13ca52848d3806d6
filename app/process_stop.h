// Carries out the planned stop of a process (core/stop/stop_sequence.h) on the thread that serves
// its sessions, so that no request is read after the decision to exit: no session is left by then.
//
//   ProcessStop stop(io, sequence, log);
//   stop.begin(group, countTunnels, [] { ... }); // runs once, when the process is to exit
//
// All calls run on the thread of the io_context.

#ifndef FIREFLYROUTE_APP_PROCESS_STOP_H
#define FIREFLYROUTE_APP_PROCESS_STOP_H

#include "app/structured_log.h"
#include "app/system_clock.h"
#include "core/stop/stop_sequence.h"
#include "net/server_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace fireflyroute::app {

class ProcessStop
{
public:
    // `sequence` is also asked by the owner, for the requests that it takes.
    ProcessStop(boost::asio::io_context &io, core::StopSequence &sequence, StructuredLog &log);

    // Starts the stop that was requested at `requestedAt`, which may have passed. `countTunnels`
    // returns the number of tunnels of other processes.
    void begin(core::Instant requestedAt, std::shared_ptr<net::SessionGroup> group,
               std::function<std::size_t()> countTunnels, std::function<void()> onEnded);

    [[nodiscard]] std::string metrics() const;

private:
    void step();
    void scheduleStep();
    void logPhase(const core::StopLoad &load) const;

    core::StopSequence &sequence_;
    StructuredLog &log_;
    BootClock clock_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<net::SessionGroup> group_; // null before begin()
    std::function<std::size_t()> countTunnels_;
    std::function<void()> onEnded_;
    net::SessionCounts countsAtBegin_;
    bool wasAccepting_ = true; // at the last step
};

} // namespace fireflyroute::app

#endif

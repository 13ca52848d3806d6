// The timer and the log of a planned stop.

#include "app/process_stop.h"

#include <fmt/format.h>
#include <utility>

namespace fireflyroute::app {

namespace {

constexpr std::chrono::milliseconds kStepPeriod{50};

// How long a connection without a request is kept after its listener has closed: the first request
// of a new one, or the next one of a caller that has just received an answer, may be on its way.
constexpr std::chrono::milliseconds kQuietPeriod{250};

std::int64_t number(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

} // namespace

ProcessStop::ProcessStop(boost::asio::io_context &io, core::StopSequence &sequence,
                         StructuredLog &log)
    : sequence_(sequence)
    , log_(log)
    , timer_(io)
{}

void ProcessStop::begin(core::Instant requestedAt, std::shared_ptr<net::SessionGroup> group,
                        std::function<std::size_t()> countTunnels, std::function<void()> onEnded)
{
    group_ = std::move(group);
    countTunnels_ = std::move(countTunnels);
    onEnded_ = std::move(onEnded);
    countsAtBegin_ = group_->counts;
    sequence_.begin(requestedAt);
    net::announceEnd(*group_);
    scheduleStep();
}

void ProcessStop::scheduleStep()
{
    timer_.expires_after(kStepPeriod);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            step();
    });
}

void ProcessStop::step()
{
    const core::Instant now = clock_.now();
    const core::StopPhase before = sequence_.phase();
    const net::SessionLoad held = net::loadOf(*group_);
    // A connection that was accepted just before the listener closed may be passed on after that,
    // but before the next step.
    const bool mayGainConnection = std::exchange(wasAccepting_, net::isAccepting(*group_));
    const std::size_t connections = held.connections + (mayGainConnection ? 1 : 0);
    const core::StopLoad load{held.requests, connections, countTunnels_()};
    const core::StopPhase phase = sequence_.step(now, load);
    if (phase != before)
        logPhase(load);
    if (phase == core::StopPhase::Ended) {
        onEnded_();
        return;
    }
    if (phase == core::StopPhase::Closing) {
        net::stopAccepting(*group_);
        net::closeIdleSessions(*group_, kQuietPeriod);
    }
    if (sequence_.mustAnswer(now))
        net::endRequests(*group_);
    scheduleStep();
}

// The counts are those since the stop was requested.
void ProcessStop::logPhase(const core::StopLoad &load) const
{
    const net::SessionCounts &counts = group_->counts;
    LogLine(log_, LogKind::Process)
            .add("event", "stop_phase")
            .add("phase", core::nameOf(sequence_.phase()))
            .add("since_stop_ms", core::toMillis(sequence_.elapsed(clock_.now())))
            .add("connections", number(load.connections))
            .add("in_progress", number(load.requests))
            .add("unread", number(net::countUnread(*group_)))
            .add("tunnels", number(load.tunnels))
            .add("requests", number(counts.requests - countsAtBegin_.requests))
            .add("closed_idle", number(counts.closedIdle - countsAtBegin_.closedIdle))
            .add("closed_unused", number(counts.closedUnused - countsAtBegin_.closedUnused))
            .add("last_calls", number(counts.lastCalls - countsAtBegin_.lastCalls));
}

std::string ProcessStop::metrics() const
{
    if (!group_)
        return {};
    const net::SessionCounts &counts = group_->counts;
    return fmt::format("fireflyroute_stop_requests_total {}\n"
                       "fireflyroute_stop_connections_closed_idle_total {}\n"
                       "fireflyroute_stop_last_calls_total {}\n",
                       counts.requests - countsAtBegin_.requests,
                       counts.closedIdle - countsAtBegin_.closedIdle,
                       counts.lastCalls - countsAtBegin_.lastCalls);
}

} // namespace fireflyroute::app

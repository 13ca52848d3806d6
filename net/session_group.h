// What the sessions of one listener share: limits, the budget of held bytes, totals, and the steps
// of a planned stop.
//
//   const auto group = acceptSessions(io, address, config, handler);
//   group.value()->limits = changed;
//   closeIdleSessions(*group.value(), quietPeriod);
//
// At the limit of connections, the one that has made no progress for longest gives way to a new
// one; when bytes run short, those give way that core/admission/byte_budget.h chooses. Connections
// whose callers owe nothing stay open.

#ifndef FIREFLYROUTE_NET_SESSION_GROUP_H
#define FIREFLYROUTE_NET_SESSION_GROUP_H

#include "core/admission/byte_budget.h"
#include "core/common/enum_names.h"
#include "net/errors.h"
#include "net/http_message.h"
#include "net/request_reader.h"
#include "net/tcp_acceptor.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace fireflyroute::net {

// Why a session was closed or its request rejected for the sake of others.
enum class CloseReason {
    BodyStalled, // held a part of a request without progress
    AnswerUnread, // did not receive its answer
    ConnectionLimit, // made room for a new connection
    NoRoom, // was refused as a new connection, because no other could be closed
    BudgetUsedUp, // its request was rejected after a wait for bytes
};

} // namespace fireflyroute::net

namespace fireflyroute::core {

template<>
struct EnumNames<net::CloseReason>
{
    static constexpr std::array table{
            EnumName{net::CloseReason::BodyStalled, "body_stalled"},
            EnumName{net::CloseReason::AnswerUnread, "answer_unread"},
            EnumName{net::CloseReason::ConnectionLimit, "connection_limit"},
            EnumName{net::CloseReason::NoRoom, "no_room"},
            EnumName{net::CloseReason::BudgetUsedUp, "budget_used_up"},
    };
};

} // namespace fireflyroute::core

namespace fireflyroute::net {

// Limits of requests and time-outs. Shared by all sessions of a listener and may be replaced while
// they run.
struct SessionLimits : RequestLimits
{
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

// What the sessions of a listener may hold together.
struct GroupLimits
{
    core::HoldLimits held;
    std::size_t connections = std::numeric_limits<std::size_t>::max();
};

class ServerSession;

// Receives one complete request. The handler must keep the session alive until it has responded to
// the request or aborted the session.
using SessionHandler =
        std::function<void(const std::shared_ptr<ServerSession> &, HttpRequestMessage)>;

// Totals of the sessions of one listener.
struct SessionCounts
{
    std::uint64_t requests = 0; // passed to the handler
    std::uint64_t closedIdle = 0; // connections closed by closeIdleSessions()
    std::uint64_t closedUnused = 0; // those of closedIdle that never carried a request
    std::uint64_t lastCalls = 0; // requests whose response endRequests() asked for
    std::uint64_t waits = 0; // of requests for bytes of the budget
    std::map<CloseReason, std::uint64_t> closedForOthers;
};

// What the sessions of one listener hold.
struct SessionLoad
{
    std::size_t requests = 0; // of which any part was read and whose response is not fully sent
    std::size_t connections = 0; // not closed
};

// A session that was closed, or whose request was rejected, for the sake of others.
struct ClosedSession
{
    CloseReason reason = CloseReason::BodyStalled;
    std::size_t bytes = 0; // that it held or asked for
    std::chrono::milliseconds sinceProgress{};
};

// State that the sessions of one listener share.
struct SessionGroup
{
    SessionGroup(boost::asio::io_context &io, const SessionLimits &sessionLimits,
                 const GroupLimits &groupLimits, SessionHandler sessionHandler);

    SessionLimits limits;
    const GroupLimits bounds;
    SessionHandler handler;
    core::ByteBudget budget;
    std::set<ServerSession *> sessions; // all sessions that are not destroyed yet
    std::size_t unsentBytes = 0; // of all sessions
    SessionCounts counts;
    std::function<void(const ClosedSession &)> onClosedForOthers; // may be empty
    std::weak_ptr<TcpListener> listener; // owns the group until it is stopped
    std::deque<std::weak_ptr<ServerSession>> waiting; // for bytes, in the order of their requests
    boost::asio::steady_timer waitTimer; // runs while a session waits
    // Until then no session can be closed for an ordinary request, and for a larger one. Saves
    // looking through all sessions for each that waits.
    std::chrono::steady_clock::time_point noneForOrdinaryUntil{};
    std::chrono::steady_clock::time_point noneForLargeUntil{};
    bool announcesEnd = false; // each response announces the end of its connection
};

// Listens on "IP:PORT" and starts a session for each connection, until stopAccepting() is called on
// the returned group or the io_context ends.
[[nodiscard]] Result<std::shared_ptr<SessionGroup>>
acceptSessions(boost::asio::io_context &io, const std::string &address, const SessionLimits &limits,
               SessionHandler handler, const GroupLimits &bounds = {});

[[nodiscard]] SessionLoad loadOf(const SessionGroup &group);

// Returns the number of requests that are not passed to the handler yet, also those that lie in the
// kernel. Costs a system call for each connection.
[[nodiscard]] std::size_t countUnread(const SessionGroup &group);

// Counts and reports a session that was closed, or whose request was rejected.
void recordClosed(SessionGroup &group, const ClosedSession &closed);

// Closes sessions until a connection that waits for `bytes` can have them, or no other may be
// closed. Returns whether any was closed.
bool makeRoom(SessionGroup &group, std::size_t bytes);

// Lets the session ask again once bytes may be free.
void addWaiting(const std::shared_ptr<SessionGroup> &group,
                const std::shared_ptr<ServerSession> &session);

// The text of the metrics of the group, whose names begin with the prefix.
[[nodiscard]] std::string metricsOf(const SessionGroup &group, const std::string &prefix);

// The steps of a stop, in this order. core/stop/stop_sequence.h decides when each is due.

// From now on, each response announces the end of its connection.
void announceEnd(SessionGroup &group);

// Keeps new connections out. Those that have begun are added to the group until isAccepting() is
// false.
void stopAccepting(SessionGroup &group);
[[nodiscard]] bool isAccepting(const SessionGroup &group);

// Closes the connections that have carried nothing for the period. A request that has arrived but
// is not read yet keeps its connection open.
void closeIdleSessions(SessionGroup &group, std::chrono::milliseconds quietPeriod);

// Asks for the responses to all requests in progress, because the process is about to exit.
void endRequests(SessionGroup &group);

} // namespace fireflyroute::net

#endif

// The listener's side of sessions: accepting, closing for the sake of others, and the steps of a
// planned stop.

#include "net/session_group.h"

#include "net/server_session.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <utility>
#include <vector>

namespace fireflyroute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Interval in which waiting sessions ask again.
constexpr std::chrono::milliseconds kWaitStep{50};

std::vector<std::shared_ptr<ServerSession>> sessionsOf(const SessionGroup &group)
{
    std::vector<std::shared_ptr<ServerSession>> sessions;
    sessions.reserve(group.sessions.size());
    for (ServerSession *session : group.sessions)
        sessions.push_back(session->shared_from_this());
    return sessions;
}

// Calls `step` with each session. A step may end a session and thereby remove it from the group.
template<typename Step>
void forEachSession(const SessionGroup &group, const Step &step)
{
    for (const std::shared_ptr<ServerSession> &session : sessionsOf(group))
        step(*session);
}

// Closes the session without a request in progress that has made no progress for longest. Returns
// whether there was one.
bool closeOldestIdle(SessionGroup &group)
{
    const std::vector<std::shared_ptr<ServerSession>> sessions = sessionsOf(group);
    std::shared_ptr<ServerSession> oldest;
    for (const std::shared_ptr<ServerSession> &session : sessions) {
        const bool isIdle = session->load().connections != 0 && !session->hasRequest();
        if (isIdle && (!oldest || session->lastProgressAt() < oldest->lastProgressAt()))
            oldest = session;
    }
    if (oldest)
        oldest->closeForOthers(CloseReason::ConnectionLimit);
    return oldest != nullptr;
}

void accept(const std::shared_ptr<SessionGroup> &group, tcp::socket socket)
{
    if (group->sessions.size() >= group->bounds.connections && !closeOldestIdle(*group)) {
        recordClosed(*group, {CloseReason::NoRoom, 0, {}});
        return;
    }
    std::make_shared<ServerSession>(std::move(socket), group)->start();
}

void retryWaiting(const std::shared_ptr<SessionGroup> &group);

void armWaitTimer(const std::shared_ptr<SessionGroup> &group)
{
    group->waitTimer.expires_after(kWaitStep);
    group->waitTimer.async_wait([weak = std::weak_ptr(group)](const error_code &error) {
        const std::shared_ptr<SessionGroup> alive = weak.lock();
        if (!error && alive)
            retryWaiting(alive);
    });
}

void retryWaiting(const std::shared_ptr<SessionGroup> &group)
{
    for (const std::weak_ptr<ServerSession> &weak : std::exchange(group->waiting, {})) {
        const std::shared_ptr<ServerSession> session = weak.lock();
        if (session && session->retryHold())
            group->waiting.push_back(session);
    }
    if (!group->waiting.empty())
        armWaitTimer(group);
}

} // namespace

SessionGroup::SessionGroup(asio::io_context &io, const SessionLimits &sessionLimits,
                           const GroupLimits &groupLimits, SessionHandler sessionHandler)
    : limits(sessionLimits)
    , bounds(groupLimits)
    , handler(std::move(sessionHandler))
    , budget(groupLimits.held)
    , waitTimer(io)
{}

Result<std::shared_ptr<SessionGroup>>
acceptSessions(asio::io_context &io, const std::string &address, const SessionLimits &limits,
               SessionHandler handler, const GroupLimits &bounds)
{
    auto group = std::make_shared<SessionGroup>(io, limits, bounds, std::move(handler));
    BOOST_OUTCOME_TRY(listener, acceptConnections(io, address, [group](tcp::socket socket) {
                          accept(group, std::move(socket));
                      }));
    group->listener = listener;
    return group;
}

SessionLoad loadOf(const SessionGroup &group)
{
    SessionLoad sum;
    for (const ServerSession *session : group.sessions) {
        const SessionLoad load = session->load();
        sum.requests += load.requests;
        sum.connections += load.connections;
    }
    return sum;
}

std::size_t countUnread(const SessionGroup &group)
{
    return static_cast<std::size_t>(std::count_if(
            group.sessions.begin(), group.sessions.end(),
            [](const ServerSession *session) { return session->hasUnreadRequest(); }));
}

void recordClosed(SessionGroup &group, const ClosedSession &closed)
{
    ++group.counts.closedForOthers[closed.reason];
    if (group.onClosedForOthers)
        group.onClosedForOthers(closed);
}

bool makeRoom(SessionGroup &group, std::size_t bytes)
{
    const auto now = std::chrono::steady_clock::now();
    auto &noneUntil = bytes > group.bounds.held.ordinaryBytes ? group.noneForLargeUntil
                                                              : group.noneForOrdinaryUntil;
    if (now < noneUntil)
        return false;
    const std::vector<std::shared_ptr<ServerSession>> sessions = sessionsOf(group);
    std::vector<core::HolderState> holders;
    holders.reserve(sessions.size());
    for (const std::shared_ptr<ServerSession> &session : sessions)
        holders.push_back(session->holderState());
    const std::optional<std::size_t> chosen = group.budget.chooseToClose(holders, bytes, now);
    if (!chosen) {
        noneUntil = now + kWaitStep;
        return false;
    }
    const bool isUnread = holders[*chosen].phase == core::HoldPhase::Sending;
    sessions[*chosen]->closeForOthers(isUnread ? CloseReason::AnswerUnread
                                               : CloseReason::BodyStalled);
    return true;
}

void addWaiting(const std::shared_ptr<SessionGroup> &group,
                const std::shared_ptr<ServerSession> &session)
{
    ++group->counts.waits;
    if (group->waiting.empty())
        armWaitTimer(group);
    group->waiting.push_back(session);
}

std::string metricsOf(const SessionGroup &group, const std::string &prefix)
{
    std::string text = fmt::format("{0}_connections {1}\n{0}_held_bytes {2}\n"
                                   "{0}_held_bytes_limit {3}\n{0}_hold_waits_total {4}\n",
                                   prefix, group.sessions.size(), group.budget.usedBytes(),
                                   group.budget.limits().totalBytes, group.counts.waits);
    for (const auto &[reason, count] : group.counts.closedForOthers)
        text += fmt::format("{}_closed_for_others_total{{reason=\"{}\"}} {}\n", prefix,
                            core::nameOf(reason), count);
    return text;
}

void announceEnd(SessionGroup &group)
{
    group.announcesEnd = true;
}

void stopAccepting(SessionGroup &group)
{
    if (const std::shared_ptr<TcpListener> listener = group.listener.lock())
        listener->stop();
}

bool isAccepting(const SessionGroup &group)
{
    const std::shared_ptr<TcpListener> listener = group.listener.lock();
    return listener && listener->isOpen();
}

void closeIdleSessions(SessionGroup &group, std::chrono::milliseconds quietPeriod)
{
    forEachSession(group,
                   [quietPeriod](ServerSession &session) { session.closeIfIdle(quietPeriod); });
}

void endRequests(SessionGroup &group)
{
    forEachSession(group, [](ServerSession &session) { session.endRequest(); });
}

} // namespace fireflyroute::net

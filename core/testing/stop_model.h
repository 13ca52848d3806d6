// A model without I/O of a process that is stopped while callers use it: the kernel, the callers,
// the traffic thread and the control thread, each of which may take its next turn at any time. The
// procedure of the stop is a parameter, so that different ones can be compared.
//
//   StopModel<PlannedStop> model(bounds);
//   model.perform({StopMove::Connect, 0}); // false if that can't happen now
//   if (model.violation()) ...
//
// A request consists of parts that arrive one by one. The turns of the traffic thread do what
// net/server_session.cpp and net/tcp_acceptor.cpp do, in any order and as late as can be, with two
// exceptions: the timer of the stop runs at least once in each tick, and handlers that are queued
// when it runs, run before it runs again. The traffic thread learns of the signal within
// kSignalLagTicks. Each caller uses one route: of calls or of streams, to a service with models or
// without. Tunnels, callers that leave while they wait, the time-outs of requests, and streams that
// continue on another endpoint aren't modelled.
//
// Not violations, because no process can know of them or help it:
// - a request that reaches the kernel after its idle connection was closed; so the announcement of
//   the end and the quiet period, which make this rare, aren't checked;
// - a connection that the kernel has not established when the listener closes;
// - a pipelined request behind the answer that announces the end, which is not taken;
// - an answer that the kernel hasn't taken when the time is used up, because its caller doesn't
//   receive it, or that its caller hasn't received within the time to close;
// - a request of which only a part has been read, or a connection that waits, when the time is used
//   up;
// - a stream that has begun when the time is used up, and that was sent before kExcusedTicks.

#ifndef FIREFLYROUTE_CORE_TESTING_STOP_MODEL_H
#define FIREFLYROUTE_CORE_TESTING_STOP_MODEL_H

#include "core/common/enum_names.h"
#include "core/config/site_config.h"
#include "core/stop/stop_sequence.h"

#include <algorithm>
#include <array>
#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <type_traits>
#include <utility>

namespace fireflyroute::core {

// Time passes in ticks, by an explicit move.
constexpr Duration kModelTick = std::chrono::milliseconds(250);
constexpr StopLimits kModelLimits{.announcePeriod = 2 * kModelTick,
                                  .streamPeriod = 2 * kModelTick,
                                  .acceptPeriod = 4 * kModelTick,
                                  .answerPeriod = 6 * kModelTick,
                                  .exitPeriod = 7 * kModelTick};
const Instant kModelStart{std::chrono::hours(1)}; // of the stop
constexpr std::uint8_t kQuietTicks = 1; // like kQuietPeriod of app/process_stop.cpp
constexpr std::uint8_t kCloseTicks = 2; // like kCloseTimeout of net/server_session.cpp
constexpr std::uint8_t kExitLagTicks = 1; // within which the control thread carries out the exit
constexpr std::uint8_t kSignalLagTicks = 1; // within which the traffic thread learns of the signal
constexpr std::uint8_t kExcusedTicks = 2; // streams that are sent later must not be cut

enum class StopMove : std::uint8_t {
    Connect,
    Send,
    Receive,
    Close,
    TakeOutput,
    CompleteAccept,
    PassAccepted,
    Read,
    ParseInput,
    BeginStream,
    Answer,
    FinishWrite,
    EndWaitForClose,
    Signal,
    BeginStop,
    StepStop,
    CloseListener,
    Exit,
    PassTime,
};

template<>
struct EnumNames<StopMove>
{
    static constexpr std::array table{
            EnumName{StopMove::Connect, "a caller connects"},
            EnumName{StopMove::Send, "a caller sends a part of a request"},
            EnumName{StopMove::Receive, "a caller receives an answer"},
            EnumName{StopMove::Close, "a caller closes"},
            EnumName{StopMove::TakeOutput, "the kernel takes the answer"},
            EnumName{StopMove::CompleteAccept, "the reactor accepts"},
            EnumName{StopMove::PassAccepted, "the accepted connection is passed on"},
            EnumName{StopMove::Read, "the session reads"},
            EnumName{StopMove::ParseInput, "the session parses what it has read before"},
            EnumName{StopMove::BeginStream, "the endpoint begins a stream"},
            EnumName{StopMove::Answer, "the endpoint answers"},
            EnumName{StopMove::FinishWrite, "the write is reported"},
            EnumName{StopMove::EndWaitForClose, "the time for the caller's close ends"},
            EnumName{StopMove::Signal, "the stop is requested"},
            EnumName{StopMove::BeginStop, "the traffic thread begins the stop"},
            EnumName{StopMove::StepStop, "the stop's timer runs"},
            EnumName{StopMove::CloseListener, "the listener closes"},
            EnumName{StopMove::Exit, "the control thread exits"},
            EnumName{StopMove::PassTime, "a tick passes"},
    };
};

enum class StopViolation : std::uint8_t {
    RequestCut,
    StreamCut,
    AnswerCut,
    UnreadAtExit,
    WaitingAtExit,
    ClosedUnderRequest,
    AnswerReset,
    ReadAfterLastAnswer,
    LateExit,
};

template<>
struct EnumNames<StopViolation>
{
    static constexpr std::array table{
            EnumName{StopViolation::RequestCut, "the exit cuts a request that was passed on"},
            EnumName{StopViolation::StreamCut, "the exit cuts a stream that was sent late"},
            EnumName{StopViolation::AnswerCut, "an early exit cuts an answer"},
            EnumName{StopViolation::UnreadAtExit, "an early exit resets an unread request"},
            EnumName{StopViolation::WaitingAtExit, "an early exit resets a waiting connection"},
            EnumName{StopViolation::ClosedUnderRequest, "a connection is closed under a request"},
            EnumName{StopViolation::AnswerReset, "a close resets an answer"},
            EnumName{StopViolation::ReadAfterLastAnswer,
                     "a request is taken after the answer or refusal that ends its connection"},
            EnumName{StopViolation::LateExit, "the exit comes after the exit period"},
    };
};

enum class ModelRoute : std::uint8_t { Call, CallWithModels, Stream, StreamWithModels };

inline const Route &routeOf(ModelRoute route)
{
    static const std::array routes = [] {
        std::array<Route, 4> made;
        for (const ModelRoute item : {ModelRoute::Stream, ModelRoute::StreamWithModels})
            made[static_cast<std::size_t>(item)].kind = RouteKind::Stream;
        for (const ModelRoute item : {ModelRoute::CallWithModels, ModelRoute::StreamWithModels})
            made[static_cast<std::size_t>(item)].models = {ModelName("small"), ModelName("large")};
        return made;
    }();
    return routes[static_cast<std::size_t>(route)];
}

enum class ModelStage : std::uint8_t {
    Unused,
    Waiting, // established by the kernel
    Accepted, // by the reactor, not passed on yet
    Open, // has a session
    Closed, // by the process
};

struct ModelConnection
{
    ModelStage stage = ModelStage::Unused;

    // The caller.
    ModelRoute route = ModelRoute::Call;
    std::uint8_t excusedParts = 0; // of streams: sent before kExcusedTicks
    std::uint8_t sentParts = 0;
    std::uint8_t receivedAnswers = 0;
    bool wasToldEnd = false;
    bool hasClosed = false;
    bool wasReset = false;

    // The kernel.
    std::uint8_t unreadParts = 0;
    std::uint8_t answersToReceive = 0;

    // The session. Members have the meaning of those of net::ServerSession.
    std::uint8_t inputParts = 0;
    std::uint8_t unsentAnswers = 0;
    std::uint8_t quietTicks = 0; // since the start, the last answer or the wait for the close
    bool waitsReadable = false;
    bool parsePosted = false;
    bool requestActive = false;
    bool writing = false;
    bool closeAfterWrite = false;
    bool awaitsClose = false;
    bool isAheadOfStep = false; // a handler was queued when the stop's timer ran last
    std::uint8_t startedStreams = 0; // read and not refused at once
    bool hasBegunStream = false; // the caller has a part of the answer to the active request

    auto operator<=>(const ModelConnection &) const = default;

    [[nodiscard]] bool hasUnreadRequest() const
    {
        return stage == ModelStage::Open && !requestActive && !closeAfterWrite
               && (inputParts != 0 || unreadParts != 0);
    }
};

constexpr std::size_t kMaxModelCallers = 4;

struct ModelBounds
{
    std::uint8_t callers = 2; // kMaxModelCallers at most, one connection each
    std::uint8_t requests = 2; // of each caller
    std::uint8_t parts = 1; // of each request
    bool isPipelining = false; // a caller sends its next request without waiting for the answer
    std::array<ModelRoute, kMaxModelCallers> routes{}; // of each caller
};

// What the thread of the sessions holds, and the steps that a stop can take there.
class ModelSessions
{
public:
    explicit ModelSessions(const ModelBounds &modelBounds)
        : bounds(modelBounds)
    {
        for (std::size_t caller = 0; caller < connections.size(); ++caller)
            connections[caller].route = bounds.routes[caller];
    }

    [[nodiscard]] StopLoad load() const
    {
        StopLoad sum;
        for (const ModelConnection &connection : connections) {
            if (connection.stage != ModelStage::Open)
                continue;
            const bool hasReadPart = connection.hasUnreadRequest() && connection.inputParts != 0;
            const bool hasRequest = connection.requestActive || connection.writing || hasReadPart;
            sum.requests += hasRequest ? 1U : 0U;
            ++sum.connections;
        }
        return sum;
    }

    // Handshakes that have begun may end until the listener closes, in a turn of its own.
    void stopAccepting() { isStoppingToListen = true; }

    // The queue is accepted in one turn, in which no connection is added. An accept that the
    // reactor has completed is passed on in a later turn.
    void closeListener()
    {
        isListening = false;
        for (ModelConnection &connection : connections) {
            if (connection.stage == ModelStage::Waiting)
                start(connection);
        }
    }

    void closeIdle(std::uint8_t quietTicks)
    {
        for (ModelConnection &connection : connections) {
            const bool isIdle = connection.stage == ModelStage::Open && !connection.requestActive
                                && !connection.closeAfterWrite && !connection.writing;
            if (isIdle && connection.quietTicks >= quietTicks && !connection.hasUnreadRequest())
                close(connection);
        }
    }

    void endRequests()
    {
        for (ModelConnection &connection : connections) {
            if (connection.hasUnreadRequest())
                respond(connection, true);
            else if (connection.requestActive && !connection.hasBegunStream)
                respond(connection, announcesEnd);
        }
    }

    void start(ModelConnection &connection) const
    {
        connection.stage = ModelStage::Open;
        connection.isAheadOfStep = false;
        connection.quietTicks = 0;
        connection.waitsReadable = true;
    }

    void respond(ModelConnection &connection, bool isLast) const
    {
        connection.requestActive = false;
        connection.hasBegunStream = false;
        ++connection.unsentAnswers;
        connection.writing = true;
        connection.closeAfterWrite = isLast;
        if (isLast)
            return;
        connection.quietTicks = 0;
        if (connection.inputParts == 0)
            connection.waitsReadable = true;
        else
            connection.parsePosted = true;
    }

    void close(ModelConnection &connection)
    {
        if (connection.hasUnreadRequest() || connection.requestActive)
            violation = StopViolation::ClosedUnderRequest;
        else if (connection.unreadParts != 0 && connection.answersToReceive != 0)
            violation = StopViolation::AnswerReset;
        drop(connection);
    }

    static void drop(ModelConnection &connection)
    {
        connection.stage = ModelStage::Closed;
        connection.wasReset = connection.unreadParts != 0;
        connection.unreadParts = 0;
        connection.inputParts = 0;
        connection.waitsReadable = false;
        connection.parsePosted = false;
        connection.isAheadOfStep = false;
    }

    const ModelBounds bounds;
    std::array<ModelConnection, kMaxModelCallers> connections;
    bool isListening = true; // until the listener has closed
    bool isStoppingToListen = false;
    bool announcesEnd = false;
    std::optional<StopViolation> violation; // the first one
};

// A procedure of a stop. begin() and step() run on the traffic thread. begin() is told when the
// signal arrived and when the thread learns of it. step() returns whether it orders the exit;
// state() is what its next steps depend on, apart from the time.
template<typename P>
concept StopProcedure = std::copy_constructible<P> && requires(P procedure, const P &constProcedure,
                                                               ModelSessions &sessions, Instant now)
{
    procedure.begin(sessions, now, now);
    {
        procedure.step(sessions, now)
        } -> std::same_as<bool>;
    {
        constProcedure.takesRequest(routeOf(ModelRoute::Call), now)
        } -> std::same_as<bool>;
    {
        constProcedure.state()
        } -> std::same_as<std::uint8_t>;
    {
        P::kAwaitsClose // whether the caller closes first after the last answer
        } -> std::convertible_to<bool>;
};

// The steps of app/process_stop.cpp.
class PlannedStop
{
public:
    static constexpr bool kAwaitsClose = true;

    void begin(ModelSessions &sessions, Instant signalledAt, Instant /*now*/)
    {
        sequence_.begin(signalledAt);
        sessions.announcesEnd = true;
    }

    bool step(ModelSessions &sessions, Instant now)
    {
        StopLoad load = sessions.load();
        load.connections += std::exchange(wasAccepting_, sessions.isListening) ? 1 : 0;
        const StopPhase phase = sequence_.step(now, load);
        if (phase == StopPhase::Ended)
            return true;
        if (phase == StopPhase::Closing) {
            sessions.stopAccepting();
            sessions.closeIdle(kQuietTicks);
        }
        if (sequence_.mustAnswer(now))
            sessions.endRequests();
        return false;
    }

    // Like prepare() and pickEndpoint() of app/proxy_request_impl.h for a first attempt.
    [[nodiscard]] bool takesRequest(const Route &route, Instant now) const
    {
        return sequence_.takesRequests(now) && (!route.isStream() || sequence_.startsStreams(now));
    }

    [[nodiscard]] std::uint8_t state() const
    {
        return static_cast<std::uint8_t>(2 * static_cast<int>(sequence_.phase())
                                         + (wasAccepting_ ? 1 : 0));
    }

private:
    StopSequence sequence_{kModelLimits};
    bool wasAccepting_ = true; // at the last step
};

template<StopProcedure Procedure>
class StopModel
{
public:
    struct Move
    {
        StopMove kind{};
        std::uint8_t connection = 0;
    };

    // Equal keys have equal futures. Connections are interchangeable.
    struct Key
    {
        std::array<ModelConnection, kMaxModelCallers> connections;
        std::array<std::uint8_t, 8> rest{};
    };

    explicit StopModel(const ModelBounds &bounds)
        : sessions_(bounds)
    {}

    [[nodiscard]] std::optional<StopViolation> violation() const { return sessions_.violation; }
    [[nodiscard]] bool hasExited() const { return hasExited_; }
    [[nodiscard]] bool isExitEarly() const { return isExitEarly_; }
    [[nodiscard]] unsigned ticks() const { return ticks_; }

    [[nodiscard]] static constexpr bool concernsConnection(StopMove kind)
    {
        return kind < StopMove::Signal;
    }

    // Returns false, and changes nothing that matters, if the move can't happen now.
    bool perform(const Move &move)
    {
        if (hasExited_)
            return false;
        if (concernsConnection(move.kind))
            return performOn(sessions_.connections[move.connection], move.kind);
        switch (move.kind) {
        case StopMove::Signal:
            return signal();
        case StopMove::BeginStop:
            return beginStop();
        case StopMove::StepStop:
            return stepStop();
        case StopMove::CloseListener:
            if (!sessions_.isStoppingToListen || !sessions_.isListening)
                return false;
            sessions_.closeListener();
            return true;
        case StopMove::Exit:
            return exit();
        default:
            return passTime();
        }
    }

    [[nodiscard]] Key key() const
    {
        Key key;
        key.connections = sessions_.connections;
        std::sort(key.connections.begin(), key.connections.end());
        key.rest = {
                procedure_.state(),
                ticks_,
                static_cast<std::uint8_t>(sessions_.isListening + 2 * sessions_.isStoppingToListen),
                static_cast<std::uint8_t>(isSignalled_ + 2 * isStopping_),
                hasStepped_,
                exitOrderedAt_ ? *exitOrderedAt_ : kNever,
                hasExited_,
                sessions_.announcesEnd};
        return key;
    }

private:
    static constexpr std::uint8_t kNever = 255;

    [[nodiscard]] Instant now() const { return kModelStart + ticks_ * kModelTick; }

    bool performOn(ModelConnection &connection, StopMove kind)
    {
        switch (kind) {
        case StopMove::Connect:
            if (connection.stage != ModelStage::Unused || !sessions_.isListening)
                return false;
            connection.stage = ModelStage::Waiting;
            return true;
        case StopMove::Send:
            return send(connection);
        case StopMove::Receive:
            return receive(connection);
        case StopMove::Close:
            return closeByCaller(connection);
        case StopMove::TakeOutput:
            if (connection.stage != ModelStage::Open || connection.unsentAnswers == 0)
                return false;
            connection.answersToReceive += std::exchange(connection.unsentAnswers, 0);
            return true;
        case StopMove::CompleteAccept:
            return completeAccept(connection);
        case StopMove::PassAccepted:
            if (connection.stage != ModelStage::Accepted)
                return false;
            sessions_.start(connection);
            return true;
        default:
            return connection.stage == ModelStage::Open && performOnSession(connection, kind);
        }
    }

    bool performOnSession(ModelConnection &connection, StopMove kind)
    {
        switch (kind) {
        case StopMove::Read:
            return read(connection);
        case StopMove::ParseInput:
            if (!std::exchange(connection.parsePosted, false))
                return false;
            connection.isAheadOfStep = false;
            if (!connection.requestActive && !connection.closeAfterWrite)
                parse(connection);
            return true;
        case StopMove::BeginStream:
            return connection.requestActive && isStream(connection)
                   && !std::exchange(connection.hasBegunStream, true);
        case StopMove::Answer:
            if (!connection.requestActive)
                return false;
            sessions_.respond(connection, sessions_.announcesEnd);
            return true;
        case StopMove::FinishWrite:
            return finishWrite(connection);
        default:
            if (!connection.awaitsClose || connection.quietTicks < kCloseTicks)
                return false;
            ModelSessions::drop(connection);
            return true;
        }
    }

    // A caller that has sent a part of a request goes on with it. It sends no request after it was
    // told the end.
    bool send(ModelConnection &connection)
    {
        const ModelBounds &bounds = sessions_.bounds;
        const bool canSend = connection.stage != ModelStage::Unused && !connection.hasClosed
                             && !connection.wasReset && !connection.wasToldEnd
                             && connection.sentParts < bounds.requests * bounds.parts;
        const bool isBetween = connection.sentParts % bounds.parts == 0;
        const bool isWaiting =
                isBetween && connection.sentParts / bounds.parts != connection.receivedAnswers;
        if (!canSend || (isWaiting && !bounds.isPipelining))
            return false;
        ++connection.sentParts;
        if (connection.stage == ModelStage::Closed)
            connection.wasReset = true;
        else
            ++connection.unreadParts;
        return true;
    }

    bool receive(ModelConnection &connection)
    {
        if (connection.answersToReceive == 0 || connection.wasReset)
            return false;
        --connection.answersToReceive;
        ++connection.receivedAnswers;
        connection.wasToldEnd = connection.closeAfterWrite && connection.unsentAnswers == 0
                                && connection.answersToReceive == 0;
        return true;
    }

    bool closeByCaller(ModelConnection &connection)
    {
        const std::uint8_t parts = sessions_.bounds.parts;
        const bool isIdle = connection.sentParts == connection.receivedAnswers * parts;
        if (connection.stage == ModelStage::Unused || connection.hasClosed || connection.wasReset
            || (!isIdle && !connection.wasToldEnd))
            return false;
        connection.hasClosed = true;
        return true;
    }

    // One accept is pending at a time.
    bool completeAccept(ModelConnection &connection)
    {
        const bool isPassing = std::any_of(
                sessions_.connections.begin(), sessions_.connections.end(),
                [](const ModelConnection &other) { return other.stage == ModelStage::Accepted; });
        if (connection.stage != ModelStage::Waiting || !sessions_.isListening || isPassing)
            return false;
        connection.stage = ModelStage::Accepted;
        return true;
    }

    bool read(ModelConnection &connection)
    {
        if (!connection.waitsReadable || (connection.unreadParts == 0 && !connection.hasClosed))
            return false;
        connection.waitsReadable = false;
        if (connection.closeAfterWrite && !connection.requestActive && !connection.awaitsClose)
            return true;
        if (connection.unreadParts == 0) {
            sessions_.close(connection);
        } else if (connection.awaitsClose) {
            connection.unreadParts = 0;
            connection.waitsReadable = true;
        } else if (!connection.requestActive) {
            connection.inputParts += std::exchange(connection.unreadParts, 0);
            parse(connection);
        }
        return true;
    }

    void parse(ModelConnection &connection)
    {
        connection.waitsReadable = true;
        if (connection.inputParts < sessions_.bounds.parts)
            return;
        if (connection.closeAfterWrite) {
            sessions_.violation = StopViolation::ReadAfterLastAnswer;
            return;
        }
        connection.inputParts -= sessions_.bounds.parts;
        connection.waitsReadable = connection.inputParts == 0;
        connection.requestActive = true;
        connection.startedStreams += isStream(connection) ? 1 : 0;
        if (!procedure_.takesRequest(routeOf(connection.route), now()))
            sessions_.respond(connection, sessions_.announcesEnd);
    }

    bool finishWrite(ModelConnection &connection)
    {
        if (!connection.writing || connection.unsentAnswers != 0)
            return false;
        connection.writing = false;
        if (!connection.closeAfterWrite || connection.requestActive)
            return true;
        if (!Procedure::kAwaitsClose) {
            sessions_.close(connection);
            return true;
        }
        connection.awaitsClose = true;
        connection.inputParts = 0;
        connection.quietTicks = 0;
        connection.waitsReadable = true;
        return true;
    }

    bool signal() { return !std::exchange(isSignalled_, true); }

    bool beginStop()
    {
        if (!isSignalled_ || isStopping_)
            return false;
        isStopping_ = true;
        procedure_.begin(sessions_, kModelStart, now());
        return true;
    }

    // Of the route of the caller, whatever the procedure takes it for.
    static bool isStream(const ModelConnection &connection)
    {
        return routeOf(connection.route).kind == RouteKind::Stream;
    }

    [[nodiscard]] bool isExcused(const ModelConnection &connection) const
    {
        return connection.hasBegunStream && !isExitEarly_
               && connection.startedStreams * sessions_.bounds.parts <= connection.excusedParts;
    }

    // The handlers that were queued when the timer ran last have run: the io_context runs them in
    // order.
    bool stepStop()
    {
        const bool isAhead = std::any_of(
                sessions_.connections.begin(), sessions_.connections.end(),
                [](const ModelConnection &connection) { return connection.isAheadOfStep; });
        if (!isStopping_ || isAhead || exitOrderedAt_)
            return false;
        for (ModelConnection &connection : sessions_.connections)
            connection.isAheadOfStep =
                    connection.stage == ModelStage::Accepted || connection.parsePosted;
        hasStepped_ = true;
        if (procedure_.step(sessions_, now())) {
            exitOrderedAt_ = ticks_;
            isExitEarly_ = now() < kModelStart + kModelLimits.exitPeriod;
        }
        return true;
    }

    bool exit()
    {
        if (!exitOrderedAt_)
            return false;
        hasExited_ = true;
        for (const ModelConnection &connection : sessions_.connections)
            checkAtExit(connection);
        return true;
    }

    void checkAtExit(const ModelConnection &connection)
    {
        const bool isOpen = connection.stage == ModelStage::Open;
        const bool isWaiting =
                connection.stage == ModelStage::Waiting || connection.stage == ModelStage::Accepted;
        if (isOpen && isExcused(connection))
            return;
        if (isOpen && connection.requestActive)
            sessions_.violation = connection.hasBegunStream ? StopViolation::StreamCut
                                                            : StopViolation::RequestCut;
        else if (isExitEarly_ && isOpen && connection.unsentAnswers != 0)
            sessions_.violation = StopViolation::AnswerCut;
        else if (isExitEarly_ && connection.hasUnreadRequest())
            sessions_.violation = StopViolation::UnreadAtExit;
        else if (isExitEarly_ && isWaiting)
            sessions_.violation = StopViolation::WaitingAtExit;
    }

    bool passTime()
    {
        const bool mustExit = exitOrderedAt_ && ticks_ >= *exitOrderedAt_ + kExitLagTicks;
        const bool mustStep =
                isStopping_ ? !hasStepped_ && !exitOrderedAt_ : ticks_ >= kSignalLagTicks;
        if (!isSignalled_ || mustExit || mustStep)
            return false;
        ++ticks_;
        hasStepped_ = false;
        for (ModelConnection &connection : sessions_.connections) {
            if (ticks_ == kExcusedTicks && isStream(connection))
                connection.excusedParts = connection.sentParts;
            if (connection.stage == ModelStage::Open)
                connection.quietTicks = std::min<std::uint8_t>(connection.quietTicks + 1,
                                                               std::max(kQuietTicks, kCloseTicks));
        }
        if (!exitOrderedAt_ && ticks_ * kModelTick > kModelLimits.exitPeriod)
            sessions_.violation = StopViolation::LateExit;
        return true;
    }

    ModelSessions sessions_;
    Procedure procedure_;
    std::uint8_t ticks_ = 0; // since the signal
    bool isSignalled_ = false;
    bool isStopping_ = false; // the traffic thread knows of the signal
    bool hasStepped_ = false; // the stop's timer ran in this tick
    std::optional<std::uint8_t> exitOrderedAt_;
    bool isExitEarly_ = false; // ordered before the end of the exit period
    bool hasExited_ = false;
};

} // namespace fireflyroute::core

#endif

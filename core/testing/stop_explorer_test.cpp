// Explores all interleavings of callers, kernel, threads and time in a planned stop, within bounds
// on the number of connections and requests (stop_model.h). Breadth first, so that the trace of a
// violation is one of the shortest. --log_level=message prints the numbers of states and the
// traces.

#define BOOST_TEST_MODULE stop_explorer
#include "core/testing/stop_model.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

using namespace fireflyroute::core;

namespace {

// The steps of a stop as they were until 596ed68. The timer of the exit ran on the control thread
// and posted its steps to the traffic thread; the delay between them is that of the timer here.
class EarlierStop
{
public:
    static constexpr bool kAwaitsClose = false;

    void begin(ModelSessions & /*sessions*/, Instant signalledAt, Instant /*now*/)
    {
        begunAt_ = signalledAt;
    }

    bool step(ModelSessions &sessions, Instant now)
    {
        if (now - begunAt_ < kModelLimits.announcePeriod)
            return false;
        sessions.announcesEnd = true;
        sessions.closeIdle(0);
        bool isBusy = false;
        for (const ModelConnection &connection : sessions.connections)
            isBusy = isBusy || connection.requestActive || connection.writing;
        return !isBusy || now - begunAt_ >= kModelLimits.exitPeriod;
    }

    [[nodiscard]] bool takesRequest(const Route & /*route*/, Instant now) const
    {
        return begunAt_ == Instant{} || now - begunAt_ < kModelLimits.acceptPeriod;
    }

    [[nodiscard]] std::uint8_t state() const { return begunAt_ == Instant{} ? 0 : 1; }

private:
    Instant begunAt_;
};

// Takes a request for a stream if its route has models, as the traffic plane did until 6c5be05.
class StopByModels : public PlannedStop
{
public:
    void begin(ModelSessions &sessions, Instant signalledAt, Instant now)
    {
        PlannedStop::begin(sessions, signalledAt, now);
        sequence_.begin(signalledAt);
    }

    [[nodiscard]] bool takesRequest(const Route &route, Instant now) const
    {
        return sequence_.takesRequests(now)
               && (route.models.empty() || sequence_.startsStreams(now));
    }

private:
    StopSequence sequence_{kModelLimits};
};

// Measures the times of the stop from when the traffic thread learns of the signal.
class StopByItsOwnStart : public PlannedStop
{
public:
    void begin(ModelSessions &sessions, Instant /*signalledAt*/, Instant now)
    {
        PlannedStop::begin(sessions, now, now);
        lagTicks_ = static_cast<std::uint8_t>((now - kModelStart) / kModelTick);
    }

    [[nodiscard]] std::uint8_t state() const
    {
        return static_cast<std::uint8_t>(PlannedStop::state() + 16 * lagTicks_);
    }

private:
    std::uint8_t lagTicks_ = 0;
};

struct Exploration
{
    std::size_t states = 0;
    std::size_t transitions = 0;
    std::size_t earlyExits = 0;
    std::size_t lateExits = 0; // with the exit period
    std::size_t stuck = 0; // states without a move before the exit
    std::map<StopViolation, std::string> traces; // a shortest one of each kind
};

template<StopProcedure Procedure>
class Explorer
{
public:
    explicit Explorer(const ModelBounds &bounds)
        : bounds_(bounds)
    {}

    Exploration run()
    {
        visit(Model(bounds_), kNoNode, {});
        while (!frontier_.empty()) {
            const Pending pending = frontier_.front();
            frontier_.pop_front();
            expand(pending);
        }
        result_.states = nodes_.size();
        return result_;
    }

private:
    using Model = StopModel<Procedure>;
    using Move = typename Model::Move;

    static constexpr std::uint32_t kNoNode = 0xffffffff;

    struct Node
    {
        std::uint32_t parent;
        Move move;
    };

    struct Pending
    {
        Model model;
        std::uint32_t node;
    };

    void expand(const Pending &pending)
    {
        if (pending.model.hasExited()) {
            ++(pending.model.isExitEarly() ? result_.earlyExits : result_.lateExits);
            return;
        }
        bool canMove = false;
        for (const auto &row : EnumNames<StopMove>::table) {
            const std::uint8_t count = Model::concernsConnection(row.value) ? bounds_.callers : 1;
            for (std::uint8_t connection = 0; connection < count; ++connection) {
                const Move move{row.value, connection};
                Model next = pending.model;
                if (!next.perform(move))
                    continue;
                canMove = true;
                ++result_.transitions;
                visit(next, pending.node, move);
            }
        }
        result_.stuck += canMove ? 0 : 1;
    }

    // A state that violates an invariant is not explored further.
    void visit(const Model &model, std::uint32_t parent, const Move &move)
    {
        if (const auto violation = model.violation()) {
            if (!result_.traces.contains(*violation))
                result_.traces.emplace(*violation, traceOf(parent, move));
            return;
        }
        if (!visited_.insert(hashOf(model.key())).second)
            return;
        nodes_.push_back({parent, move});
        frontier_.push_back({model, static_cast<std::uint32_t>(nodes_.size() - 1)});
    }

    // Two of n states share a hash, and one of them is missed, with a probability of n^2 / 2^65.
    static std::uint64_t hashOf(const typename Model::Key &key)
    {
        static_assert(std::has_unique_object_representations_v<typename Model::Key>);
        std::array<std::uint64_t, sizeof(key) / sizeof(std::uint64_t)> words{};
        static_assert(sizeof(words) == sizeof(key));
        std::memcpy(words.data(), &key, sizeof(key));
        std::uint64_t hash = 0x9e3779b97f4a7c15;
        for (const std::uint64_t word : words) {
            hash ^= word;
            hash *= 0xff51afd7ed558ccd;
            hash ^= hash >> 32U;
            hash *= 0xc4ceb9fe1a85ec53;
            hash ^= hash >> 29U;
        }
        return hash;
    }

    [[nodiscard]] std::string traceOf(std::uint32_t parent, const Move &last) const
    {
        std::vector<Move> moves{last};
        for (std::uint32_t node = parent; nodes_[node].parent != kNoNode;
             node = nodes_[node].parent)
            moves.push_back(nodes_[node].move);
        std::string text;
        for (std::size_t i = moves.size(); i > 0; --i) {
            const Move &move = moves[i - 1];
            text += "\n  ";
            if (Model::concernsConnection(move.kind))
                text += "connection " + std::to_string(move.connection) + ": ";
            text += nameOf(move.kind);
        }
        return text;
    }

    const ModelBounds bounds_;
    Exploration result_;
    std::vector<Node> nodes_;
    std::deque<Pending> frontier_;
    std::unordered_set<std::uint64_t> visited_;
};

template<StopProcedure Procedure>
Exploration explore(std::string_view name, const ModelBounds &bounds)
{
    Exploration result = Explorer<Procedure>(bounds).run();
    BOOST_TEST_MESSAGE(name << ", " << +bounds.callers << " callers, " << +bounds.requests
                            << " requests of " << +bounds.parts << " parts each"
                            << (bounds.isPipelining ? ", pipelined" : "") << ": " << result.states
                            << " states, " << result.transitions << " transitions, "
                            << result.earlyExits << " early exits, " << result.lateExits
                            << " exits with the exit period");
    for (const auto &[violation, trace] : result.traces)
        BOOST_TEST_MESSAGE(nameOf(violation) << ":" << trace);
    return result;
}

constexpr std::array kRoutes{ModelRoute::Call, ModelRoute::CallWithModels, ModelRoute::Stream,
                             ModelRoute::StreamWithModels};

// Two callers of the given routes.
ModelBounds boundsOf(ModelRoute first, ModelRoute second)
{
    return {.callers = 2,
            .requests = 2,
            .parts = 1,
            .isPipelining = false,
            .routes = {first, second}};
}

// The bounds are exhausted, with both kinds of exit and without a state that can't move on.
void checkHolds(const ModelBounds &bounds)
{
    const Exploration result = explore<PlannedStop>("planned stop", bounds);
    for (const auto &[violation, trace] : result.traces)
        BOOST_ERROR(nameOf(violation) << ":" << trace);
    BOOST_TEST(result.earlyExits > 0U);
    BOOST_TEST(result.lateExits > 0U);
    BOOST_TEST(result.stuck == 0U);
}

} // namespace

// Guards against a stop that loses a request of a caller that keeps its connection.
BOOST_AUTO_TEST_CASE(stop_loses_no_request_on_kept_connections)
{
    checkHolds({.callers = 2, .requests = 2, .parts = 1, .isPipelining = false, .routes = {}});
}

// Guards against a stop that loses a request on one connection while it decides about others.
BOOST_AUTO_TEST_CASE(stop_loses_no_request_on_several_connections)
{
    checkHolds({.callers = 3, .requests = 1, .parts = 1, .isPipelining = false, .routes = {}});
}

// Guards against a stop that loses requests that have arrived in part.
BOOST_AUTO_TEST_CASE(stop_loses_no_request_that_arrives_in_parts)
{
    checkHolds({.callers = 2, .requests = 2, .parts = 2, .isPipelining = false, .routes = {}});
}

// Guards against a stop that passes on a request whose answer can't be received any more.
BOOST_AUTO_TEST_CASE(stop_loses_no_pipelined_request)
{
    checkHolds({.callers = 2, .requests = 2, .parts = 1, .isPipelining = true, .routes = {}});
}

// Guards against a stop that passes a request on late and cuts it, whether its route is one of
// streams or of calls, and whether its service has models or not.
BOOST_AUTO_TEST_CASE(stop_loses_no_request_of_any_kind)
{
    for (const ModelRoute route : kRoutes)
        checkHolds(boundsOf(route, route));
}

// Guards against a stop in which a stream in progress, which holds up the end of the announcement,
// costs a request of another kind.
BOOST_AUTO_TEST_CASE(stop_loses_no_request_beside_one_of_another_kind)
{
    for (const ModelRoute stream : {ModelRoute::Stream, ModelRoute::StreamWithModels}) {
        for (const ModelRoute call : {ModelRoute::Call, ModelRoute::CallWithModels})
            checkHolds(boundsOf(stream, call));
    }
}

// The same in wider bounds, by hand: STOP_EXPLORER=wide
BOOST_AUTO_TEST_CASE(stop_loses_no_request_in_wide_bounds)
{
    const char *bounds = std::getenv("STOP_EXPLORER");
    if (!bounds || std::string_view(bounds) != "wide") {
        BOOST_TEST_MESSAGE("run by hand only");
        return;
    }
    checkHolds({.callers = 3, .requests = 2, .parts = 1, .isPipelining = false, .routes = {}});
    checkHolds({.callers = 3, .requests = 1, .parts = 2, .isPipelining = false, .routes = {}});
    checkHolds({.callers = 2, .requests = 2, .parts = 2, .isPipelining = true, .routes = {}});
}

// Guards against a model that can't tell the kind of a route from the models of its service.
BOOST_AUTO_TEST_CASE(stop_by_models_is_found_to_cut_streams_without_models)
{
    const auto isCut = [](ModelRoute route) {
        return explore<StopByModels>("stop by models", boundsOf(route, route))
                .traces.contains(StopViolation::StreamCut);
    };
    BOOST_TEST(isCut(ModelRoute::Stream));
    BOOST_TEST(!isCut(ModelRoute::StreamWithModels));
}

// Guards against a model in which the thread of the sessions always learns of the signal at once.
// The late exit is the first violation: streams are taken as much later.
BOOST_AUTO_TEST_CASE(stop_by_its_own_start_is_found_to_exit_late)
{
    const Exploration result = explore<StopByItsOwnStart>(
            "stop by its own start", boundsOf(ModelRoute::Stream, ModelRoute::Stream));
    BOOST_TEST(result.traces.contains(StopViolation::LateExit));
}

// Guards against a model in which nothing can go wrong: the earlier procedure breaks the invariants
// as it did with real processes.
BOOST_AUTO_TEST_CASE(earlier_stop_is_found_to_lose_requests)
{
    const Exploration result = explore<EarlierStop>(
            "earlier stop",
            {.callers = 2, .requests = 2, .parts = 1, .isPipelining = false, .routes = {}});
    BOOST_TEST(result.traces.contains(StopViolation::RequestCut));
    BOOST_TEST(result.traces.contains(StopViolation::UnreadAtExit));
    BOOST_TEST(result.traces.contains(StopViolation::WaitingAtExit));
}

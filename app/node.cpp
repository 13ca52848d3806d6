// Wires up the components of a process and routes the requests of its HTTP listener.

#include "app/node.h"

#include "app/caller_api.h"
#include "app/control_rpc.h"
#include "app/entry_control.h"
#include "app/operator_api.h"
#include "app/request_session.h"
#include "net/digest.h"
#include "net/endpoint_json.h"
#include "net/json_fields.h"
#include "net/problem_json.h"
#include "net/text_json.h"
#include "net/usage_json.h"

#include <fmt/format.h>
#include <random>
#include <thread>

namespace fireflyroute::app {

namespace {

constexpr std::size_t kRpcThreads = 16;
constexpr std::size_t kOperatorThreads = 4;
constexpr std::chrono::milliseconds kSessionTickPeriod{100};
constexpr std::chrono::milliseconds kDrainPollPeriod{50};
constexpr std::chrono::milliseconds kLeadershipTransferTime{300};
constexpr std::chrono::seconds kDrainTimeout{60};
constexpr int kHttpUnavailable = 503;

// Derived from the wall clock: a later start of the same VM gets a larger number as long as the
// clock advances.
core::Incarnation newIncarnation(const SystemClock &clock)
{
    return core::Incarnation(
            static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()));
}

} // namespace

class Node::Impl
{
public:
    explicit Impl(const ServeSettings &settings)
        : settings_(settings)
        , incarnation_(newIncarnation(clock_))
        , events_(clock_, settings.vm, incarnation_)
        , loop_(clock_)
        , rpc_(settings.clusterSecret, kRpcThreads)
        , operatorRpc_(settings.operatorToken, kOperatorThreads)
        , link_(std::make_shared<ControlLink>(settings.controlAddresses(), settings.clusterSecret))
        , admission_(clock_, settings.vm, incarnation_)
        , traffic_{clock_,
                   views_,
                   events_,
                   std::make_shared<LedgerWriter>(clock_, loop_, link_, settings.vm, incarnation_),
                   settings.vm,
                   incarnation_,
                   admission_,
                   EntryPolicy(core::FleetPolicy(std::minstd_rand(std::random_device()()))),
                   {},
                   {},
                   {}}
        , callerApi_(traffic_)
        , operatorApi_(clock_, link_, views_, events_, settings.controlAddresses(), settings.listen,
                       settings.clusterSecret)
        , listener_(settings.listen, {},
                    [this](std::shared_ptr<net::HttpExchange> exchange) { route(exchange); })
    {}

    Result<void> start()
    {
        addEventMethod(rpc_, events_);
        if (settings_.has(Role::Control)) {
            BOOST_OUTCOME_TRYV(startControl());
        }
        if (settings_.has(Role::Entry))
            startEntry();
        const net::Result<void> opened = listener_.open();
        if (!opened)
            return fromNet(opened.error());
        core::Event event;
        event.kind = core::EventKind::ProcessStarted;
        event.detail = settings_.listen;
        events_.record(std::move(event));
        loop_.start();
        fmt::print(stderr, "fireflyroute: {} serves on {}\n", settings_.vm.value(),
                   settings_.listen);
        return core::outcome::success();
    }

    void shutDown()
    {
        core::Event event;
        event.kind = core::EventKind::ProcessStopping;
        events_.record(std::move(event));
        if (entry_) {
            loop_.post([this] { entry_->drain(); });
            waitForRequests();
        }
        if (control_)
            transferLeadership();
        listener_.close();
        loop_.stop();
        fmt::print(stderr, "fireflyroute: {} stopped\n", settings_.vm.value());
    }

private:
    Result<void> startControl()
    {
        BOOST_OUTCOME_TRY(control, ControlVm::open(settings_, clock_, loop_, events_));
        control_ = std::move(control);
        loop_.afterBatch([this] { control_->commitBatch(); });
        addControlMethods(rpc_, loop_, *control_);
        return core::outcome::success();
    }

    void startEntry()
    {
        const core::VmAddress self{settings_.vm, incarnation_, settings_.listen,
                                   settings_.dataCentre};
        entry_ = std::make_unique<EntryControl>(self, settings_.clusterSecret, clock_, loop_, link_,
                                                views_, admission_, events_);
        entry_->start();
        loop_.runEvery(kSessionTickPeriod, [this] {
            admission_.tick();
            tickSessions();
        });
        rpc_.add("usage", [this](const Json::Value &message) { return handleUsage(message); });
        operatorApi_.addMethods(operatorRpc_);
        rpc_.add("announcements", [this](const Json::Value &message) {
            return handleForwardedAnnouncements(message);
        });
    }

    void tickSessions()
    {
        for (const std::shared_ptr<RequestSession> &session : traffic_.sessions.activeSessions()) {
            net::runOnTrafficThread([session] { session->post(core::DeadlineTick{}); });
        }
    }

    void waitForRequests()
    {
        const core::Instant deadline = clock_.now() + kDrainTimeout;
        while (!traffic_.sessions.activeSessions().empty() && clock_.now() < deadline)
            std::this_thread::sleep_for(kDrainPollPeriod);
    }

    // Transfers leadership and waits so that another control VM can take over.
    void transferLeadership()
    {
        loop_.post([this] { control_->transferLeadership(); });
        std::this_thread::sleep_for(kLeadershipTransferTime);
    }

    void route(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const std::string &path = exchange->request().path;
        if (path == "/healthz")
            exchange->reply(net::HttpResponse{200, "text/plain", {}, "ok\n"});
        else if (path == "/rpc")
            rpc_.handle(exchange);
        else if (entry_ && path == "/readyz")
            replyReadiness(exchange);
        else if (entry_ && path == "/operator")
            operatorRpc_.handle(exchange);
        else if (entry_ && path == "/announce")
            handleAnnouncement(exchange);
        else if (entry_ && path == "/metrics")
            exchange->reply(net::HttpResponse{
                    200, "text/plain; version=0.0.4", {}, traffic_.counters.exposition()});
        else if (entry_ && CallerApi::handles(path))
            callerApi_.handle(exchange);
        else
            exchange->reply(net::problemResponse({core::CoreError::NotFound, "path: " + path},
                                                 core::Executed::No));
    }

    void replyReadiness(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const std::shared_ptr<const RoutingView> view = views_.get();
        const bool ready = !view->draining && isDispatchAllowed(*view);
        exchange->reply(net::HttpResponse{ready ? 200 : kHttpUnavailable,
                                          "text/plain",
                                          {},
                                          ready ? "ready\n" : "not ready\n"});
    }

    [[nodiscard]] bool isDispatchAllowed(const RoutingView &view) const
    {
        const core::ClockReading now{clock_.now(), clock_.wallNow()};
        return view.permit.check(view.config->revision, now) == core::DispatchCheck::Allowed;
    }

    // Handles an announcement sent directly by an endpoint.
    void handleAnnouncement(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const std::string authorization =
                net::headerValue(exchange->request().headers, "Authorization");
        const bool isAuthorized =
                settings_.clusterSecret.empty()
                || net::equalSecrets(authorization, "Bearer " + settings_.clusterSecret);
        if (!isAuthorized) {
            exchange->reply(net::problemResponse(
                    {core::CoreError::UnknownAccount, "Authorization: not valid here"},
                    core::Executed::No));
            return;
        }
        const net::Result<Json::Value> json = net::parseJson(exchange->request().body);
        if (!json) {
            exchange->reply(net::malformedResponse(json.error()));
            return;
        }
        net::Result<core::EndpointAnnouncement> parsed = net::readAnnouncement(json.value(), "");
        if (!parsed) {
            exchange->reply(net::malformedResponse(parsed.error()));
            return;
        }
        loop_.post([this, announcement = std::move(parsed.value())] {
            entry_->handleAnnouncement(announcement, core::Duration(0), true);
        });
        exchange->reply(net::HttpResponse{200, "application/json", {}, "{}"});
    }

    // Handles announcements that another entry received and forwarded.
    Json::Value handleForwardedAnnouncements(const Json::Value &message)
    {
        for (const Json::Value &item : message["announcements"]) {
            net::FieldReader reader(item, "announcements");
            const auto age = reader.milliseconds("age_ms", std::chrono::milliseconds(0));
            const auto parsed =
                    net::readAnnouncement(reader.object("announcement"), "announcement");
            if (!parsed || !reader.finish())
                continue;
            loop_.post([this, announcement = parsed.value(), age] {
                entry_->handleAnnouncement(announcement, age, false);
            });
        }
        return Json::Value(Json::objectValue);
    }

    // Handles the usage of client accounts on another entry. The transport delay is not measured,
    // so its age counts as zero.
    Json::Value handleUsage(const Json::Value &message)
    {
        const auto report = net::readUsageReport(message, "usage");
        if (report)
            admission_.receive(report.value(), core::Duration(0));
        return Json::Value(Json::objectValue);
    }

    const ServeSettings settings_;
    const SystemClock clock_{};
    const core::Incarnation incarnation_;
    EventRecorder events_;
    ViewHolder views_;
    ControlLoop loop_;
    RpcService rpc_;
    RpcService operatorRpc_;
    std::shared_ptr<ControlLink> link_;
    std::unique_ptr<ControlVm> control_; // null without the control role
    std::unique_ptr<EntryControl> entry_; // null without the entry role
    AdmissionGate admission_;
    TrafficContext traffic_;
    CallerApi callerApi_;
    OperatorApi operatorApi_;
    net::HttpListener listener_;
};

Node::Node(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::start(const ServeSettings &settings)
{
    net::startTrafficThreads(settings.trafficThreads);
    auto impl = std::make_unique<Impl>(settings);
    BOOST_OUTCOME_TRYV(impl->start());
    return std::unique_ptr<Node>(new Node(std::move(impl)));
}

void Node::shutDown()
{
    impl_->shutDown();
}

} // namespace fireflyroute::app

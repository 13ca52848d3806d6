// Handles calls of operators.

#include "app/operator_api.h"

#include "net/endpoint_json.h"
#include "net/event_json.h"

#include <chrono>
#include <future>
#include <set>
#include <stdexcept>
#include <thread>

namespace fireflyroute::app {

namespace {

// How long a call is retried at the control VMs before the operator receives an error that there is
// no leader. Long enough for an election.
constexpr std::chrono::milliseconds kForwardTimeout{3500};
constexpr std::chrono::milliseconds kForwardRetryPeriod{100};

// Whether the reply is from a control VM that is not the leader.
bool isFromFollower(const Json::Value &reply)
{
    return reply.isObject() && !reply.isMember("reply")
           && !reply.get("problem", "").asString().empty();
}

Json::Value eventsJson(const std::vector<core::Event> &events)
{
    Json::Value json;
    json["events"] = Json::Value(Json::arrayValue);
    for (const core::Event &event : events)
        json["events"].append(net::toJson(event));
    return json;
}

std::vector<core::Event> readEvents(const Json::Value &json)
{
    std::vector<core::Event> events;
    for (const Json::Value &item : json["events"]) {
        net::Result<core::Event> event = net::readEvent(item, "events");
        if (event)
            events.push_back(std::move(event.value()));
    }
    return events;
}

net::Result<Json::Value> callAndWait(const std::function<void(net::RpcPeer::ReplyHandler)> &call)
{
    auto promise = std::make_shared<std::promise<net::Result<Json::Value>>>();
    std::future<net::Result<Json::Value>> future = promise->get_future();
    call([promise](net::Result<Json::Value> reply) { promise->set_value(std::move(reply)); });
    return future.get();
}

} // namespace

OperatorApi::OperatorApi(const SystemClock &clock, std::shared_ptr<ControlLink> link,
                         const ViewHolder &views, EventRecorder &events,
                         std::vector<std::string> controlAddresses, std::string self,
                         std::string secret)
    : clock_(clock)
    , link_(std::move(link))
    , views_(views)
    , events_(events)
    , controlAddresses_(std::move(controlAddresses))
    , ownAddress_(std::move(self))
    , secret_(std::move(secret))
{}

void OperatorApi::addMethods(RpcService &service)
{
    for (const char *method : {"submit", "state", "history", "records"}) {
        service.add(method, [this, method](const Json::Value &parameters) {
            return forward(method, parameters);
        });
    }
    service.add("timeline", [this](const Json::Value &) { return timeline(); });
    service.add("endpoints", [this](const Json::Value &) { return endpoints(); });
}

Json::Value OperatorApi::forward(const std::string &method, const Json::Value &parameters)
{
    const core::Instant deadline = clock_.now() + kForwardTimeout;
    std::string problem;
    while (clock_.now() < deadline) {
        const net::Result<Json::Value> reply = callAndWait([&](net::RpcPeer::ReplyHandler handler) {
            link_->call(method, parameters, std::move(handler));
        });
        if (reply && !isFromFollower(reply.value()))
            return reply.value();
        problem = reply ? reply.value()["problem"].asString() : reply.error().detail;
        std::this_thread::sleep_for(kForwardRetryPeriod);
    }
    throw std::runtime_error("control VMs: " + problem);
}

Json::Value OperatorApi::timeline()
{
    std::set<std::string> addresses(controlAddresses_.begin(), controlAddresses_.end());
    for (const core::VmAddress &entry : views_.get()->entries)
        addresses.insert(entry.address);
    addresses.erase(ownAddress_);
    std::vector<std::vector<core::Event>> logs{events_.select({})};
    Json::Value unreachable(Json::arrayValue);
    for (const std::string &address : addresses) {
        net::RpcPeer peer(address, ControlLink::kCallTimeout, secret_);
        const net::Result<Json::Value> reply = callAndWait([&](net::RpcPeer::ReplyHandler handler) {
            peer.call("events", Json::Value(Json::objectValue), std::move(handler));
        });
        if (reply)
            logs.push_back(readEvents(reply.value()));
        else
            unreachable.append(address);
    }
    Json::Value json = eventsJson(core::mergeEvents(logs));
    json["unreachable"] = unreachable;
    return json;
}

Json::Value OperatorApi::endpoints() const
{
    Json::Value json;
    json["endpoints"] = Json::Value(Json::arrayValue);
    for (const core::EndpointState &state : views_.get()->directory->endpoints)
        json["endpoints"].append(net::toJson(state.lastAnnouncement));
    return json;
}

void addEventMethod(RpcService &service, EventRecorder &events)
{
    service.add("events", [&events](const Json::Value &) { return eventsJson(events.select({})); });
}

} // namespace fireflyroute::app

// A stand-in for a plain service such as a refund ledger. It announces itself, counts the
// executions of each call by method, path and idempotency key, and simulates failures on request.
// It does not deduplicate calls, so that tests detect a call that was executed twice.

#include "net/http_listener.h"
#include "net/text_json.h"
#include "testing/stand_in.h"

#include <cstdlib>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <mutex>

DEFINE_string(listen, "http://127.0.0.1:9101", "Address to listen on");
DEFINE_string(entries, "http://127.0.0.1:8080",
              "Addresses of the entries that receive announcements, separated by commas");
DEFINE_string(id, "service-1", "Name of the endpoint");
DEFINE_string(service, "refunds", "Name of the service");
DEFINE_string(data_centre, "local", "Data centre");
DEFINE_string(secret_file, "", "File that contains the secret for announcements");

namespace fireflyroute::testing {

namespace {

// Simulated faults; set by POST /fault.
struct Faults
{
    bool refuse = false; // responds with 503 without executing the call
    bool neverRespond = false; // executes the call and never responds
    bool crash = false; // executes the call and exits the process
    bool closeEarly = false; // executes the call and closes the connection without a response
    bool leaving = false;
};

class Service
{
public:
    void handle(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const net::HttpRequest &request = exchange->request();
        if (request.path == "/fault")
            setFaults(exchange);
        else if (request.path == "/runs")
            replyRuns(exchange);
        else
            runCall(exchange);
    }

    core::EndpointAnnouncement describe()
    {
        core::EndpointAnnouncement announcement;
        announcement.id = core::EndpointId(FLAGS_id);
        announcement.address = FLAGS_listen;
        announcement.dataCentre = core::DataCentreId(FLAGS_data_centre);
        announcement.services = {core::ServiceName(FLAGS_service)};
        const std::scoped_lock lock(mutex_);
        announcement.phase =
                faults_.leaving ? core::EndpointPhase::Leaving : core::EndpointPhase::Ready;
        return announcement;
    }

private:
    void setFaults(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const auto parsed = net::parseJson(exchange->request().body);
        if (!parsed) {
            exchange->reply(net::HttpResponse{400, "text/plain", {}, parsed.error().detail});
            return;
        }
        const Json::Value &json = parsed.value();
        const std::scoped_lock lock(mutex_);
        faults_.refuse = json.get("refuse", false).asBool();
        faults_.neverRespond = json.get("silent", false).asBool();
        faults_.crash = json.get("crash", false).asBool();
        faults_.closeEarly = json.get("close_early", false).asBool();
        faults_.leaving = json.get("leaving", false).asBool();
        exchange->reply(net::HttpResponse{200, "application/json", {}, "{}"});
    }

    void replyRuns(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        Json::Value json(Json::objectValue);
        const std::scoped_lock lock(mutex_);
        for (const auto &[key, count] : runs_)
            json[key] = Json::UInt64(count);
        exchange->reply(net::HttpResponse{200, "application/json", {}, net::writeJson(json)});
    }

    void runCall(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const net::HttpRequest &request = exchange->request();
        const std::scoped_lock lock(mutex_);
        if (faults_.refuse) {
            exchange->reply(net::HttpResponse{503, "text/plain", {}, "refused"});
            return;
        }
        const std::string key = net::headerValue(request.headers, "Idempotency-Key");
        const std::uint64_t run = ++runs_[request.method + " " + request.path + " " + key];
        if (faults_.crash)
            std::_Exit(139);
        if (faults_.neverRespond) {
            unansweredExchanges_.push_back(exchange);
            return;
        }
        if (faults_.closeEarly) {
            exchange->beginStream(net::HttpResponse{200, "application/json", {}, ""});
            exchange->abortStream();
            return;
        }
        Json::Value json;
        json["service"] = FLAGS_service;
        json["path"] = request.path;
        json["run"] = Json::UInt64(run);
        exchange->reply(net::HttpResponse{200, "application/json", {}, net::writeJson(json)});
    }

    std::mutex mutex_; // guards the fields below
    Faults faults_;
    std::map<std::string, std::uint64_t> runs_;
    // Exchanges that never get a response (Faults::neverRespond). Kept open until the process
    // exits.
    std::vector<std::shared_ptr<net::HttpExchange>> unansweredExchanges_;
};

int run()
{
    initStandIn();
    Service service;
    Announcer announcer(splitList(FLAGS_entries), readSecretFile(FLAGS_secret_file),
                        [&service] { return service.describe(); });
    const auto handler = [&service](const auto &exchange) { service.handle(exchange); };
    return serveStandIn(FLAGS_listen, handler, announcer);
}

} // namespace

} // namespace fireflyroute::testing

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return fireflyroute::testing::run();
}

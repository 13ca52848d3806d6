// Starts requests at their planned times and collects their outcomes.

#include "app/load_run.h"

#include "app/system_clock.h"
#include "net/http_client.h"
#include "net/text_json.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace fireflyroute::app {

namespace {

constexpr int kHttpOk = 200;
constexpr std::string_view kStreamEnd = "data: [DONE]";
constexpr std::string_view kDataPrefix = "data: ";

// Collects samples from the threads of the HTTP client.
class Collector
{
public:
    void add(const LoadSample &sample)
    {
        const std::scoped_lock lock(mutex_);
        report_.add(sample);
        ++completed_;
        changed_.notify_all();
    }

    LoadReport waitFor(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return completed_ == count; });
        return report_;
    }

private:
    std::mutex mutex_; // guards the fields below
    std::condition_variable changed_;
    LoadReport report_;
    std::size_t completed_ = 0;
};

// State of one running request. The client never runs its callbacks concurrently.
struct Exchange
{
    core::Rank rank = core::Rank::Normal;
    core::Instant plannedStart;
    std::optional<core::Instant> firstToken;
    bool complete = false;
};

std::string bodyOf(const core::LoadKind &kind, std::size_t number)
{
    std::string content = "load " + std::to_string(number);
    for (std::uint32_t i = 0; i < kind.promptWords; ++i)
        content += " word";
    Json::Value message;
    message["role"] = "user";
    message["content"] = content;
    Json::Value body;
    body["model"] = kind.model;
    body["messages"].append(message);
    body["stream"] = true;
    body["max_tokens"] = Json::UInt(kind.maxTokens);
    return net::writeJson(body);
}

net::HttpCall callOf(const LoadSetup &setup, const core::LoadRequest &request, std::size_t number)
{
    const core::LoadKind &kind = setup.profile.kinds[request.kind];
    net::HttpCall call;
    call.method = "POST";
    call.path = "/v1/chat/completions";
    call.body = bodyOf(kind, number);
    call.headers.push_back({"Authorization", "Bearer " + tokenOf(setup, kind.account)});
    call.headers.push_back({"Fireflyroute-Rank", std::string(core::nameOf(kind.rank))});
    if (!kind.task.empty())
        call.headers.push_back({"Fireflyroute-Task", kind.task.value()});
    if (!request.session.empty())
        call.headers.push_back({"Fireflyroute-Session", request.session.value()});
    return call;
}

LoadOutcome outcomeOf(const Exchange &exchange, const net::Result<net::HttpResponse> &response)
{
    if (response && response.value().status != kHttpOk)
        return LoadOutcome::Refused;
    if (exchange.complete)
        return LoadOutcome::Answered;
    return exchange.firstToken || response ? LoadOutcome::Truncated : LoadOutcome::Unreachable;
}

void start(net::HttpClient &client, const net::HttpCall &call,
           const std::shared_ptr<Exchange> &exchange, Collector &collector)
{
    client.stream(
            call,
            [exchange](const std::string &line) {
                if (line.starts_with(kStreamEnd))
                    exchange->complete = true;
                else if (line.starts_with(kDataPrefix) && !exchange->firstToken)
                    exchange->firstToken = SystemClock().now();
            },
            [exchange, &collector](const net::Result<net::HttpResponse> &response) {
                const core::Instant now = SystemClock().now();
                collector.add(
                        LoadSample{exchange->rank, outcomeOf(*exchange, response),
                                   exchange->firstToken.value_or(now) - exchange->plannedStart,
                                   now - exchange->plannedStart});
            });
}

} // namespace

LoadReport runLoad(const LoadSetup &setup, const std::string &entry,
                   std::chrono::milliseconds timeout)
{
    const SystemClock clock;
    Collector collector;
    net::HttpClient client;
    const std::vector<core::LoadRequest> plan = core::planLoad(setup.profile);
    const core::Instant startedAt = clock.now();
    for (std::size_t number = 0; number < plan.size(); ++number) {
        const core::LoadRequest &request = plan[number];
        net::HttpCall call = callOf(setup, request, number);
        call.address = entry;
        call.timeout = timeout;
        const auto exchange = std::make_shared<Exchange>();
        exchange->rank = setup.profile.kinds[request.kind].rank;
        exchange->plannedStart = startedAt + request.at;
        std::this_thread::sleep_for(exchange->plannedStart - clock.now());
        start(client, call, exchange, collector);
    }
    return collector.waitFor(plan.size());
}

} // namespace fireflyroute::app

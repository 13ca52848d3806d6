// Calls of operator commands to the control VMs of a site, and the list of evacuations.

#include "app/command_evacuation.h"

#include "app/system_clock.h"
#include "net/http_client.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <thread>

namespace fireflyroute::app {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTemporaryRedirect = 307;
constexpr int kFirstServerError = 500;
constexpr std::chrono::milliseconds kRetryPeriod{100};
constexpr std::string_view kScheme = "http://";

// The address in a URL, "http://IP:PORT".
std::string addressOf(const std::string &url)
{
    return url.substr(0, url.find('/', kScheme.size()));
}

} // namespace

bool isEvacuationCommand(const std::vector<std::string> &words)
{
    return words.size() == 2 && words[0] == "evacuation"
           && (words[1] == "start" || words[1] == "finish" || words[1] == "list");
}

Result<std::string> callControlVm(const CommandSettings &settings,
                                  const net::HttpRequestMessage &message)
{
    const SystemClock clock;
    const core::Instant deadline = clock.now() + settings.timeout;
    net::HttpClient client;
    net::HttpCall call;
    call.address = settings.server;
    call.method = message.method;
    call.path = message.target;
    call.timeout = settings.timeout;
    call.useNewConnection = true;
    std::string problem;
    do {
        const net::Result<net::HttpResponse> answer = client.sendAndWait(call);
        const int status = answer ? answer.value().status : 0;
        if (status == kStatusOk)
            return answer.value().body;
        const std::string target =
                answer ? net::headerValue(answer.value().headers, "Location") : std::string();
        if (status == kStatusTemporaryRedirect && target.starts_with(kScheme)) {
            call.address = addressOf(target);
            problem = "redirected to " + call.address;
        } else if (answer && status < kFirstServerError) {
            return AppFailure{AppError::Refused, fmt::format("{}: status {} {}", call.address,
                                                             status, answer.value().body)};
        } else {
            problem = call.address + ": " + (answer ? answer.value().body : answer.error().detail);
            call.address = settings.server;
        }
        std::this_thread::sleep_for(kRetryPeriod);
    } while (clock.now() < deadline);
    return AppFailure{AppError::NetworkFailed, problem};
}

void printEvacuations(const CommandSettings &settings, const core::Evacuations &evacuations)
{
    Json::Value json(Json::arrayValue);
    for (const auto &[dataCentre, orderedAtMs] : evacuations) {
        constexpr std::int64_t kMsPerSecond = 1000;
        const auto time = fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                                      fmt::gmtime(std::time_t{orderedAtMs / kMsPerSecond}));
        if (!settings.json)
            fmt::print("{} evacuated since {}\n", dataCentre.value(), time);
        Json::Value item;
        item["data_centre"] = dataCentre.value();
        item["since"] = time;
        item["since_ms"] = static_cast<Json::Int64>(orderedAtMs);
        json.append(std::move(item));
    }
    if (settings.json)
        printJson(json);
    else if (evacuations.empty())
        fmt::print("no data centre is evacuated\n");
}

} // namespace fireflyroute::app

// A stand-in for a model engine. It announces itself, streams tokens in the format of the OpenAI
// API, serves requests by priority with bounded concurrency, resumes at a token offset, and cancels
// a generation when the caller disconnects.
//
// The response to a prompt is deterministic: token i is "wI" followed by a hash of the prompt and
// the version, so that tests distinguish a complete response from a truncated or wrong one. POST
// /fault sets the simulated faults, GET /stats returns counts of the generations.

#include "net/digest.h"
#include "net/http_listener.h"
#include "net/text_json.h"
#include "testing/stand_in.h"

#include <algorithm>
#include <atomic>
#include <boost/algorithm/string/predicate.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <mutex>

DEFINE_string(listen, "http://127.0.0.1:9001", "Address to listen on");
DEFINE_string(entries, "http://127.0.0.1:8080",
              "Addresses of the entries that receive announcements, separated by commas");
DEFINE_string(id, "engine-1", "Name of the endpoint");
DEFINE_string(versions, "small@1", "Served versions as MODEL@VERSION, separated by commas");
DEFINE_string(data_centre, "local", "Data centre");
DEFINE_string(secret_file, "", "File that contains the secret for announcements");
DEFINE_uint32(concurrency, 8, "Maximum number of concurrent requests");
DEFINE_uint32(token_ms, 5, "Time for one token, in milliseconds");
DEFINE_uint32(first_token_ms, 10, "Time before the first token, in milliseconds");
DEFINE_uint32(tokens, 8, "Tokens of a response, unless max_tokens is smaller");

namespace fireflyroute::testing {

namespace {

// Simulated faults; set by POST /fault.
struct Faults
{
    bool refuse = false; // responds to every request with 503
    bool neverRespond = false; // accepts requests and never responds
    bool leaving = false; // announces the phase Leaving
    // Aborts every stream after this number of tokens; 0 means never.
    std::uint32_t abortAfterTokens = 0;
    std::uint32_t stallAfterTokens = 0; // stops sending after this number of tokens; 0 means never
    std::uint32_t firstTokenDelayMs = 0; // additional time before the first token
    std::string crashPromptText; // a prompt that contains this text makes the process exit
};

// Runs functions after a delay, on one thread that sleeps in between.
class Timer
{
public:
    Timer()
        : thread_([this] { run(); })
    {
        thread_.detach();
    }

    void schedule(std::chrono::milliseconds delay, std::function<void()> task)
    {
        const std::scoped_lock lock(mutex_);
        tasks_.emplace(std::chrono::steady_clock::now() + delay, std::move(task));
        wakeUp_.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(mutex_);
        while (true) {
            if (tasks_.empty()) {
                wakeUp_.wait(lock);
                continue;
            }
            const auto due = tasks_.begin()->first;
            if (std::chrono::steady_clock::now() < due) {
                wakeUp_.wait_until(lock, due);
                continue;
            }
            const std::function<void()> task = std::move(tasks_.begin()->second);
            tasks_.erase(tasks_.begin());
            lock.unlock();
            task();
            lock.lock();
        }
    }

    std::mutex mutex_;
    std::condition_variable wakeUp_;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> tasks_;
    std::thread thread_;
};

// One generation, queued or running.
struct Generation
{
    std::shared_ptr<net::HttpExchange> exchange;
    std::string model;
    std::string digest; // digest of prompt and version; part of every token
    bool chat = true;
    int priority = 1;
    std::uint64_t nextToken = 0; // index of the next token
    std::uint64_t totalTokens = 0;
    std::uint64_t promptTokens = 0;
    std::atomic<bool> disconnected = false;
};

class Engine
{
public:
    void handle(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const net::HttpRequest &request = exchange->request();
        if (request.path == "/fault")
            setFaults(exchange);
        else if (request.path == "/stats")
            replyStats(exchange);
        else
            accept(exchange);
    }

    core::EndpointAnnouncement describe()
    {
        core::EndpointAnnouncement announcement;
        announcement.id = core::EndpointId(FLAGS_id);
        announcement.address = FLAGS_listen;
        announcement.dataCentre = core::DataCentreId(FLAGS_data_centre);
        announcement.versions = versions();
        const std::scoped_lock lock(mutex_);
        announcement.phase =
                faults_.leaving ? core::EndpointPhase::Leaving : core::EndpointPhase::Ready;
        announcement.load.running = running_;
        announcement.load.queued = static_cast<std::uint32_t>(queue_.size());
        announcement.load.concurrency = FLAGS_concurrency;
        return announcement;
    }

    void setAnnouncer(Announcer *announcer) { announcer_ = announcer; }

private:
    static std::vector<core::ModelVersion> versions()
    {
        std::vector<core::ModelVersion> parsed;
        for (const std::string &text : splitList(FLAGS_versions)) {
            const std::size_t separator = text.find('@');
            parsed.push_back({core::ModelName(text.substr(0, separator)),
                              core::VersionName(text.substr(separator + 1))});
        }
        return parsed;
    }

    void setFaults(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const auto parsed = net::parseJson(exchange->request().body);
        if (!parsed) {
            exchange->reply(net::HttpResponse{400, "text/plain", {}, parsed.error().detail});
            return;
        }
        const Json::Value &json = parsed.value();
        Faults faults;
        faults.refuse = json.get("refuse", false).asBool();
        faults.neverRespond = json.get("silent", false).asBool();
        faults.leaving = json.get("leaving", false).asBool();
        faults.abortAfterTokens = json.get("break_after", 0).asUInt();
        faults.stallAfterTokens = json.get("stall_after", 0).asUInt();
        faults.firstTokenDelayMs = json.get("lag_ms", 0).asUInt();
        faults.crashPromptText = json.get("crash_on", "").asString();
        {
            const std::scoped_lock lock(mutex_);
            faults_ = faults;
        }
        announcer_->announceNow();
        exchange->reply(net::HttpResponse{200, "application/json", {}, "{}"});
    }

    void replyStats(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        Json::Value json;
        const std::scoped_lock lock(mutex_);
        json["started"] = Json::UInt64(started_);
        json["finished"] = Json::UInt64(finished_);
        json["cancelled"] = Json::UInt64(cancelled_);
        for (const auto &[model, count] : startedByModel_)
            json["by_version"][model] = Json::UInt64(count);
        exchange->reply(net::HttpResponse{200, "application/json", {}, net::writeJson(json)});
    }

    void accept(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const auto parsed = net::parseJson(exchange->request().body);
        const std::scoped_lock lock(mutex_);
        const bool crash =
                !faults_.crashPromptText.empty()
                && boost::algorithm::contains(exchange->request().body, faults_.crashPromptText);
        if (crash)
            std::_Exit(139);
        if (!parsed || !serves(parsed.value()["model"].asString())) {
            exchange->reply(net::HttpResponse{404, "text/plain", {}, "no such model"});
            return;
        }
        if (faults_.refuse) {
            exchange->reply(net::HttpResponse{503, "text/plain", {}, "refused"});
            return;
        }
        if (faults_.neverRespond) {
            unansweredExchanges_.push_back(exchange);
            return;
        }
        queue_.push_back(makeGeneration(exchange, parsed.value()));
        startQueued();
    }

    static bool serves(const std::string &model)
    {
        const std::vector<std::string> all = splitList(FLAGS_versions);
        return std::find(all.begin(), all.end(), model) != all.end();
    }

    static std::shared_ptr<Generation>
    makeGeneration(const std::shared_ptr<net::HttpExchange> &exchange, const Json::Value &body)
    {
        constexpr std::size_t kDigestDigits = 6;
        auto generation = std::make_shared<Generation>();
        generation->exchange = exchange;
        generation->model = body["model"].asString();
        generation->chat = body.isMember("messages");
        const std::string prompt =
                net::writeJson(generation->chat ? body["messages"] : body["prompt"]);
        generation->digest = net::sha256Hex(generation->model + prompt).substr(0, kDigestDigits);
        generation->priority = body.get("priority", 1).asInt();
        generation->nextToken = body.get("resume_offset", 0).asUInt64();
        generation->totalTokens = std::min<std::uint64_t>(
                FLAGS_tokens, body.get("max_tokens", FLAGS_tokens).asUInt64());
        generation->promptTokens = prompt.size() / 4 + 1;
        return generation;
    }

    // Starts queued generations, the smallest priority value first and in order of arrival within
    // one priority. The caller holds mutex_.
    void startQueued()
    {
        while (running_ < FLAGS_concurrency && !queue_.empty()) {
            const auto first = std::min_element(queue_.begin(), queue_.end(),
                                                [](const auto &left, const auto &right) {
                                                    return left->priority < right->priority;
                                                });
            const std::shared_ptr<Generation> next = *first;
            queue_.erase(first);
            ++running_;
            ++started_;
            ++startedByModel_[next->model];
            timer_.schedule(
                    std::chrono::milliseconds(FLAGS_first_token_ms + faults_.firstTokenDelayMs),
                    [this, next] { startResponse(next); });
        }
    }

    void startResponse(const std::shared_ptr<Generation> &generation)
    {
        generation->exchange->onDisconnect([generation] { generation->disconnected = true; });
        generation->exchange->beginStream(net::HttpResponse{200, "text/event-stream", {}, ""});
        sendNextToken(generation);
    }

    void sendNextToken(const std::shared_ptr<Generation> &generation)
    {
        Faults faults;
        {
            const std::scoped_lock lock(mutex_);
            faults = faults_;
        }
        if (generation->disconnected) {
            finishGeneration(cancelled_);
            return;
        }
        if (faults.abortAfterTokens != 0 && generation->nextToken >= faults.abortAfterTokens) {
            generation->exchange->abortStream();
            finishGeneration(cancelled_);
            return;
        }
        if (faults.stallAfterTokens != 0 && generation->nextToken >= faults.stallAfterTokens) {
            const std::scoped_lock lock(mutex_);
            unansweredExchanges_.push_back(generation->exchange);
            return;
        }
        if (generation->nextToken >= generation->totalTokens) {
            completeResponse(*generation);
            return;
        }
        const std::string text = fmt::format("w{}-{} ", generation->nextToken, generation->digest);
        ++generation->nextToken;
        generation->exchange->write(serverSentEvent(*generation, text, false));
        timer_.schedule(std::chrono::milliseconds(FLAGS_token_ms),
                        [this, generation] { sendNextToken(generation); });
    }

    void completeResponse(const Generation &generation)
    {
        generation.exchange->write(serverSentEvent(generation, "", true) + "data: [DONE]\n\n");
        generation.exchange->finishStream();
        finishGeneration(finished_);
    }

    void finishGeneration(std::uint64_t &counter)
    {
        const std::scoped_lock lock(mutex_);
        ++counter;
        --running_;
        startQueued();
    }

    static std::string serverSentEvent(const Generation &generation, const std::string &text,
                                       bool last)
    {
        Json::Value choice;
        choice["index"] = 0;
        if (generation.chat)
            choice["delta"]["content"] = text;
        else
            choice["text"] = text;
        choice["finish_reason"] = last ? Json::Value("stop") : Json::Value();
        Json::Value json;
        json["model"] = generation.model;
        json["choices"].append(choice);
        json["usage"]["prompt_tokens"] = Json::UInt64(generation.promptTokens);
        json["usage"]["completion_tokens"] = Json::UInt64(generation.nextToken);
        return "data: " + net::writeJson(json) + "\n\n";
    }

    Timer timer_;
    Announcer *announcer_ = nullptr;

    std::mutex mutex_; // guards the fields below
    Faults faults_;
    std::vector<std::shared_ptr<Generation>> queue_;
    // Exchanges without a response or with a stalled stream (Faults::neverRespond and
    // stallAfterTokens). Kept open until the process exits.
    std::vector<std::shared_ptr<net::HttpExchange>> unansweredExchanges_;
    std::uint32_t running_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    std::uint64_t cancelled_ = 0;
    std::map<std::string, std::uint64_t> startedByModel_;
};

int run()
{
    initStandIn();
    Engine engine;
    Announcer announcer(splitList(FLAGS_entries), readSecretFile(FLAGS_secret_file),
                        [&engine] { return engine.describe(); });
    engine.setAnnouncer(&announcer);
    const auto handler = [&engine](const auto &exchange) { engine.handle(exchange); };
    return serveStandIn(FLAGS_listen, handler, announcer);
}

} // namespace

} // namespace fireflyroute::testing

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return fireflyroute::testing::run();
}

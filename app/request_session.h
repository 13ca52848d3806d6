// One request on an entry. Feeds events to its RequestMachine and performs the machine's actions on
// HTTP, the ledger and the endpoint clients. A session is kept alive by the callbacks that refer to
// it.
//
// Inputs may be posted from any thread. One thread at a time processes the queue: the one that
// finds it idle.

#ifndef FIREFLYROUTE_APP_REQUEST_SESSION_H
#define FIREFLYROUTE_APP_REQUEST_SESSION_H

#include "app/traffic_context.h"
#include "core/requests/request_machine.h"
#include "net/chat_json.h"
#include "net/http_client.h"
#include "net/http_listener.h"

#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace fireflyroute::app {

class RequestSession : public std::enable_shared_from_this<RequestSession>
{
public:
    // `call` is the decoded body of a model call. Empty for plain services.
    RequestSession(TrafficContext &traffic, std::shared_ptr<net::HttpExchange> exchange,
                   core::CallerRequest request, std::optional<net::CompletionCall> call);

    void start();

    // Queues an input and processes the queue if no other thread does. Blocks only on this
    // session's mutex, which is held briefly.
    void post(core::RequestInput input);

private:
    void perform(const core::JoinQueue &action);
    void perform(const core::LeaveQueue &action);
    void perform(const core::PutRecord &action);
    void perform(const core::StartAttempt &action);
    void perform(const core::CancelAttempt &action);
    void perform(const core::RelayChunk &action);
    void perform(const core::FinishAnswer &action);
    void perform(const core::FailAnswer &action);

    void startModelAttempt(const core::StartAttempt &action);
    void startServiceAttempt(const core::StartAttempt &action);
    void onStreamEnd(std::uint32_t attempt, const net::Result<net::HttpResponse> &result);
    void endAttempt();
    void finishService(const core::FinishAnswer &action);
    [[nodiscard]] net::HttpResponse responseHead() const;
    [[nodiscard]] net::CompletionMetadata completionMetadata() const;
    void countOutcome(std::optional<core::CoreError> error);
    void recordEvent(core::EventKind kind, const std::string &detail);

    TrafficContext &traffic_;
    const std::shared_ptr<net::HttpExchange> exchange_;
    const std::optional<net::CompletionCall> call_;
    const core::Instant startedAt_;

    std::mutex mutex_; // guards inputs_ and isProcessing_
    std::deque<core::RequestInput> inputs_;
    bool isProcessing_ = false; // only the processing thread uses the fields below

    core::RequestMachine<EntryPolicy> machine_;
    std::shared_ptr<net::HttpStream> stream_; // of the current attempt
    std::shared_ptr<net::ChunkDecoder> decoder_; // of the current attempt
    core::Rank priority_ = core::Rank::Normal; // priority in the endpoint's queue, set by admission
    std::optional<core::EndpointId> attemptEndpoint_; // endpoint of the current attempt
    bool streamStarted_ = false; // the head of a streamed answer was sent
    std::string collectedText_; // text of a non-streamed answer
    std::string finishReason_;
    std::optional<core::Duration> timeToFirstToken_;
};

} // namespace fireflyroute::app

#endif

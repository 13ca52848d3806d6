// Chat and text completions in the format of the OpenAI API: decodes the requests of callers,
// encodes the requests to endpoints, and converts between streamed events and typed chunks.

#ifndef FIREFLYROUTE_NET_CHAT_JSON_H
#define FIREFLYROUTE_NET_CHAT_JSON_H

#include "core/calls/caller_request.h"
#include "core/requests/request_messages.h"
#include "net/errors.h"

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>

namespace fireflyroute::net {

// The body of a caller's request: the fields that routing needs, and the complete document, which
// is forwarded to the endpoint.
struct CompletionCall
{
    core::ModelName model; // empty for "auto"
    std::optional<core::VersionName> version;
    bool stream = false;
    std::uint64_t promptTokens = 0; // estimate
    std::uint64_t maxTokens = 0;
    Json::Value body; // as received from the caller
};

// Decodes the body of a chat (`messages`) or text (`prompt`) completion request.
[[nodiscard]] Result<CompletionCall> readCompletionCall(core::CallKind kind,
                                                        const std::string &text);

// Encodes the request body of one attempt. The response is always streamed, with running token
// counts. Engines serve a smaller priority value first.
[[nodiscard]] std::string encodeAttempt(const CompletionCall &call,
                                        const core::StartAttempt &attempt, core::Rank rank);

// Decodes the lines of a server-sent event stream into the chunks of one attempt.
class ChunkDecoder
{
public:
    explicit ChunkDecoder(std::uint32_t attempt, std::uint64_t startOffset);

    // Returns the chunk that the line completes, or nothing if the line completes none. Fails with
    // Malformed if the line can't be decoded or reports an error.
    Result<std::optional<core::AnswerChunk>> decode(const std::string &line);

private:
    std::uint32_t attempt_;
    std::uint64_t offset_; // generated tokens so far; never decreases
    std::uint64_t promptTokens_ = 0;
    std::string finishReason_; // set once the engine has reported the end of the response
};

// Fields that every event of one response repeats.
struct CompletionMetadata
{
    core::CallKind kind = core::CallKind::Chat;
    core::RequestId request;
    core::ModelVersion version;
    std::int64_t createdSeconds = 0;
};

// Encodes one chunk as a server-sent event.
[[nodiscard]] std::string encodeStreamChunk(const CompletionMetadata &metadata,
                                            const core::RelayChunk &chunk);

// Encodes the end of a stream: a usage event and the [DONE] marker.
[[nodiscard]] std::string encodeStreamEnd(const CompletionMetadata &metadata,
                                          const core::FinishAnswer &end);

// Encodes a response that is not streamed.
[[nodiscard]] std::string encodeCompletion(const CompletionMetadata &metadata,
                                           const std::string &text, const std::string &finishReason,
                                           const core::FinishAnswer &end);

} // namespace fireflyroute::net

#endif

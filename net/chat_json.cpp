// Chat and text completions in the format of the OpenAI API.

#include "net/chat_json.h"

#include "net/config_json.h"
#include "net/text_json.h"

#include <string_view>

namespace fireflyroute::net {

namespace {

constexpr std::uint64_t kBytesPerToken = 4; // rough average for prose
constexpr std::uint64_t kDefaultMaxTokens = 256;
constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kStreamEnd = "[DONE]";

NetFailure malformed(const std::string &detail)
{
    return NetFailure{NetError::Malformed, detail};
}

Result<void> readModel(const Json::Value &body, CompletionCall &call)
{
    const Json::Value &model = body["model"];
    if (model.isNull())
        return core::outcome::success();
    if (!model.isString() || model.asString().empty())
        return malformed("model: must be a non-empty string");
    const std::string name = model.asString();
    if (name == "auto")
        return core::outcome::success();
    const std::size_t separator = name.find('@');
    call.model = core::ModelName(name.substr(0, separator));
    if (separator != std::string::npos)
        call.version = core::VersionName(name.substr(separator + 1));
    return core::outcome::success();
}

Result<void> readMessages(const Json::Value &body, CompletionCall &call)
{
    const Json::Value &messages = body["messages"];
    if (!messages.isArray() || messages.empty())
        return malformed("messages: must be a non-empty array");
    std::uint64_t bytes = 0;
    for (Json::ArrayIndex i = 0; i < messages.size(); ++i) {
        const std::string jsonPath = "messages[" + std::to_string(i) + "]";
        if (!messages[i].isObject() || !messages[i]["role"].isString())
            return malformed(jsonPath + ".role: must be a string");
        bytes += writeJson(messages[i]["content"]).size();
    }
    call.promptTokens = bytes / kBytesPerToken + 1;
    return core::outcome::success();
}

Result<void> readPrompt(const Json::Value &body, CompletionCall &call)
{
    const Json::Value &prompt = body["prompt"];
    if (!prompt.isString())
        return malformed("prompt: must be a string");
    call.promptTokens = prompt.asString().size() / kBytesPerToken + 1;
    return core::outcome::success();
}

Result<void> readOptions(const Json::Value &body, CompletionCall &call)
{
    const Json::Value &stream = body["stream"];
    if (!stream.isNull() && !stream.isBool())
        return malformed("stream: must be true or false");
    call.stream = stream.isBool() && stream.asBool();
    const Json::Value &maxTokens = body["max_tokens"];
    if (!maxTokens.isNull() && (!maxTokens.isUInt64() || maxTokens.asUInt64() == 0))
        return malformed("max_tokens: must be a positive whole number");
    call.maxTokens = maxTokens.isNull() ? kDefaultMaxTokens : maxTokens.asUInt64();
    const Json::Value &choices = body["n"];
    if (!choices.isNull() && choices != Json::Value(1))
        return malformed("n: only 1 is supported");
    return core::outcome::success();
}

Json::Value metadataToJson(const CompletionMetadata &metadata, bool isChunk)
{
    const bool isChat = metadata.kind == core::CallKind::Chat;
    Json::Value json;
    json["id"] = metadata.request.value();
    json["object"] =
            isChat ? (isChunk ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    json["created"] = Json::Int64(metadata.createdSeconds);
    json["model"] = core::toString(metadata.version);
    return json;
}

Json::Value usageToJson(const core::FinishAnswer &end)
{
    Json::Value json;
    json["prompt_tokens"] = Json::UInt64(end.promptTokens);
    json["completion_tokens"] = Json::UInt64(end.outputTokens);
    json["total_tokens"] = Json::UInt64(end.promptTokens + end.outputTokens);
    return json;
}

Json::Value finishToJson(const std::string &reason)
{
    return reason.empty() ? Json::Value() : Json::Value(reason);
}

std::string serverSentEvent(const Json::Value &json)
{
    return "data: " + writeJson(json) + "\n\n";
}

std::string chunkText(const Json::Value &choice)
{
    const Json::Value &delta = choice["delta"];
    if (delta.isObject() && delta["content"].isString())
        return delta["content"].asString();
    return choice["text"].isString() ? choice["text"].asString() : "";
}

} // namespace

Result<CompletionCall> readCompletionCall(core::CallKind kind, const std::string &text)
{
    BOOST_OUTCOME_TRY(body, parseJson(text));
    if (!body.isObject())
        return malformed("body: must be a JSON object");
    CompletionCall call;
    BOOST_OUTCOME_TRYV(readModel(body, call));
    if (kind == core::CallKind::Chat) {
        BOOST_OUTCOME_TRYV(readMessages(body, call));
    } else {
        BOOST_OUTCOME_TRYV(readPrompt(body, call));
    }
    BOOST_OUTCOME_TRYV(readOptions(body, call));
    call.body = std::move(body);
    return call;
}

std::string encodeAttempt(const CompletionCall &call, const core::StartAttempt &attempt,
                          core::Rank rank)
{
    Json::Value body = call.body;
    body["model"] = core::toString(attempt.version);
    body["max_tokens"] = Json::UInt64(call.maxTokens);
    body["stream"] = true;
    body["stream_options"]["include_usage"] = true;
    body["stream_options"]["continuous_usage_stats"] = true;
    body["priority"] = static_cast<int>(rank);
    if (attempt.resumeOffset > 0)
        body["resume_offset"] = Json::UInt64(attempt.resumeOffset);
    return writeJson(body);
}

ChunkDecoder::ChunkDecoder(std::uint32_t attempt, std::uint64_t startOffset)
    : attempt_(attempt)
    , offset_(startOffset)
{}

Result<std::optional<core::AnswerChunk>> ChunkDecoder::decode(const std::string &line)
{
    std::string_view data(line);
    if (!data.starts_with(kDataPrefix))
        return std::optional<core::AnswerChunk>();
    data.remove_prefix(kDataPrefix.size());
    while (!data.empty() && (data.front() == ' ' || data.back() == '\r')) {
        if (data.front() == ' ')
            data.remove_prefix(1);
        else
            data.remove_suffix(1);
    }
    core::AnswerChunk chunk;
    chunk.attempt = attempt_;
    if (data == kStreamEnd) {
        if (finishReason_.empty())
            return malformed("the stream ended without a finish reason");
        chunk.endOffset = offset_;
        chunk.promptTokens = promptTokens_;
        chunk.last = true;
        chunk.finishReason = finishReason_;
        return std::optional(chunk);
    }
    BOOST_OUTCOME_TRY(json, parseJson(data));
    if (!json.isObject() || json.isMember("error"))
        return malformed("the endpoint reported an error");
    const Json::Value &usage = json["usage"];
    if (usage.isObject() && usage["completion_tokens"].isUInt64())
        offset_ = std::max(offset_, std::uint64_t(usage["completion_tokens"].asUInt64()));
    if (usage.isObject() && usage["prompt_tokens"].isUInt64())
        promptTokens_ = usage["prompt_tokens"].asUInt64();
    const Json::Value &choices = json["choices"];
    if (!choices.isArray() || choices.empty())
        return std::optional<core::AnswerChunk>();
    chunk.text = chunkText(choices[0]);
    if (!usage.isObject() && !chunk.text.empty())
        ++offset_;
    if (choices[0]["finish_reason"].isString())
        finishReason_ = choices[0]["finish_reason"].asString();
    chunk.endOffset = offset_;
    chunk.promptTokens = promptTokens_;
    if (chunk.text.empty())
        return std::optional<core::AnswerChunk>();
    return std::optional(chunk);
}

std::string encodeStreamChunk(const CompletionMetadata &metadata, const core::RelayChunk &chunk)
{
    Json::Value json = metadataToJson(metadata, true);
    Json::Value choice;
    choice["index"] = 0;
    if (metadata.kind == core::CallKind::Chat)
        choice["delta"]["content"] = chunk.text;
    else
        choice["text"] = chunk.text;
    choice["finish_reason"] = finishToJson(chunk.finishReason);
    json["choices"].append(choice);
    return serverSentEvent(json);
}

std::string encodeStreamEnd(const CompletionMetadata &metadata, const core::FinishAnswer &end)
{
    Json::Value json = metadataToJson(metadata, true);
    json["choices"] = Json::Value(Json::arrayValue);
    json["usage"] = usageToJson(end);
    return serverSentEvent(json) + "data: " + std::string(kStreamEnd) + "\n\n";
}

std::string encodeCompletion(const CompletionMetadata &metadata, const std::string &text,
                             const std::string &finishReason, const core::FinishAnswer &end)
{
    Json::Value json = metadataToJson(metadata, false);
    Json::Value choice;
    choice["index"] = 0;
    if (metadata.kind == core::CallKind::Chat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = text;
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = finishToJson(finishReason);
    json["choices"].append(choice);
    json["usage"] = usageToJson(end);
    return writeJson(json);
}

} // namespace fireflyroute::net

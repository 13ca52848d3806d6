// Decoded and authenticated request of a caller, reduced to the fields that routing decisions use.
// The body stays with the front end.

#ifndef FIREFLYROUTE_CORE_CALLS_CALLER_REQUEST_H
#define FIREFLYROUTE_CORE_CALLS_CALLER_REQUEST_H

#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflyroute::core {

// Kind of call: a model through chat or plain completion, or a plain service.
enum class CallKind { Chat, Completion, Service };

template<>
struct EnumNames<CallKind>
{
    static constexpr std::array table{
            EnumName{CallKind::Chat, "chat"},
            EnumName{CallKind::Completion, "completion"},
            EnumName{CallKind::Service, "service"},
    };
};

struct CallerRequest
{
    RequestId id;
    CallKind kind = CallKind::Chat;
    ClientAccountId account;
    Rank rank = Rank::Normal;
    TaskName task;

    // For model calls. An empty model name leaves the choice of the model to the router.
    ModelName model;
    std::optional<VersionName> version;
    std::optional<SessionId> session;
    std::uint64_t promptTokens = 0; // estimate from the size of the prompt
    std::uint64_t maxTokens = 0; // upper bound of generated tokens
    std::vector<std::uint64_t> prefixes; // hashes of the prompt's prefixes, shortest first

    // For plain services.
    ServiceName service;
    std::string method;
    std::string path;

    std::string idempotencyKey; // empty if not given
    std::string fingerprint; // hash of method, path and body
};

} // namespace fireflyroute::core

#endif

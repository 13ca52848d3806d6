// Calls that a site takes from outside, and the answers to them, free of any encoding: what a
// request of a caller asks for, what an endpoint says of its answer, and what operators and
// endpoints tell the control VMs. A front end (platform/) translates to and from them.

#ifndef FIREFLYROUTE_CORE_SITE_CALLS_H
#define FIREFLYROUTE_CORE_SITE_CALLS_H

#include "core/clock.h"
#include "core/endpoint_registry.h"
#include "core/site_config.h"
#include "core/site_state.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflyroute::core {

// --- Requests of callers -------------------------------------------------------------------------

// A part of a prompt. Requests share parts, so that an endpoint may hold them already.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

struct RequestMeta
{
    RequestId id;
    std::string host;
    std::string key; // of the client account; empty for none
    SessionId session; // empty for none
    std::optional<Duration> deadline; // how long the caller waits
    std::optional<std::uint64_t> lastEvent; // of a stream that the caller resumes
    std::vector<PromptPart> prompt; // in order; the last one is the request's own
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> estimatedOutputTokens; // the caller's estimate, often far off
};

// One sending of a request to one endpoint.
struct Dispatch
{
    EndpointId endpoint;
    ClientAccountId account; // empty on public routes
    std::optional<Duration> deadline; // what is left
    std::optional<ModelName> model; // chosen by the entry
    std::optional<std::uint32_t> urgency; // 0 is first
    std::optional<std::uint64_t> resumeAfter; // last event that the caller has
};

// Load that an endpoint reports with an answer.
struct EndpointLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    bool operator==(const EndpointLoad &) const = default;
};

// What an endpoint says of its answer, besides the answer.
struct AnswerMeta
{
    RequestId id; // of the request that it answers
    bool isSealed = false; // vouched for by the endpoint
    bool notExecuted = false; // the endpoint's word that it did not run the request
    bool wrongEndpoint = false; // another endpoint has the address now
    bool isEncoded = false; // the body is not the endpoint's own bytes
    std::optional<EndpointLoad> load;
    std::optional<std::uint32_t> confidence; // 0 to 100: the model's opinion of its answer
};

// Why an entry answers a request itself.
enum class Refusal {
    UnknownRoute,
    UnknownKey,
    NotReady, // no configuration, or it may be outdated
    NoEndpoint, // none is known or usable
    Overloaded,
    Quarantined, // the request has crashed endpoints
    NotExecuted, // every endpoint that it was sent to said that it did not run it
    EndpointFailed, // it may have run
    DeadlineExceeded, // it may have run
    Expired, // its time was over before it was sent anywhere
};

template<>
struct EnumNames<Refusal>
{
    static constexpr std::array table{
            EnumName{Refusal::UnknownRoute, "unknown_route"},
            EnumName{Refusal::UnknownKey, "unknown_key"},
            EnumName{Refusal::NotReady, "not_ready"},
            EnumName{Refusal::NoEndpoint, "no_endpoint"},
            EnumName{Refusal::Overloaded, "overloaded"},
            EnumName{Refusal::Quarantined, "quarantined"},
            EnumName{Refusal::NotExecuted, "not_run"},
            EnumName{Refusal::EndpointFailed, "endpoint_failed"},
            EnumName{Refusal::DeadlineExceeded, "deadline_exceeded"},
            EnumName{Refusal::Expired, "expired"},
    };
};

// --- Calls to the control VMs --------------------------------------------------------------------

// The document and what it means; it was found valid.
struct ReplaceConfigCall
{
    ConfigDocument document;
};

struct ReadConfigCall
{};

struct StartRolloutCall
{
    ServiceName service;
    VersionName target;
    std::uint32_t durationMs = 0;
};

struct ReadRolloutCall
{
    ServiceName service;
};

struct HeartbeatCall
{
    EndpointRecord record;
};

struct DeregisterCall
{
    EndpointId id;
    std::uint64_t startedAtMs = 0; // 0: its present life
};

// Not a call that is known, or one that is wrong.
struct InvalidCall
{
    bool isUnknown = false;
    std::string problem;
};

using ControlCall = std::variant<ReplaceConfigCall, ReadConfigCall, StartRolloutCall,
                                 ReadRolloutCall, HeartbeatCall, DeregisterCall, InvalidCall>;

// Done: acknowledged, with what was asked for. Elsewhere: another control VM has to be asked.
// Unavailable: nobody can answer now. Invalid: the call is wrong. NotFound: no such thing.
enum class ControlStatus { Done, Redirect, Unavailable, Invalid, NotFound };

template<>
struct EnumNames<ControlStatus>
{
    static constexpr std::array table{
            EnumName{ControlStatus::Done, "done"},
            EnumName{ControlStatus::Redirect, "elsewhere"},
            EnumName{ControlStatus::Unavailable, "unavailable"},
            EnumName{ControlStatus::Invalid, "invalid"},
            EnumName{ControlStatus::NotFound, "not_found"},
    };
};

struct ControlAnswer
{
    ControlStatus status = ControlStatus::Unavailable;
    std::string address; // for Elsewhere: "IP:PORT"
    std::string document; // of a read configuration
    std::optional<Rollout> rollout; // of a read roll-out
    std::string problem;
};

} // namespace fireflyroute::core

#endif

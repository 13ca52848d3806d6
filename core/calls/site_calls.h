// Calls that a site receives and their responses, independent of any encoding: requests of callers,
// metadata in the responses of endpoints, and calls of operators and endpoints to the control VMs.
// A front end (platform/) converts them to and from its encoding.

#ifndef FIREFLYROUTE_CORE_CALLS_SITE_CALLS_H
#define FIREFLYROUTE_CORE_CALLS_SITE_CALLS_H

#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/config/site_config.h"
#include "core/endpoints/endpoint_registry.h"
#include "core/site/site_state.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflyroute::core {

// --- Requests of callers -------------------------------------------------------------------------

// A part of a prompt. Requests share parts, so that an endpoint may have them in its cache.
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
    std::string key; // of the client account; empty if not given
    SessionId session; // empty if not given
    std::optional<Duration> deadline; // how long the caller waits
    std::optional<std::uint64_t> lastEvent; // last event received, for a resumed stream
    std::vector<PromptPart> prompt; // in order; the last part is unique to the request
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> estimatedOutputTokens; // the caller's estimate, often inaccurate
};

// One attempt of a request at one endpoint.
struct Dispatch
{
    EndpointId endpoint;
    ClientAccountId account; // empty on public routes
    std::optional<Duration> deadline; // remaining time
    std::optional<ModelName> model; // chosen by the entry
    std::optional<std::uint32_t> urgency; // 0 is the most urgent
    std::optional<std::uint64_t> resumeAfter; // last event that the caller has received
};

// Load that an endpoint reports with a response.
struct EndpointLoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    bool operator==(const EndpointLoadReport &) const = default;
};

// Metadata of an endpoint's response.
struct AnswerMeta
{
    RequestId id; // of the request that it answers
    bool isSealed = false; // has the endpoint's seal; a response without it is discarded
    bool notExecuted = false; // the endpoint states that it did not run the request
    bool statusDeniesRun = false; // callers read the status as a promise that it did not run
    bool wrongEndpoint = false; // the address now belongs to another endpoint
    bool isEncoded = false; // has a content encoding: the body is not what the endpoint sent
    std::optional<EndpointLoadReport> load;
    std::optional<std::uint32_t> confidence; // 0 to 100, the model's rating of its own answer
};

// Reasons for which an entry rejects a request itself.
enum class Refusal {
    UnknownRoute,
    UnknownKey,
    NotReady, // no configuration, or it may be outdated
    NoEndpoint, // no endpoint is registered or usable
    Evacuated, // all endpoints are in evacuated data centres
    Overloaded,
    Suspended, // it may have crashed endpoints, which is being verified; the request did not run
    Quarantined, // the request has crashed endpoints
    NotExecuted, // every endpoint that received the request stated that it did not run it
    EndpointFailed, // the request may have run
    DeadlineExceeded, // the request may have run
    Expired, // the deadline passed before the request was dispatched
};

template<>
struct EnumNames<Refusal>
{
    static constexpr std::array table{
            EnumName{Refusal::UnknownRoute, "unknown_route"},
            EnumName{Refusal::UnknownKey, "unknown_key"},
            EnumName{Refusal::NotReady, "not_ready"},
            EnumName{Refusal::NoEndpoint, "no_endpoint"},
            EnumName{Refusal::Evacuated, "evacuated"},
            EnumName{Refusal::Overloaded, "overloaded"},
            EnumName{Refusal::Suspended, "suspended"},
            EnumName{Refusal::Quarantined, "quarantined"},
            EnumName{Refusal::NotExecuted, "not_run"},
            EnumName{Refusal::EndpointFailed, "endpoint_failed"},
            EnumName{Refusal::DeadlineExceeded, "deadline_exceeded"},
            EnumName{Refusal::Expired, "expired"},
    };
};

// --- Calls to the control VMs --------------------------------------------------------------------

// A configuration document that passed validation.
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

struct SetEvacuationCall
{
    DataCentreId dataCentre; // not empty
    bool isEvacuated = false;
};

struct ReadEvacuationsCall
{};

struct HeartbeatCall
{
    EndpointRecord record;
};

struct DeregisterCall
{
    EndpointId id;
    std::uint64_t startedAtMs = 0; // 0: the current incarnation
};

// An unknown or invalid call.
struct InvalidCall
{
    bool isUnknown = false;
    std::string problem;
};

using ControlCall = std::variant<ReplaceConfigCall, ReadConfigCall, StartRolloutCall,
                                 ReadRolloutCall, SetEvacuationCall, ReadEvacuationsCall,
                                 HeartbeatCall, DeregisterCall, InvalidCall>;

// Done: acknowledged, with the requested data. Redirect: the caller has to use another control VM.
// Unavailable: currently no control VM can answer. Invalid: the call is invalid. NotFound: the
// requested object does not exist.
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
    std::string address; // for Redirect: "IP:PORT"
    std::string document; // of a configuration read
    std::optional<SiteRollout> rollout; // of a roll-out read
    std::optional<Evacuations> evacuations; // of a read of the evacuations
    std::string problem;
};

} // namespace fireflyroute::core

#endif

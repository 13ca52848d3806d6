// Messages between the processes of a site. Entries keep a connection to every control VM, and
// control VMs keep connections to each other. The encoding is in net/site_codec.h.

#ifndef FIREFLYROUTE_CORE_SITE_SITE_MESSAGES_H
#define FIREFLYROUTE_CORE_SITE_SITE_MESSAGES_H

#include "core/endpoints/endpoint_registry.h"
#include "core/group/replication_types.h"
#include "core/site/site_state.h"

#include <optional>
#include <variant>
#include <vector>

namespace fireflyroute::core {

// The first message of each connection.
struct Handshake
{
    VmId vm;
    bool isEntry = false;
    DataCentreId dataCentre;
    // Whether the sender can hold a document with version 0. Earlier builds take it for none.
    bool holdsVersionZero = false;
};

// Sent by an entry to check whether its state is the newest.
struct FreshnessProbe
{
    std::uint64_t nonce = 0; // returned in the reply
    bool isolated = false; // the entry has lost its path to the endpoints
};

struct FreshnessReply
{
    std::uint64_t nonce = 0;
    std::uint64_t latestRevision = 0; // revision of the state; valid only if `authoritative`
    bool authoritative = false; // from a leader with a valid lease
    std::vector<VmId> controlVms; // members of the group, to connect to
};

// From a control VM to each entry, after the handshake and after each change.
struct StateAnnouncement
{
    std::uint64_t revision = 0; // of the state that the control VM holds
    bool sameRegion = false; // the entry is in the region of the control VM
};

// From an entry to one of the control VMs that announced a newer state.
struct StateRequest
{
    std::uint64_t revision = 0; // of the state that the entry holds
    std::optional<std::uint64_t> documentVersion; // of the configuration in that state, if any
};

// The answer to a StateRequest. The document's bytes are omitted if the entry already holds that
// version, and also if neither side holds a document.
struct StateUpdate
{
    SiteData data;
    bool documentOmitted = false;
};

// New or changed endpoint records.
struct EndpointUpdate
{
    std::vector<EndpointRecord> records;
};

// Outcomes of the requests of one version on one route, counted by one entry since its last report.
struct OutcomeCount
{
    ServiceName service;
    VersionName version;
    std::string route;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0; // failed on the endpoint
    std::uint32_t slow = 0; // far slower than other answers of the route
    std::uint32_t outstanding = 0; // requests still running; a gauge, not a counter
};

struct OutcomeReport
{
    std::vector<OutcomeCount> counts;
};

// Work at one endpoint: requests that run or wait there, and prompt tokens that it has yet to
// process before their first events, in tokens of its largest model.
struct EndpointWork
{
    EndpointId id;
    std::uint32_t running = 0;
    std::uint32_t pendingPrefillTokens = 0;

    bool operator==(const EndpointWork &) const = default;
};

// From an entry to its home, and from there to the other control VMs: outstanding work. From the
// home to an entry: the work of all others. Endpoints without work are omitted.
struct WorkReport
{
    std::vector<EndpointWork> work;

    bool operator==(const WorkReport &) const = default;
};

// A request of a session that runs on a version of a service or has just ended there.
struct SessionUpdate
{
    SessionId session;
    VersionName version;
    bool ended = false;

    bool operator==(const SessionUpdate &) const = default;
};

// Prompt prefixes that were dispatched to an endpoint, as hashes of the model and the prompt parts.
struct PromptPrefixUpdate
{
    EndpointId endpoint;
    std::vector<std::uint64_t> prefixes; // shortest first

    bool operator==(const PromptPrefixUpdate &) const = default;
};

// What requests have in common with others: a part of a prompt, or, as their own trait, a hash of
// what is asked for.
enum class RequestTrait : std::uint64_t {};

// A request was in flight, without the first part of an answer, on an endpoint that crashed.
struct EndpointCrash
{
    EndpointId endpoint;
    std::uint64_t startedAtMs = 0; // incarnation of the endpoint
    ServiceName service;
    std::vector<RequestTrait> traits; // of the request; its own trait is the last

    bool operator==(const EndpointCrash &) const = default;
};

struct ServiceAnswers
{
    ServiceName service;
    std::uint32_t count = 0;

    bool operator==(const ServiceAnswers &) const = default;
};

struct QuarantinedTrait
{
    RequestTrait trait{};
    Duration remaining{};

    bool operator==(const QuarantinedTrait &) const = default;
};

// From an entry to the leader; see core/quarantine/crash_watch.h.
struct CrashReport
{
    std::vector<EndpointCrash> crashes;
    std::vector<RequestTrait> answered; // watched traits of answered requests
    std::vector<ServiceAnswers> answers; // number of answers while traits are watched
    std::vector<QuarantinedTrait> quarantined; // known to the entry; sent at longer intervals
    std::vector<RequestTrait> refused; // quarantined traits of refused requests

    bool operator==(const CrashReport &) const = default;

    [[nodiscard]] bool isEmpty() const
    {
        return crashes.empty() && answered.empty() && answers.empty() && quarantined.empty()
               && refused.empty();
    }
};

// From the leader to all entries, after each change, and to one entry that gets a trial.
struct QuarantineState
{
    std::vector<RequestTrait> watched; // answers to requests with these are to be reported
    std::vector<QuarantinedTrait> quarantined;
    std::vector<RequestTrait> lifted; // no longer quarantined
    std::vector<RequestTrait> trials; // of each of these, the receiver may let one request through

    bool operator==(const QuarantineState &) const = default;
};

// Observations of an entry that other entries may not have. Sent to its home, which forwards them
// to all other entries.
struct EntryUpdate
{
    std::vector<SessionUpdate> sessions;
    std::vector<PromptPrefixUpdate> prompts;
    std::vector<EndpointId> refusingEndpoints; // refuse connections, so no process runs there

    bool operator==(const EntryUpdate &) const = default;

    [[nodiscard]] bool isEmpty() const
    {
        return sessions.empty() && prompts.empty() && refusingEndpoints.empty();
    }
};

constexpr std::size_t kMaxRelays = 8; // of one RelayList

// From the leader to an entry, after the handshake and after each change: entries through which it
// may connect to endpoints while it is isolated, best first.
struct RelayList
{
    std::vector<VmId> relays; // at most kMaxRelays

    bool operator==(const RelayList &) const = default;
};

// Parts of the allowance of a cold endpoint; see core/cold/cold_grants.h.
struct ColdGrant
{
    EndpointId endpoint;
    std::uint32_t parts = 0; // each permits one request per second

    bool operator==(const ColdGrant &) const = default;
};

// From the leader to an entry, in answer to a probe. Sent only if it is not empty, since earlier
// versions can't decode it.
struct ColdGrants
{
    std::uint64_t nonce = 0; // of the probe, from whose sending the grants are valid
    std::vector<ColdGrant> grants;

    bool operator==(const ColdGrants &) const = default;
};

using SiteMessage =
        std::variant<Handshake, FreshnessProbe, FreshnessReply, StateUpdate, EndpointUpdate,
                     OutcomeReport, WorkReport, ReplicaMessage, EntryUpdate, StateAnnouncement,
                     StateRequest, CrashReport, QuarantineState, RelayList, ColdGrants>;

} // namespace fireflyroute::core

#endif

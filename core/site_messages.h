// Messages between the processes of a site. Entries keep a connection to every control VM; control
// VMs keep one to each other. The encoding is in net/site_codec.h.

#ifndef FIREFLYROUTE_CORE_SITE_MESSAGES_H
#define FIREFLYROUTE_CORE_SITE_MESSAGES_H

#include "core/endpoint_registry.h"
#include "core/replication_types.h"
#include "core/site_state.h"

#include <variant>
#include <vector>

namespace fireflyroute::core {

// First message of each connection.
struct Handshake
{
    VmId vm;
    bool isEntry = false;
    DataCentreId dataCentre;
};

// An entry asks whether its state is the newest.
struct FreshnessProbe
{
    std::uint64_t nonce = 0; // returned in the reply
    std::uint64_t revision = 0; // of the state that the entry holds
    std::uint64_t documentVersion = 0; // of the configuration in it
};

struct FreshnessReply
{
    std::uint64_t nonce = 0;
    std::uint64_t latestRevision = 0; // revision of the state; meaningful if `authoritative`
    bool authoritative = false; // from a leader under a valid lease
    std::vector<VmId> controlVms; // members of the group, to connect to
};

// The state of the site. The document's bytes are left out if the entry holds that version.
struct StateUpdate
{
    SiteData data;
    bool documentOmitted = false;
};

// Endpoint records that are new or changed.
struct EndpointUpdate
{
    std::vector<EndpointRecord> records;
};

// Answers of one version on one route, as counted by one entry since its last report.
struct OutcomeCount
{
    ServiceName service;
    VersionName version;
    std::string route;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0; // failed on the endpoint
    std::uint32_t slow = 0; // far slower than the route's other answers
    std::uint32_t outstanding = 0; // still running; a level and no count
};

struct OutcomeReport
{
    std::vector<OutcomeCount> counts;
};

// Work at one endpoint: requests that run or wait there, and prompt tokens that it has yet to read
// before their first events, in tokens of its largest model.
struct EndpointWork
{
    EndpointId id;
    std::uint32_t running = 0;
    std::uint32_t pendingPrefillTokens = 0;

    bool operator==(const EndpointWork &) const = default;
};

// From an entry to the leader: what it has sent. From the leader to an entry: what all others have
// sent. Endpoints without work are left out.
struct WorkReport
{
    std::vector<EndpointWork> work;

    bool operator==(const WorkReport &) const = default;
};

// A request of a session that runs on a version of a service, or has just ended there.
struct SessionUpdate
{
    SessionId session;
    VersionName version;
    bool ended = false;

    bool operator==(const SessionUpdate &) const = default;
};

// Prefixes of prompts that an endpoint was given to read, as hashes of a model and of the parts.
struct PromptPrefixUpdate
{
    EndpointId endpoint;
    std::vector<std::uint64_t> prefixes; // shortest first

    bool operator==(const PromptPrefixUpdate &) const = default;
};

// What an entry saw and the others may not know. From it to the leader, which passes it on to all
// other entries.
struct EntryUpdate
{
    std::vector<SessionUpdate> sessions;
    std::vector<PromptPrefixUpdate> prompts;
    std::vector<EndpointId> refusingEndpoints; // refuse connections: nothing runs there now

    bool operator==(const EntryUpdate &) const = default;

    [[nodiscard]] bool isEmpty() const
    {
        return sessions.empty() && prompts.empty() && refusingEndpoints.empty();
    }
};

using SiteMessage =
        std::variant<Handshake, FreshnessProbe, FreshnessReply, StateUpdate, EndpointUpdate,
                     OutcomeReport, WorkReport, ReplicaMessage, EntryUpdate>;

} // namespace fireflyroute::core

#endif

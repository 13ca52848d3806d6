// Quarantine of requests that crash endpoints. Each entry has one instance; entries exchange
// deltas.
//
//   Result<DispatchRule> rule = quarantine.admit(fingerprint, now);     // Quarantined: refuse
//   quarantine.recordStart(fingerprint, endpoint);
//   quarantine.recordFinish(fingerprint, endpoint, RunOutcome::Succeeded, now);
//   quarantine.endpointCrashed(endpoint, now);   // all requests in flight on it become suspect
//   quarantine.endpointShutDown(endpoint);       // drained or shut down: no suspects
//   peer.apply(quarantine.deltaSince(acknowledged), now);
//
// A request that was in flight on an endpoint when it crashed is suspect. It may run again, as the
// only request on one endpoint. If that endpoint crashes as well, the fingerprint is quarantined
// and refused on every entry until it expires. A successful run clears the request of all crashes
// recorded so far.
//
// The state of a fingerprint consists of the set of crashes during which it was in flight, the set
// of crashes it was cleared of, and whether it is quarantined. All three only grow until the record
// expires, so deltas may be repeated, lost or reordered.

#ifndef FIREFLYROUTE_CORE_QUARANTINE_QUARANTINE_H
#define FIREFLYROUTE_CORE_QUARANTINE_QUARANTINE_H

#include "core/common/clock.h"
#include "core/common/errors.h"
#include "core/common/types.h"

#include <boost/uuid/uuid.hpp>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

// Hash of the part of a request that an endpoint executes: the model or service path and the body.
using RequestFingerprint = boost::uuids::uuid;

// Equal in all processes. The client account is not included: a request crashes endpoints
// regardless of its sender.
[[nodiscard]] RequestFingerprint fingerprintOf(std::string_view path, std::string_view body);

// One incarnation of an endpoint.
struct EndpointInstance
{
    EndpointId id;
    Incarnation incarnation{0};

    auto operator<=>(const EndpointInstance &) const = default;
};

// How a request may be dispatched. Exclusive: on an endpoint without other requests in flight, over
// a new connection, without retry or hedging. Wait: not now, since a copy of it is already running.
enum class DispatchRule { Unrestricted, Exclusive, Wait };

template<>
struct EnumNames<DispatchRule>
{
    static constexpr std::array table{
            EnumName{DispatchRule::Unrestricted, "free"},
            EnumName{DispatchRule::Exclusive, "alone"},
            EnumName{DispatchRule::Wait, "wait"},
    };
};

// Result of a run whose endpoint did not crash. Only Succeeded clears a suspect.
enum class RunOutcome { Succeeded, Failed, Cancelled };

template<>
struct EnumNames<RunOutcome>
{
    static constexpr std::array table{
            EnumName{RunOutcome::Succeeded, "well"},
            EnumName{RunOutcome::Failed, "failed"},
            EnumName{RunOutcome::Cancelled, "cancelled"},
    };
};

// State of one fingerprint as exchanged between entries, with a relative expiry instead of a time.
struct SuspectRow
{
    RequestFingerprint fingerprint{};
    std::vector<EndpointInstance> crashes;
    std::vector<EndpointInstance> cleared;
    bool quarantined = false;
    Duration expiresIn{};

    bool operator==(const SuspectRow &) const = default;
};

// Rows that changed after the sequence number acknowledged by the receiver.
struct QuarantineDelta
{
    VmId origin;
    Incarnation incarnation{0};
    std::uint64_t sequence = 0; // to be acknowledged by the receiver
    std::vector<SuspectRow> rows;

    bool operator==(const QuarantineDelta &) const = default;
};

struct QuarantinePolicy
{
    std::size_t crashesToQuarantine = 2; // on different endpoint instances
    // When the limit is reached, one record is evicted: first one that is neither quarantined nor
    // suspect, then a suspect one, then a quarantined one; among equals the one that expires first.
    std::size_t maxRecords = 10000;
    std::size_t maxInstances = 8; // maximum size of each set of crashes in a record
    Duration lifetime = std::chrono::hours(1); // from the last crash
};

class Quarantine
{
public:
    Quarantine(VmId origin, Incarnation incarnation, const QuarantinePolicy &policy)
        : origin_(std::move(origin))
        , incarnation_(incarnation)
        , policy_(policy)
    {}

    // Whether and how the request may be dispatched; fails with Quarantined. Call again before each
    // attempt.
    [[nodiscard]] Result<DispatchRule> admit(const RequestFingerprint &fingerprint,
                                             Instant now) const;

    // The request is about to be sent to the endpoint.
    void recordStart(const RequestFingerprint &fingerprint, const EndpointInstance &endpoint);

    // A run ended without a crash of its endpoint. Ignored if the run is not in flight.
    void recordFinish(const RequestFingerprint &fingerprint, const EndpointInstance &endpoint,
                      RunOutcome runOutcome, Instant now);

    // The endpoint crashed: its process has terminated or announces a new incarnation without a
    // previous announcement of its shutdown. Returns the fingerprints that this puts into
    // quarantine.
    std::vector<RequestFingerprint> endpointCrashed(const EndpointInstance &endpoint, Instant now);

    // The endpoint announced its shutdown. Its termination marks no suspects, even with requests in
    // flight.
    void endpointShutDown(const EndpointInstance &endpoint);

    // Whether a suspect runs on the endpoint, so that no other request may be sent to it.
    [[nodiscard]] bool isReservedForSuspect(const EndpointInstance &endpoint, Instant now) const;

    // Number of runs of this entry in flight on the endpoint. A suspect requires an endpoint with
    // none.
    [[nodiscard]] std::size_t inFlight(const EndpointInstance &endpoint) const;

    // Removes expired records.
    void expire(Instant now);

    [[nodiscard]] QuarantineDelta deltaSince(std::uint64_t acknowledged, Instant now) const;

    // Merges a delta of another entry. Returns the fingerprints that this puts into quarantine.
    std::vector<RequestFingerprint> apply(const QuarantineDelta &delta, Instant now);

    [[nodiscard]] std::size_t recordCount() const { return records_.size(); }

private:
    struct Record
    {
        std::set<EndpointInstance> crashes; // at most maxInstances
        std::set<EndpointInstance> cleared; // at most maxInstances
        bool quarantined = false; // never reset before the record expires
        Instant expiresAt;
        std::uint64_t sequence = 0; // sequence number of the last change; key in changed_
    };

    using Runs = std::map<EndpointInstance, std::multiset<RequestFingerprint>>;

    [[nodiscard]] const Record *find(const RequestFingerprint &fingerprint, Instant now) const;
    [[nodiscard]] static std::size_t unclearedCrashes(const Record &record);
    bool merge(const SuspectRow &row, Instant now);
    void addInstance(Record &record, std::set<EndpointInstance> &instances,
                     const EndpointInstance &instance) const;
    void markChanged(const RequestFingerprint &fingerprint, Record &record);
    void evictIfFull();
    void erase(const RequestFingerprint &fingerprint);
    bool removeRun(const RequestFingerprint &fingerprint, const EndpointInstance &endpoint);
    void removeAllRuns(const EndpointInstance &endpoint);

    VmId origin_;
    Incarnation incarnation_;
    QuarantinePolicy policy_;
    std::uint64_t sequence_ = 0; // at least the sequence number of every record
    std::map<RequestFingerprint, Record> records_; // at most policy_.maxRecords
    std::map<std::uint64_t, RequestFingerprint> changed_; // one per record, by its sequence number
    // Runs of this entry; admission bounds their number. Copies of one request may run
    // concurrently.
    Runs running_; // no empty sets
    // Number of runs by fingerprint; the sum equals the number of runs in running_.
    std::map<RequestFingerprint, std::size_t> runCounts_;
    std::set<EndpointInstance> shuttingDown_; // announced their shutdown; each is also in running_
};

} // namespace fireflyroute::core

#endif

// The time line: each process records its state changes as typed events in a bounded log, and the
// logs of several processes can be merged into one order.
//
//   EventLog log(VmId("vm-1"), incarnation, 10'000);
//   log.record(clock.tick(), Event{.kind = EventKind::ConfigAccepted, .revision = revision});
//   std::vector<Event> all = mergeEvents({log.select({}), otherEvents});
//   std::vector<Event> selected = selectEvents(all, EventFilter{.request = RequestId("r-17")});
//
// Not thread safe. A process with several recording threads needs one log per thread or an external
// lock.

#ifndef FIREFLYROUTE_CORE_TIMELINE_EVENT_LOG_H
#define FIREFLYROUTE_CORE_TIMELINE_EVENT_LOG_H

#include "core/common/types.h"
#include "core/timeline/hybrid_clock.h"

#include <array>
#include <boost/circular_buffer.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflyroute::core {

enum class EventKind {
    ProcessStarted,
    ProcessStopping,
    LeaderElected,
    LeaderLost,
    LeaseRenewed,
    LeaseExpired,
    EntryJoined,
    EntryLeaving,
    EntryFailed,
    ConfigAccepted,
    ConfigInForce,
    ConfigRefused,
    RolloutStarted,
    RolloutStepped,
    RolloutHeld,
    RolloutFinished,
    VersionHeld,
    VersionWithdrawn,
    EndpointJoined,
    EndpointChanged,
    EndpointLeaving,
    EndpointExpired,
    ConnectionInvalidated,
    OrderIssued,
    OrderFinished,
    RequestAdmitted,
    RequestRefused,
    RequestDispatched,
    RequestRetried,
    RequestFinished,
    RequestCancelled,
    RequestQuarantined,
    SessionPinned,
    SessionMoved,
    ClaimCreated,
    ClaimCompleted,
    ClaimUnknown,
    ClaimResolved,
    BillRecorded,
};

template<>
struct EnumNames<EventKind>
{
    static constexpr std::array table{
            EnumName{EventKind::ProcessStarted, "process_started"},
            EnumName{EventKind::ProcessStopping, "process_stopping"},
            EnumName{EventKind::LeaderElected, "leader_elected"},
            EnumName{EventKind::LeaderLost, "leader_lost"},
            EnumName{EventKind::LeaseRenewed, "lease_renewed"},
            EnumName{EventKind::LeaseExpired, "lease_expired"},
            EnumName{EventKind::EntryJoined, "entry_joined"},
            EnumName{EventKind::EntryLeaving, "entry_leaving"},
            EnumName{EventKind::EntryFailed, "entry_dead"},
            EnumName{EventKind::ConfigAccepted, "config_accepted"},
            EnumName{EventKind::ConfigInForce, "config_in_force"},
            EnumName{EventKind::ConfigRefused, "config_refused"},
            EnumName{EventKind::RolloutStarted, "rollout_started"},
            EnumName{EventKind::RolloutStepped, "rollout_stepped"},
            EnumName{EventKind::RolloutHeld, "rollout_held"},
            EnumName{EventKind::RolloutFinished, "rollout_finished"},
            EnumName{EventKind::VersionHeld, "version_held"},
            EnumName{EventKind::VersionWithdrawn, "version_withdrawn"},
            EnumName{EventKind::EndpointJoined, "endpoint_joined"},
            EnumName{EventKind::EndpointChanged, "endpoint_changed"},
            EnumName{EventKind::EndpointLeaving, "endpoint_leaving"},
            EnumName{EventKind::EndpointExpired, "endpoint_expired"},
            EnumName{EventKind::ConnectionInvalidated, "connection_condemned"},
            EnumName{EventKind::OrderIssued, "order_issued"},
            EnumName{EventKind::OrderFinished, "order_finished"},
            EnumName{EventKind::RequestAdmitted, "request_admitted"},
            EnumName{EventKind::RequestRefused, "request_refused"},
            EnumName{EventKind::RequestDispatched, "request_dispatched"},
            EnumName{EventKind::RequestRetried, "request_retried"},
            EnumName{EventKind::RequestFinished, "request_finished"},
            EnumName{EventKind::RequestCancelled, "request_cancelled"},
            EnumName{EventKind::RequestQuarantined, "request_quarantined"},
            EnumName{EventKind::SessionPinned, "session_pinned"},
            EnumName{EventKind::SessionMoved, "session_moved"},
            EnumName{EventKind::ClaimCreated, "claim_made"},
            EnumName{EventKind::ClaimCompleted, "claim_done"},
            EnumName{EventKind::ClaimUnknown, "claim_unknown"},
            EnumName{EventKind::ClaimResolved, "claim_resolved"},
            EnumName{EventKind::BillRecorded, "bill_recorded"},
    };
};

// One state change. Fields that do not apply to the kind are empty.
struct Event
{
    EventKind kind = EventKind::ProcessStarted;
    HybridTimestamp at; // this and the next three fields are set by EventLog::record
    VmId vm;
    Incarnation incarnation{0};
    std::uint64_t sequence = 0; // increases by one within an incarnation of a VM
    RequestId request;
    ModelVersion version;
    EndpointId endpoint;
    ClientAccountId account;
    Revision revision{0};
    std::string detail; // free text for display

    bool operator==(const Event &) const = default;
};

// Selects the events that match every field that is set.
struct EventFilter
{
    std::optional<EventKind> kind;
    std::optional<RequestId> request;
    std::optional<ModelVersion> version;
    std::optional<EndpointId> endpoint;
    std::optional<ClientAccountId> account;
    std::optional<WallTime> from; // inclusive
    std::optional<WallTime> until; // exclusive
};

[[nodiscard]] bool matches(const EventFilter &filter, const Event &event);

// Returns the matching events in their original order.
[[nodiscard]] std::vector<Event> selectEvents(const std::vector<Event> &events,
                                              const EventFilter &filter);

// Merges the events of several logs, ordered by timestamp, then VM, incarnation and sequence. An
// event that occurs in more than one log is kept once.
[[nodiscard]] std::vector<Event> mergeEvents(const std::vector<std::vector<Event>> &logs);

class EventLog
{
public:
    // Stores the newest `capacity` events.
    EventLog(VmId vm, Incarnation incarnation, std::size_t capacity)
        : vm_(std::move(vm))
        , incarnation_(incarnation)
        , events_(capacity)
    {}

    // Records an event with a timestamp. A full log drops its oldest event.
    void record(const HybridTimestamp &at, Event event);

    // Returns the stored events that match, oldest first.
    [[nodiscard]] std::vector<Event> select(const EventFilter &filter) const;

    // Returns the stored events with a sequence above `after`, for a reader that follows the log. A
    // gap in the sequence numbers shows that events were dropped before they were read.
    [[nodiscard]] std::vector<Event> since(std::uint64_t after) const;

    [[nodiscard]] std::uint64_t dropped() const { return recorded_ - events_.size(); }
    [[nodiscard]] std::uint64_t recorded() const { return recorded_; }

private:
    VmId vm_;
    Incarnation incarnation_;
    boost::circular_buffer<Event> events_; // the newest events, with consecutive sequences
    std::uint64_t recorded_ = 0; // sequence of the newest event
};

} // namespace fireflyroute::core

#endif

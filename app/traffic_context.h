// State shared by all requests of an entry: views, clients, ledger, policy, counters, and the
// active sessions.

#ifndef FIREFLYROUTE_APP_TRAFFIC_CONTEXT_H
#define FIREFLYROUTE_APP_TRAFFIC_CONTEXT_H

#include "app/admission_gate.h"
#include "app/event_recorder.h"
#include "app/ledger_writer.h"
#include "app/routing_view.h"
#include "app/shared_policy.h"
#include "app/system_clock.h"
#include "app/traffic_counters.h"
#include "core/requests/fleet_policy.h"
#include "net/http_client.h"

#include <memory>
#include <mutex>
#include <vector>

namespace fireflyroute::app {

class RequestSession;

using EntryPolicy = SharedPolicy<core::FleetPolicy>;

// Active sessions, for deadline ticks and draining.
class SessionRegistry
{
public:
    void add(const std::shared_ptr<RequestSession> &session);

    // Returns the active sessions and removes the finished ones.
    std::vector<std::shared_ptr<RequestSession>> activeSessions();

private:
    std::mutex mutex_;
    std::vector<std::weak_ptr<RequestSession>> sessions_;
};

// Outlives every request.
struct TrafficContext
{
    const SystemClock &clock;
    const ViewHolder &views;
    EventRecorder &events;
    std::shared_ptr<LedgerWriter> ledger;
    core::VmId vm;
    core::Incarnation incarnation{0};
    AdmissionGate &admission;
    EntryPolicy policy;
    net::HttpClient endpoints;
    SessionRegistry sessions;
    TrafficCounters counters;
};

} // namespace fireflyroute::app

#endif

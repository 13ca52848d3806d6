// Control-plane client of an entry. Obtains configuration and lease from the control VMs, maintains
// the endpoint directory, exchanges announcements with the other entries, and publishes the routing
// view. All members run on the control thread.

#ifndef FIREFLYROUTE_APP_ENTRY_CONTROL_H
#define FIREFLYROUTE_APP_ENTRY_CONTROL_H

#include "app/admission_gate.h"
#include "app/control_link.h"
#include "app/control_loop.h"
#include "app/event_recorder.h"
#include "app/routing_view.h"
#include "core/config/control_messages.h"
#include "core/endpoints/directory.h"
#include "core/leases/lease_holder.h"

#include <map>
#include <memory>
#include <string>

namespace fireflyroute::app {

class EntryControl
{
public:
    // Interval of heartbeats to the control leader.
    static constexpr std::chrono::milliseconds kFollowPeriod{300};
    // Not used: a heartbeat times out after ControlLink::kCallTimeout.
    static constexpr std::chrono::milliseconds kFollowTimeout{1000};
    static constexpr std::chrono::milliseconds kPublishPeriod{100};
    // Interval of announcements and usage reports to the other entries.
    static constexpr std::chrono::milliseconds kSendPeriod{500};
    // Time without announcements after which an endpoint gets no new requests.
    static constexpr std::chrono::milliseconds kEndpointExpiry{2500};

    EntryControl(core::VmAddress self, std::string secret, const SystemClock &clock,
                 ControlLoop &loop, std::shared_ptr<ControlLink> link, ViewHolder &views,
                 AdmissionGate &admission, EventRecorder &events);

    // Starts the periodic tasks.
    void start();

    // Handles an announcement made `age` ago. `fromEndpoint` is true if the endpoint sent it to
    // this entry and false if another entry forwarded it.
    void handleAnnouncement(const core::EndpointAnnouncement &announcement, core::Duration age,
                            bool fromEndpoint);

    // Refuses new requests from now on and notifies the control VMs that this entry is leaving.
    void drain();

private:
    void follow();
    void onFollowReply(const net::Result<core::FollowReply> &answer);
    void applyGrant(const core::FollowReply &reply);
    void sendAnnouncements();
    void sendUsage();
    void sendToEntries(const std::string &method, const Json::Value &message);
    [[nodiscard]] core::ClockReading readClock() const;
    void publish();
    void recordLeaseChange();
    std::shared_ptr<net::RpcPeer> peerFor(const std::string &address);

    const core::VmAddress self_;
    const std::string secret_;
    const SystemClock &clock_;
    ControlLoop &loop_;
    std::shared_ptr<ControlLink> link_;
    ViewHolder &views_;
    AdmissionGate &admission_;
    EventRecorder &events_;

    core::Directory directory_{kEndpointExpiry};
    std::shared_ptr<const core::FleetConfig> config_; // never null; its revision never decreases
    core::LeaseHolder lease_;
    bool leaseWasValid_ = false; // last recorded state, for lease events
    bool followInFlight_ = false;
    bool draining_ = false;
    std::vector<core::VmAddress> entries_; // live entries, according to the last reply
    std::map<core::EndpointId, core::EndpointState>
            unsentAnnouncements_; // received from endpoints, not yet forwarded
    std::map<std::string, std::shared_ptr<net::RpcPeer>> peers_; // other entries, by address
};

} // namespace fireflyroute::app

#endif

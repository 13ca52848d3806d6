// Control-plane client of an entry: links to the control VMs, the site's state as received from
// them, confirmation that this state is fresh, and the registry of endpoints. Runs on the control
// thread and passes immutable views to the traffic thread.
//
//   SiteEntry entry(io, settings, log, decodeConfig, outputs);
//   entry.start();
//
// The state's revision never decreases. An entry that can't confirm within the key lease that its
// state is fresh becomes not ready and refuses requests that need a key.

#ifndef FIREFLYROUTE_APP_SITE_ENTRY_H
#define FIREFLYROUTE_APP_SITE_ENTRY_H

#include "app/config_decoder.h"
#include "app/site_settings.h"
#include "app/structured_log.h"
#include "app/system_clock.h"
#include "core/calls/site_view.h"
#include "core/leases/config_currency.h"
#include "core/site/control_directory.h"
#include "core/site/site_messages.h"
#include "core/site/state_fetch.h"
#include "net/frame_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::app {

struct EntryOutputs
{
    std::function<void(std::shared_ptr<const core::SiteView>)> viewChanged;
    std::function<void(core::Instant)> freshUntilChanged;
    std::function<void(core::WorkReport)> peerWorkReported;
    std::function<void(core::EntryUpdate)> peerUpdatesReceived;
    std::function<void(core::QuarantineState)> quarantineChanged;
    std::function<void(std::vector<core::VmId>)> relaysChanged; // best first
    // Grants for cold endpoints, and when their probe was sent.
    std::function<void(core::ColdGrants, core::Instant)> coldGrantsReceived;
};

class SiteEntry
{
public:
    SiteEntry(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log,
              ConfigDecoder decode, EntryOutputs outputs);

    void start();

    // Applies changed settings. Only the seeds can change at run time.
    void reload(const SiteSettings &settings);

    // Whether the entry has a configuration and fresh state.
    [[nodiscard]] bool isReady() const;

    // Sets whether the entry has lost its path to the endpoints. A change is reported to the
    // control VMs at once, and again with each probe.
    void setIsolated(bool isolated);

    // Sends a report to the leader. Drops it if no leader is known.
    void sendToLeader(const core::SiteMessage &report);

    // Sends a report for the other entries to the home of this entry. Drops it if no control VM is
    // connected.
    void sendToHome(const core::SiteMessage &report);

    // Whether a roll-out is in progress, which needs outcome reports.
    [[nodiscard]] bool isRolloutRunning() const;

    [[nodiscard]] std::string metrics() const;

private:
    struct ControlPeer
    {
        std::shared_ptr<net::FrameLink> link;
        core::Instant lastReceivedAt; // last data, also of an incomplete message
        std::uint64_t receivedTotal = 0; // of the link, at the last probe
        core::Instant connectedAt; // of the current connection, on which all records were sent
        bool isSameRegion = false; // as it last announced
    };

    void connectControlVms();
    void onFrame(const core::VmId &vm, std::string_view frame);
    void handleMessage(const core::VmId &vm, const core::FreshnessReply &message);
    void handleMessage(const core::VmId &vm, const core::StateAnnouncement &message);
    void handleMessage(const core::VmId &vm, const core::StateUpdate &message);
    void handleMessage(const core::VmId &vm, const core::EndpointUpdate &message);
    void handleMessage(const core::VmId & /*vm*/, const core::WorkReport &message)
    {
        outputs_.peerWorkReported(message);
    }
    void handleMessage(const core::VmId & /*vm*/, const core::EntryUpdate &message)
    {
        outputs_.peerUpdatesReceived(message);
    }
    void handleMessage(const core::VmId & /*vm*/, const core::QuarantineState &message)
    {
        outputs_.quarantineChanged(message);
    }
    void handleMessage(const core::VmId &vm, const core::RelayList &message);
    void handleMessage(const core::VmId & /*vm*/, const core::ColdGrants &message)
    {
        if (const auto sentAt = freshness_.probeSentAt(message.nonce))
            outputs_.coldGrantsReceived(message, *sentAt);
    }
    template<typename Other>
    void handleMessage(const core::VmId & /*vm*/, const Other & /*message*/)
    {}
    void applyState(const core::VmId &vm, const core::StateUpdate &message);
    void logEvacuations(const core::SiteData &next);
    void requestState();
    void sendProbes();
    void publishFreshness();
    void publishView();
    void dropObsoleteEndpoints();

    boost::asio::io_context &io_;
    SiteSettings settings_;
    StructuredLog &log_;
    BootClock clock_;
    const ConfigDecoder decode_;
    const EntryOutputs outputs_;
    boost::asio::steady_timer probeTimer_;
    std::map<core::VmId, ControlPeer> controlPeers_;
    core::ControlDirectory directory_;
    core::VmId home_; // receiver of the last report for other entries; empty before the first
    core::VmId leader_; // sender of the last authoritative reply; empty before the first
    core::SiteData state_; // newest state received; its revision never decreases
    std::shared_ptr<const core::SiteTable> table_; // of state_.document; null before the first
    core::EndpointRegistry registry_; // records that changed, and all upon each connection
    core::ConfigFreshness freshness_;
    core::StateFetcher fetcher_;
    std::uint64_t nonce_ = 0;
    bool isolated_ = false;
    std::vector<core::VmId> relays_; // of the last RelayList; kept while no leader is known
    bool wasFresh_ = false; // freshness last logged
    std::uint64_t stateUpdates_ = 0; // received
    std::uint64_t stateBytes_ = 0; // size of the received state updates
};

} // namespace fireflyroute::app

#endif

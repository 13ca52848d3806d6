// The control role of a site: a replica of the site's state, the registry of endpoints, and the
// handlers for operators, endpoints, entries and other control VMs. Runs on the control thread.
//
//   Result<std::unique_ptr<SiteControl>> control = SiteControl::open(io, settings, log, decode);
//   control.value()->call(call, [](core::ControlAnswer answer) { ... });
//
// Writes go through the replicated log and are acknowledged once committed. The leader answers
// reads while it holds its lease. Any control VM accepts heartbeats and forwards them.

#ifndef FIREFLYROUTE_APP_SITE_CONTROL_H
#define FIREFLYROUTE_APP_SITE_CONTROL_H

#include "app/config_decoder.h"
#include "app/replica_driver.h"
#include "app/site_settings.h"
#include "app/structured_log.h"
#include "core/calls/site_calls.h"
#include "core/cold/cold_endpoints.h"
#include "core/cold/cold_grants.h"
#include "core/paths/relay_directory.h"
#include "core/quarantine/crash_attribution.h"
#include "core/quarantine/crash_watch.h"
#include "core/site/control_directory.h"
#include "core/site/site_messages.h"
#include "core/site/state_feed.h"
#include "core/site/update_relay.h"
#include "core/site/work_exchange.h"
#include "core/versions/rollout_judge.h"
#include "net/frame_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace fireflyroute::app {

class SiteControl
{
public:
    using AnswerCallback = std::function<void(core::ControlAnswer)>;

    static Result<std::unique_ptr<SiteControl>> open(boost::asio::io_context &io,
                                                     const SiteSettings &settings,
                                                     StructuredLog &log, ConfigDecoder decode);

    // Starts listening for links, connects to the other control VMs and starts the replica.
    Result<void> start();

    void call(const core::ControlCall &call, AnswerCallback callback);

    // Applies changed settings. Only the seeds can change at run time.
    void reload(const SiteSettings &settings);

    // Hands leadership to another control VM before a graceful stop.
    void transferLeadership();

    [[nodiscard]] std::string metrics() const;

private:
    // An incoming link from an entry or from another control VM.
    struct Peer
    {
        std::shared_ptr<net::FrameLink> link;
        core::VmId vm; // empty until the handshake is received
        bool isEntry = false;
        core::DataCentreId dataCentre;
        bool holdsVersionZero = false; // see core::Handshake
        core::StateFeed feed; // used for entries only
    };

    SiteControl(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log,
                ConfigDecoder decode);

    // Handlers of calls.
    void handleCall(const core::ReplaceConfigCall &call, const AnswerCallback &callback);
    void handleCall(const core::ReadConfigCall &call, const AnswerCallback &callback);
    void handleCall(const core::StartRolloutCall &call, const AnswerCallback &callback);
    void handleCall(const core::ReadRolloutCall &call, const AnswerCallback &callback);
    // Evacuations are in app/site_control_evacuations.cpp.
    void handleCall(const core::SetEvacuationCall &call, const AnswerCallback &callback);
    void handleCall(const core::ReadEvacuationsCall &call, const AnswerCallback &callback);
    [[nodiscard]] std::string evacuationMetrics() const;
    void handleCall(const core::HeartbeatCall &call, const AnswerCallback &callback);
    void handleCall(const core::DeregisterCall &call, const AnswerCallback &callback);
    void handleCall(const core::InvalidCall &call, const AnswerCallback &callback);
    // A connected control VM that would lose a document with version 0; null for none.
    [[nodiscard]] const Peer *findPeerWithoutVersionZero() const;
    [[nodiscard]] core::ControlAnswer notLeaderAnswer() const;
    void propose(const core::SiteCommand &command, const std::string &description,
                 const AnswerCallback &callback);

    // Handlers of messages on incoming links.
    void onFrame(net::FrameLink &link, std::string_view frame);
    void handleMessage(Peer &peer, const core::Handshake &message);
    void handleMessage(Peer &peer, const core::FreshnessProbe &message);
    void handleMessage(Peer &peer, const core::EndpointUpdate &message);
    void handleMessage(Peer &peer, const core::OutcomeReport &message);
    void handleMessage(Peer &peer, const core::WorkReport &message);
    void handleMessage(Peer &peer, const core::EntryUpdate &message);
    void handleMessage(Peer &peer, const core::ReplicaMessage &message);
    void handleMessage(Peer &peer, const core::CrashReport &message);
    void handleMessage(Peer &peer, const core::StateRequest &message);
    // Messages that only entries receive.
    void handleMessage(Peer & /*peer*/, const core::FreshnessReply & /*message*/) {}
    void handleMessage(Peer & /*peer*/, const core::StateAnnouncement & /*message*/) {}
    void handleMessage(Peer & /*peer*/, const core::StateUpdate & /*message*/) {}
    void handleMessage(Peer & /*peer*/, const core::QuarantineState & /*message*/) {}
    void handleMessage(Peer & /*peer*/, const core::RelayList & /*message*/) {}
    void handleMessage(Peer & /*peer*/, const core::ColdGrants & /*message*/) {}

    // State and links.
    void onDisconnected(net::FrameLink &link);
    void logPath(const core::VmId &entry, const core::DataCentreId &dataCentre);
    void evaluateRelays();
    void apply(const std::string &payload);
    void onRoleChanged(const core::RoleChanged &changed);
    void connectControlVms();
    void send(const core::ReplicaMessage &message);
    void announceState();
    [[nodiscard]] bool isInSameRegion(const core::DataCentreId &dataCentre) const;
    void publishRecord(const core::EndpointRecord &record, core::RegistryChange change,
                       bool fromEndpoint);
    void sendToEntries(const core::SiteMessage &message);
    void sendToControlVms(const core::SiteMessage &message);
    void runEvery(std::chrono::milliseconds period, const std::function<void()> &task);
    void relayUpdates();
    void relayWork();
    void evaluateRollouts();
    void logRollouts();
    void evaluateCrashes();
    void evaluateColdEndpoints();
    void expireSoftState();

    boost::asio::io_context &io_;
    SiteSettings settings_;
    StructuredLog &log_;
    const ConfigDecoder decode_;
    BootClock clock_;
    core::SiteState state_; // result of all applied commands
    core::ControlDirectory directory_;
    core::EndpointRegistry registry_;
    core::RolloutJudge rolloutEvaluator_;
    core::CrashAttribution crashAttribution_;
    core::WorkExchange workExchange_;
    core::UpdateRelay updateRelay_;
    core::RelayDirectory relayDirectory_;
    core::ColdEndpoints coldEndpoints_; // observed on all control VMs, for the next leader
    core::ColdGrantor coldGrantor_{core::kColdGrantLifetime}; // used by the leader
    // Services of the last valid document with a limit for cold endpoints. The other parts of a
    // document, which may take megabytes, are not kept.
    std::map<core::ServiceName, core::Service> limitedServices_;
    std::optional<std::uint64_t> decodedVersion_; // of the last document that was decoded
    std::uint64_t coldEndpointsNow_ = 0; // for which the leader grants allowances
    std::unique_ptr<ReplicaDriver> driver_; // set by open()
    std::map<net::FrameLink *, Peer> incomingLinks_;
    std::map<core::VmId, std::shared_ptr<net::FrameLink>> outgoingLinks_; // the other control VMs
    std::vector<std::shared_ptr<boost::asio::steady_timer>> timers_;
    std::uint64_t appliedCommands_ = 0;
    std::uint64_t heartbeats_ = 0;
    // Answered orders to evacuate data centres (true) and withdrawals (false).
    std::map<std::pair<bool, core::ControlStatus>, std::uint64_t> evacuationOrders_;
    std::uint64_t relayListsSent_ = 0;
    std::uint64_t updateBytesToEntries_ = 0; // of entry updates
    std::uint64_t updateBytesToControlVms_ = 0;
    std::uint64_t workBytesToEntries_ = 0; // of work reports
    std::uint64_t workBytesToControlVms_ = 0;
    // Encoded StateUpdate with the document, which all entries request after a change.
    std::string encodedState_;
    std::uint64_t encodedRevision_ = 0; // of encodedState_
    bool isAnnouncementScheduled_ = false; // a call of announceState() is pending
};

} // namespace fireflyroute::app

#endif

// The control role of a site: one replica of the site's state, what is known of endpoints, and the
// answers to operators, endpoints, entries and other control VMs. Everything runs on the control
// thread.
//
//   Result<std::unique_ptr<SiteControl>> control = SiteControl::open(io, settings, log);
//   control->call(call, [](core::ControlAnswer answer) { ... });
//
// Writes go through the replicated log and are acknowledged once committed. Reads are answered by
// the leader while its lease holds. Heartbeats are taken by any control VM and passed on.

#ifndef FIREFLYROUTE_APP_SITE_CONTROL_H
#define FIREFLYROUTE_APP_SITE_CONTROL_H

#include "app/replica_driver.h"
#include "app/site_settings.h"
#include "app/structured_log.h"
#include "core/control_directory.h"
#include "core/rollout_judge.h"
#include "core/site_calls.h"
#include "core/site_messages.h"
#include "core/state_feed.h"
#include "core/work_exchange.h"
#include "net/frame_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fireflyroute::app {

class SiteControl
{
public:
    using Answered = std::function<void(core::ControlAnswer)>;

    static Result<std::unique_ptr<SiteControl>>
    open(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log);

    // Connects to the other processes and begins to take part.
    Result<void> start();

    void call(const core::ControlCall &call, Answered answered);

    // Takes in changed settings: the seeds may have moved.
    void reload(const SiteSettings &settings);

    // Gives leadership away, before a graceful stop.
    void leave();

    [[nodiscard]] std::string metrics() const;

private:
    // A link that was accepted: from an entry or from another control VM.
    struct Peer
    {
        std::shared_ptr<net::FrameLink> link;
        core::VmId vm; // empty before its greeting
        bool isEntry = false;
        core::StateFeed feed; // of an entry
    };

    SiteControl(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log);

    // Calls.
    void answer(const core::ReplaceConfigCall &call, const Answered &answered);
    void answer(const core::ReadConfigCall &call, const Answered &answered);
    void answer(const core::StartRolloutCall &call, const Answered &answered);
    void answer(const core::ReadRolloutCall &call, const Answered &answered);
    void answer(const core::HeartbeatCall &call, const Answered &answered);
    void answer(const core::LeaveCall &call, const Answered &answered);
    void answer(const core::InvalidCall &call, const Answered &answered);
    [[nodiscard]] core::ControlAnswer notLeader() const;
    void propose(const core::SiteCommand &command, const std::string &what,
                 const Answered &answered);

    // Messages on accepted links.
    void onFrame(net::FrameLink &link, std::string_view frame);
    void take(Peer &peer, const core::Greeting &message);
    void take(Peer &peer, const core::CurrencyProbe &message);
    void take(Peer &peer, const core::EndpointUpdate &message);
    void take(Peer &peer, const core::OutcomeReport &message);
    void take(Peer &peer, const core::WorkReport &message);
    void take(Peer &peer, const core::EntryNews &message);
    void take(Peer &peer, const core::ReplicaMessage &message);
    void take(Peer & /*peer*/, const core::CurrencyReply & /*message*/) {}
    void take(Peer & /*peer*/, const core::StateUpdate & /*message*/) {}

    // State.
    void apply(const std::string &payload);
    void onRole(const core::RoleChanged &changed);
    void connectMembers();
    void send(const core::ReplicaMessage &message);
    void publishState();
    [[nodiscard]] bool isNear(const core::DataCentreId &dataCentre) const;
    void noteRecord(const core::EndpointRecord &record, core::RegistryChange change,
                    bool fromEndpoint);
    void toEntries(const core::SiteMessage &message);
    void toControlVms(const core::SiteMessage &message);
    void every(std::chrono::milliseconds period, const std::function<void()> &task);
    void judgeRollouts();
    void expireSoftState();

    boost::asio::io_context &io_;
    SiteSettings settings_;
    StructuredLog &log_;
    BootClock clock_;
    core::SiteState state_; // committed commands up to the applied one
    core::Instant changedAt_; // when state_ last changed
    core::ControlDirectory directory_;
    core::EndpointRegistry registry_;
    core::RolloutJudge judge_;
    core::WorkExchange exchange_;
    std::unique_ptr<ReplicaDriver> driver_; // set by open()
    std::map<net::FrameLink *, Peer> accepted_;
    std::map<core::VmId, std::shared_ptr<net::FrameLink>> dialled_; // the other control VMs
    std::vector<std::shared_ptr<boost::asio::steady_timer>> timers_;
    std::uint64_t commits_ = 0;
    std::uint64_t heartbeats_ = 0;
    bool publishing_ = false; // publishState() is due to run
};

} // namespace fireflyroute::app

#endif

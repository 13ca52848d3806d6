// The control role of a site: construction, start, and its state. Its other parts are in
// site_control_operator.cpp, site_control_endpoints.cpp and site_control_links.cpp.

#include "app/site_control.h"

#include "net/site_codec.h"

#include <cstdlib>
#include <fmt/format.h>
#include <thread>
#include <utility>

namespace fireflyroute::app {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kExpiryPeriod{500};
constexpr std::chrono::milliseconds kRolloutEvaluationPeriod{200};
constexpr std::chrono::milliseconds kRolloutLogPeriod{1000};
constexpr std::chrono::milliseconds kCrashEvaluationPeriod{100};

// How often the leader looks for endpoints that became cold or warm.
constexpr std::chrono::milliseconds kColdEvaluationPeriod{100};

// How long reported work counts. Covers several report intervals.
constexpr std::chrono::milliseconds kWorkReportLifetime{1000};

// Interval of the sums of work that control VMs send each other.
constexpr std::chrono::milliseconds kWorkRelayPeriod{100};

// How long updates of entries are collected before they are forwarded.
constexpr std::chrono::milliseconds kUpdateRelayPeriod{50};

// How often entries get new lists of relays at most, if there are changes.
constexpr std::chrono::milliseconds kRelayUpdatePeriod{200};

// How long an entry's report of its path to the endpoints counts. Covers several probes.
constexpr std::chrono::milliseconds kPathReportLifetime{1600};

// Delay before the process exits after a storage failure. The process is restarted immediately, so
// without a delay it could restart in a tight loop.
constexpr std::chrono::milliseconds kStorageExitDelay{700};

} // namespace

Result<std::unique_ptr<SiteControl>> SiteControl::open(asio::io_context &io,
                                                       const SiteSettings &settings,
                                                       StructuredLog &log, ConfigDecoder decode)
{
    std::unique_ptr<SiteControl> control(new SiteControl(io, settings, log, std::move(decode)));
    SiteControl *self = control.get();
    ReplicaHooks hooks;
    hooks.apply = [self](const std::string &payload) { self->apply(payload); };
    hooks.load = [self](const std::string &state) {
        net::Result<core::SiteData> data = net::decodeSiteData(state);
        if (!data) {
            LogLine(self->log_, LogKind::Process).add("event", "bad_snapshot");
            std::_Exit(kExitStorage);
        }
        self->state_ = core::SiteState(std::move(data.value()));
        self->announceState();
    };
    hooks.save = [self] { return net::encodeSiteData(self->state_.data()); };
    hooks.send = [self](const core::ReplicaMessage &message) { self->send(message); };
    hooks.roleChanged = [self](const core::RoleChanged &changed) { self->onRoleChanged(changed); };
    hooks.membershipChanged = [self](const core::Membership &membership) {
        LogLine(self->log_, LogKind::Group).add("members", core::describe(membership));
        self->connectControlVms();
    };
    hooks.failed = [self](const std::string &detail) {
        LogLine(self->log_, LogKind::Process).add("event", "stop").add("cause", detail);
        std::this_thread::sleep_for(kStorageExitDelay);
        std::_Exit(kExitStorage);
    };
    ReplicaSettings replica;
    replica.folder = settings.dataFolder;
    replica.self = settings.vm;
    replica.seeds = settings.seedVms();
    replica.mayCreateGroup = settings.firstStart;
    replica.toleratedLosses = settings.toleratedLosses;
    BOOST_OUTCOME_TRY(driver, ReplicaDriver::open(io, replica, std::move(hooks)));
    control->driver_ = std::move(driver);
    return control;
}

SiteControl::SiteControl(asio::io_context &io, const SiteSettings &settings, StructuredLog &log,
                         ConfigDecoder decode)
    : io_(io)
    , settings_(settings)
    , log_(log)
    , decode_(std::move(decode))
    , crashAttribution_(settings.heartbeatInterval)
    , workExchange_(kWorkReportLifetime)
    , relayDirectory_(settings.regions, kPathReportLifetime)
{}

Result<void> SiteControl::start()
{
    net::FrameHandlers handlers;
    handlers.onFrame = [this](net::FrameLink &link, std::string_view frame) {
        onFrame(link, frame);
    };
    handlers.onDisconnected = [this](net::FrameLink &link) { onDisconnected(link); };
    const net::Result<void> listening =
            net::acceptLinks(io_, settings_.linkAddress(settings_.vm), handlers,
                             [this](const std::shared_ptr<net::FrameLink> &link) {
                                 incomingLinks_[link.get()].link = link;
                             });
    if (!listening)
        return fromNet(listening.error());
    driver_->start();
    connectControlVms();
    runEvery(kExpiryPeriod, [this] { expireSoftState(); });
    runEvery(kRolloutEvaluationPeriod, [this] { evaluateRollouts(); });
    runEvery(kRolloutLogPeriod, [this] { logRollouts(); });
    runEvery(kWorkRelayPeriod, [this] { relayWork(); });
    runEvery(kUpdateRelayPeriod, [this] { relayUpdates(); });
    runEvery(kCrashEvaluationPeriod, [this] { evaluateCrashes(); });
    runEvery(kColdEvaluationPeriod, [this] { evaluateColdEndpoints(); });
    runEvery(kRelayUpdatePeriod, [this] { evaluateRelays(); });
    return core::outcome::success();
}

void SiteControl::runEvery(std::chrono::milliseconds period, const std::function<void()> &task)
{
    const auto timer = std::make_shared<asio::steady_timer>(io_);
    timers_.push_back(timer);
    const auto scheduleNext = std::make_shared<std::function<void()>>();
    *scheduleNext = [timer, period, task, weak = std::weak_ptr(scheduleNext)] {
        timer->expires_after(period);
        timer->async_wait([task, locked = weak.lock()](const boost::system::error_code &error) {
            if (error || !locked)
                return;
            task();
            (*locked)();
        });
    };
    (*scheduleNext)();
}

void SiteControl::call(const core::ControlCall &call, AnswerCallback callback)
{
    std::visit([&](const auto &typed) { handleCall(typed, callback); }, call);
}

void SiteControl::handleCall(const core::InvalidCall &call, const AnswerCallback &callback)
{
    LogLine(log_, LogKind::Config).add("order", "invalid").add("problem", call.problem);
    core::ControlAnswer answer;
    answer.status = call.isUnknown ? core::ControlStatus::NotFound : core::ControlStatus::Invalid;
    answer.problem = call.problem;
    callback(answer);
}

void SiteControl::reload(const SiteSettings &settings)
{
    settings_.seeds = settings.seeds;
    driver_->setSeeds(settings_.seedVms());
    connectControlVms();
}

void SiteControl::transferLeadership()
{
    driver_->transferLeadership();
}

void SiteControl::apply(const std::string &payload)
{
    const net::Result<core::SiteCommand> command = net::decodeCommand(payload);
    if (!command) {
        LogLine(log_, LogKind::Process).add("event", "bad_log_entry");
        std::_Exit(kExitStorage);
    }
    ++appliedCommands_;
    state_.apply(command.value());
    announceState();
}

void SiteControl::onRoleChanged(const core::RoleChanged &changed)
{
    LogLine(log_, LogKind::Group)
            .add("role", core::nameOf(changed.role))
            .add("term", static_cast<std::int64_t>(changed.term))
            .add("leader", changed.leader ? changed.leader->vm.value() : std::string());
    if (changed.role == core::ReplicaRole::Leader) {
        rolloutEvaluator_ = core::RolloutJudge();
        crashAttribution_ = core::CrashAttribution(settings_.heartbeatInterval);
        relayDirectory_.forgetLists();
        coldGrantor_.recordElected(clock_.now());
    }
}

std::string SiteControl::metrics() const
{
    const core::Replica &replica = driver_->replica();
    std::string text;
    const auto gauge = [&](std::string_view name, std::uint64_t value) {
        text += fmt::format("fireflyroute_{} {}\n", name, value);
    };
    gauge("control_leader", driver_->isLeader() ? 1 : 0);
    gauge("control_lease", driver_->hasLease() ? 1 : 0);
    gauge("control_term", replica.term());
    gauge("control_commit_index", replica.commitIndex());
    gauge("control_log_bytes", replica.log().bytesAfter(replica.log().baseIndex()));
    gauge("control_snapshot_bytes", replica.snapshot() ? replica.snapshot()->data.size() : 0);
    gauge("control_recovered_bytes", driver_->recoveredBytes());
    gauge("control_members", replica.membership().members.size());
    gauge("control_voters", core::voterCount(replica.membership()));
    gauge("control_commands_total", appliedCommands_);
    gauge("control_heartbeats_total", heartbeats_);
    gauge("control_links_accepted", incomingLinks_.size());
    gauge("control_endpoints", registry_.all().size());
    gauge("control_quarantined", crashAttribution_.state(clock_.now()).quarantined.size());
    gauge("control_entries_isolated", relayDirectory_.isolatedCount());
    gauge("control_cold_endpoints", coldEndpointsNow_);
    gauge("control_relay_lists_sent_total", relayListsSent_);
    gauge("control_update_bytes_to_entries_total", updateBytesToEntries_);
    gauge("control_update_bytes_to_control_vms_total", updateBytesToControlVms_);
    gauge("control_work_bytes_to_entries_total", workBytesToEntries_);
    gauge("control_work_bytes_to_control_vms_total", workBytesToControlVms_);
    gauge("control_prompts_dropped_total", updateRelay_.droppedPrompts());
    gauge("site_revision", state_.data().revision);
    gauge("site_has_config", state_.data().document ? 1 : 0);
    gauge("site_config_version", state_.data().documentVersion().value_or(0));
    gauge("log_lines_dropped_total", log_.droppedTotal());
    text += evacuationMetrics();
    return text;
}

} // namespace fireflyroute::app

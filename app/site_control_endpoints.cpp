// Endpoint calls of the control role: heartbeats and deregistrations, missing heartbeats, and the
// requests that are suspected of crashing endpoints.

#include "app/site_control.h"

#include "net/site_codec.h"

#include <chrono>

namespace fireflyroute::app {

namespace {

// Heartbeats may be delayed by seconds, so an endpoint is considered unresponsive only after
// several missed ones.
constexpr std::chrono::milliseconds kHeartbeatTimeout{5000};

// How long records of deregistered and unresponsive endpoints are kept, so that delayed reports
// about them are recognised.
constexpr std::chrono::seconds kRecordRetention{60};

// How much longer than entries the leader takes an endpoint for cold. An entry that starts later
// takes it for cold from the time that it first sees it.
constexpr std::chrono::seconds kColdMargin{10};

} // namespace

void SiteControl::handleCall(const core::HeartbeatCall &call, const AnswerCallback &callback)
{
    ++heartbeats_;
    publishRecord(call.record, registry_.apply(call.record, clock_.now()), true);
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::Done;
    callback(answer);
}

void SiteControl::handleCall(const core::DeregisterCall &call, const AnswerCallback &callback)
{
    const core::RegistryChange change =
            registry_.deregister(call.id, call.startedAtMs, clock_.now());
    if (const core::EndpointRecord *record = registry_.find(call.id))
        publishRecord(*record, change, true);
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::Done;
    callback(answer);
}

// Forwards each report of an endpoint to all control VMs, so that each of them can detect missing
// heartbeats. Entries receive changes only.
void SiteControl::publishRecord(const core::EndpointRecord &record, core::RegistryChange change,
                                bool fromEndpoint)
{
    if (change == core::RegistryChange::Outdated)
        return;
    if (!record.unresponsive && record.state != core::EndpointRecordState::Removed)
        crashAttribution_.recordHeartbeat(record.id, record.startedAtMs, clock_.now());
    const core::EndpointUpdate update{{record}};
    if (fromEndpoint)
        sendToControlVms(update);
    if (change != core::RegistryChange::Changed)
        return;
    LogLine(log_, LogKind::Endpoint)
            .add("endpoint", record.id.value())
            .add("service", record.service.value())
            .add("address", record.address)
            .add("version", record.version.value())
            .add("state", record.unresponsive ? "silent" : core::nameOf(record.state))
            .add("born_ms", static_cast<std::int64_t>(record.startedAtMs))
            .add("sequence", static_cast<std::int64_t>(record.sequence));
    sendToEntries(update);
}

// Only the leader publishes missing heartbeats: a control VM that is partitioned misses all
// heartbeats.
void SiteControl::expireSoftState()
{
    connectControlVms();
    const std::vector<core::EndpointRecord> timedOut =
            registry_.expire(clock_.now(), kHeartbeatTimeout, kRecordRetention);
    if (!driver_->hasLease())
        return;
    for (const core::EndpointRecord &record : timedOut)
        publishRecord(record, core::RegistryChange::Changed, false);
}

void SiteControl::handleMessage(Peer &peer, const core::CrashReport &message)
{
    const core::Instant now = clock_.now();
    for (const core::EndpointCrash &crash : message.crashes) {
        LogLine(log_, LogKind::Quarantine)
                .add("event", "crash")
                .add("endpoint", crash.endpoint.value())
                .add("born_ms", static_cast<std::int64_t>(crash.startedAtMs))
                .add("from", peer.vm.value())
                .add("traits", core::describe(crash.traits));
        crashAttribution_.recordCrash(crash, now);
    }
    crashAttribution_.recordAnswers(message, now);
    for (const core::QuarantinedTrait &quarantined : message.quarantined)
        crashAttribution_.recordQuarantined(quarantined, now);
    if (!driver_->hasLease())
        return;
    const std::vector<core::RequestTrait> trials =
            crashAttribution_.grantTrials(message.refused, now);
    if (trials.empty())
        return;
    LogLine(log_, LogKind::Quarantine)
            .add("event", "trial")
            .add("entry", peer.vm.value())
            .add("traits", core::describe(trials));
    core::QuarantineState state = crashAttribution_.state(now);
    state.trials = trials;
    peer.link->send(net::encodeMessage(state));
}

void SiteControl::evaluateCrashes()
{
    const core::Instant now = clock_.now();
    if (!driver_->hasLease() || !crashAttribution_.update(now))
        return;
    const core::QuarantineState state = crashAttribution_.state(now);
    LogLine(log_, LogKind::Quarantine)
            .add("event", "changed")
            .add("watched", core::describe(state.watched))
            .add("quarantined", core::describe(state.quarantined));
    sendToEntries(state);
}

void SiteControl::evaluateColdEndpoints()
{
    const std::optional<core::ConfigDocument> &document = state_.data().document;
    if (document && document->version != decodedVersion_) {
        decodedVersion_ = document->version;
        if (const auto config = decode_(document->bytes.value())) {
            limitedServices_.clear();
            for (const core::Service &service : config->services) {
                if (service.coldPerSecond > 0)
                    limitedServices_.emplace(service.name, service);
            }
        }
    }
    const core::Instant now = clock_.now();
    std::vector<core::ColdEndpointAllowance> cold;
    std::set<core::EndpointId> limited;
    if (!limitedServices_.empty()) {
        for (const core::EndpointRecord &record : registry_.all()) {
            const auto service = limitedServices_.find(record.service);
            const bool isLimited = service != limitedServices_.end()
                                   && record.state == core::EndpointRecordState::Ready;
            if (!isLimited)
                continue;
            limited.insert(record.id);
            coldEndpoints_.observe(record, now, clock_.wallNow());
            if (coldEndpoints_.isCold(record.id, service->second.coldStart + kColdMargin, now))
                cold.push_back({record.id, core::coldParts(service->second.coldPerSecond)});
        }
    }
    coldEndpoints_.retain(limited);
    coldEndpointsNow_ = cold.size();
    coldGrantor_.setEndpoints(std::move(cold), now);
}

} // namespace fireflyroute::app

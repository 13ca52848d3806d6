// Operator calls of the control role: configurations and roll-outs, and the replicated commands
// that they propose.

#include "app/site_control.h"

#include "net/site_codec.h"

#include <fmt/format.h>

namespace fireflyroute::app {

core::ControlAnswer SiteControl::notLeaderAnswer() const
{
    const std::optional<core::ReplicaId> &leader = driver_->replica().leader();
    core::ControlAnswer answer;
    if (!leader || leader->vm == settings_.vm) {
        answer.problem = "no leader is known";
        return answer;
    }
    answer.status = core::ControlStatus::Redirect;
    const std::string &localAddress = settings_.controlAddress;
    answer.address = leader->vm.value() + localAddress.substr(localAddress.rfind(':'));
    return answer;
}

void SiteControl::propose(const core::SiteCommand &command, const std::string &description,
                          const AnswerCallback &callback)
{
    if (!driver_->isLeader()) {
        callback(notLeaderAnswer());
        return;
    }
    const core::Instant startedAt = clock_.now();
    driver_->propose(net::encodeCommand(command),
                     [this, description, callback, startedAt](core::ProposalOutcome outcome) {
                         LogLine(log_, LogKind::Config)
                                 .add("order", description)
                                 .add("outcome", core::nameOf(outcome))
                                 .add("took_ms", core::toMillis(clock_.now() - startedAt));
                         core::ControlAnswer answer;
                         if (outcome == core::ProposalOutcome::Committed)
                             answer.status = core::ControlStatus::Done;
                         else
                             answer.problem = core::nameOf(outcome);
                         callback(answer);
                     });
}

void SiteControl::handleCall(const core::ReplaceConfigCall &call, const AnswerCallback &callback)
{
    const core::SiteData &current = state_.data();
    const std::uint64_t version = call.document.version;
    if (driver_->isLeader() && current.documentVersion() >= version) {
        LogLine(log_, LogKind::Config)
                .add("order", fmt::format("config {}", version))
                .add("outcome", "known")
                .add("held_version", core::describeDocumentVersion(current));
        core::ControlAnswer answer;
        answer.status = core::ControlStatus::Done;
        callback(answer);
        return;
    }
    const Peer *earlierBuild = version == 0 ? findPeerWithoutVersionZero() : nullptr;
    if (driver_->isLeader() && earlierBuild) {
        LogLine(log_, LogKind::Config)
                .add("order", "config 0")
                .add("outcome", "not_held_by_all")
                .add("peer", earlierBuild->vm.value());
        core::ControlAnswer answer;
        answer.problem = fmt::format("control VM {} is of a build that takes version 0 for no "
                                     "configuration",
                                     earlierBuild->vm.value());
        callback(answer);
        return;
    }
    propose(core::PutDocument{call.document}, fmt::format("config {}", version), callback);
}

const SiteControl::Peer *SiteControl::findPeerWithoutVersionZero() const
{
    for (const auto &[link, peer] : incomingLinks_) {
        const bool isControlVm = !peer.vm.empty() && !peer.isEntry;
        if (isControlVm && !peer.holdsVersionZero)
            return &peer;
    }
    return nullptr;
}

void SiteControl::handleCall(const core::ReadConfigCall & /*call*/, const AnswerCallback &callback)
{
    if (!driver_->hasLease()) {
        callback(notLeaderAnswer());
        return;
    }
    core::ControlAnswer answer;
    if (const std::optional<core::ConfigDocument> &document = state_.data().document) {
        answer.status = core::ControlStatus::Done;
        answer.document = document->bytes.value();
    }
    callback(answer);
}

void SiteControl::handleCall(const core::StartRolloutCall &call, const AnswerCallback &callback)
{
    core::SiteRollout rollout;
    rollout.service = call.service;
    rollout.target = call.target;
    rollout.durationMs = call.durationMs;
    rollout.orderedAtMs = clock_.wallNow().time_since_epoch().count();
    propose(core::StartSiteRollout{rollout},
            fmt::format("rollout {} to {}", call.service.value(), call.target.value()), callback);
}

void SiteControl::handleCall(const core::ReadRolloutCall &call, const AnswerCallback &callback)
{
    if (!driver_->hasLease()) {
        callback(notLeaderAnswer());
        return;
    }
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::NotFound;
    const auto found = state_.data().rollouts.find(call.service);
    if (found != state_.data().rollouts.end()) {
        answer.status = core::ControlStatus::Done;
        answer.rollout = found->second;
    }
    callback(answer);
}

void SiteControl::evaluateRollouts()
{
    if (!driver_->hasLease())
        return;
    for (const core::SetRolloutStage &transition :
         rolloutEvaluator_.step(state_.data(), clock_.now(), clock_.wallNow())) {
        LogLine(log_, LogKind::Rollout)
                .add("service", transition.service.value())
                .add("stage", core::nameOf(transition.stage))
                .add("evidence", rolloutEvaluator_.describe(transition.service));
        propose(transition, fmt::format("rollout {}", transition.service.value()),
                [](const core::ControlAnswer &) {});
    }
}

void SiteControl::logRollouts()
{
    if (!driver_->hasLease())
        return;
    for (const auto &[service, rollout] : state_.data().rollouts) {
        if (rollout.isFinal())
            continue;
        LogLine(log_, LogKind::Rollout)
                .add("service", service.value())
                .add("stage", core::nameOf(rollout.stage))
                .add("target", rollout.target.value())
                .add("evidence", rolloutEvaluator_.describe(service));
    }
}

} // namespace fireflyroute::app

// Calls of operators that order the evacuation of a data centre, withdraw the order, or list the
// evacuated data centres, and their metrics.

#include "app/site_control.h"

#include <fmt/format.h>
#include <utility>

namespace fireflyroute::app {

void SiteControl::handleCall(const core::SetEvacuationCall &call, const AnswerCallback &callback)
{
    const AnswerCallback counted = [this, call, callback](core::ControlAnswer answer) {
        ++evacuationOrders_[{call.isEvacuated, answer.status}];
        LogLine(log_, LogKind::Evacuation)
                .add("order", call.isEvacuated ? "start" : "finish")
                .add("data_centre", call.dataCentre.value())
                .add("status", core::nameOf(answer.status))
                .add("problem", answer.problem)
                .add("leader", answer.address)
                .add("evacuated", static_cast<std::int64_t>(state_.data().evacuations.size()))
                .add("revision", static_cast<std::int64_t>(state_.data().revision));
        callback(std::move(answer));
    };
    // A withdrawal that can change nothing writes no log entry, which control VMs of builds without
    // evacuations could not read. Entries of the log that are not applied yet may hold an order.
    const core::Replica &replica = driver_->replica();
    const bool isLogApplied = replica.appliedIndex() == replica.log().lastIndex();
    const bool hasNoOrder = driver_->hasLease() && isLogApplied
                            && !state_.data().evacuations.contains(call.dataCentre);
    if (!call.isEvacuated && hasNoOrder) {
        core::ControlAnswer answer;
        answer.status = core::ControlStatus::Done;
        counted(std::move(answer));
        return;
    }
    propose(core::SetEvacuation{call.dataCentre, call.isEvacuated,
                                clock_.wallNow().time_since_epoch().count()},
            fmt::format("evacuation {} {}", call.isEvacuated ? "start" : "finish",
                        call.dataCentre.value()),
            counted);
}

void SiteControl::handleCall(const core::ReadEvacuationsCall & /*call*/,
                             const AnswerCallback &callback)
{
    if (!driver_->hasLease()) {
        callback(notLeaderAnswer());
        return;
    }
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::Done;
    answer.evacuations = state_.data().evacuations;
    callback(answer);
}

std::string SiteControl::evacuationMetrics() const
{
    std::string text =
            fmt::format("fireflyroute_control_evacuations {}\n", state_.data().evacuations.size());
    for (const auto &[order, count] : evacuationOrders_)
        text += fmt::format("fireflyroute_control_evacuation_orders_total"
                            "{{order=\"{}\",status=\"{}\"}} {}\n",
                            order.first ? "start" : "finish", core::nameOf(order.second), count);
    return text;
}

} // namespace fireflyroute::app

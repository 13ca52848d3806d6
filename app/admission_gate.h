// Thread-safe admission control. A mutex protects the core's admission state machine; each decision
// is delivered to the callback of the request that it concerns.
//
//   gate.enqueue(request, [session](const AdmissionGate::Decision &decision) { ... });
//   gate.release(id, tokens);

#ifndef FIREFLYROUTE_APP_ADMISSION_GATE_H
#define FIREFLYROUTE_APP_ADMISSION_GATE_H

#include "app/system_clock.h"
#include "core/admission/admission.h"
#include "core/endpoints/directory.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace fireflyroute::app {

class AdmissionGate
{
public:
    using Decision = std::variant<core::DispatchRequest, core::RefuseRequest>;
    using DecisionCallback = std::function<void(const Decision &)>;

    AdmissionGate(const SystemClock &clock, const core::VmId &vm, core::Incarnation incarnation)
        : clock_(clock)
        , admission_(vm, incarnation)
    {}

    // Runs the callback once, on a traffic thread, unless the request is released first.
    void enqueue(const core::AdmissionRequest &request, DecisionCallback callback);

    // Ends the request, whether it was finished or cancelled. `tokens` is the number of tokens that
    // it used. Idempotent.
    void release(const core::RequestId &id, std::uint64_t tokens);

    void configure(const core::FleetConfig &config);

    // Sets the share of the total endpoint slots that this entry may use.
    void setCapacity(const core::DirectoryView &directory, std::uint32_t defaultConcurrency,
                     std::size_t entries);

    void tick();
    [[nodiscard]] core::UsageReport usageReport();

    // Applies the usage that another entry reported `age` ago.
    void receive(const core::UsageReport &report, core::Duration age);
    [[nodiscard]] core::AdmissionCounters counters();

private:
    void step(const core::AdmissionInput &input);

    const SystemClock &clock_;
    std::mutex mutex_; // guards the fields below
    core::Admission<> admission_;
    std::unordered_map<core::RequestId, DecisionCallback> pendingCallbacks_;
    std::map<core::PoolId, std::uint32_t> poolSlots_; // last reported to admission_
};

// The admission pool of a model or of a plain service.
[[nodiscard]] core::PoolId poolOf(const core::ModelName &model);
[[nodiscard]] core::PoolId poolOf(const core::ServiceName &service);

} // namespace fireflyroute::app

#endif

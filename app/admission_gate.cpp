// Thread-safe admission control.

#include "app/admission_gate.h"

#include "net/http_listener.h"

#include <set>

namespace fireflyroute::app {

core::PoolId poolOf(const core::ModelName &model)
{
    return core::PoolId("model/" + model.value());
}

core::PoolId poolOf(const core::ServiceName &service)
{
    return core::PoolId("service/" + service.value());
}

void AdmissionGate::enqueue(const core::AdmissionRequest &request, DecisionCallback callback)
{
    {
        const std::scoped_lock lock(mutex_);
        pendingCallbacks_[request.id] = std::move(callback);
    }
    step(core::RequestArrived{request});
}

void AdmissionGate::release(const core::RequestId &id, std::uint64_t tokens)
{
    bool wasQueued = false;
    {
        const std::scoped_lock lock(mutex_);
        wasQueued = pendingCallbacks_.erase(id) > 0;
    }
    if (wasQueued)
        step(core::AdmissionCancelled{id});
    else
        step(core::RequestFinished{id, tokens});
}

void AdmissionGate::configure(const core::FleetConfig &config)
{
    const std::scoped_lock lock(mutex_);
    admission_.configure(config, clock_.now());
}

void AdmissionGate::setCapacity(const core::DirectoryView &directory,
                                std::uint32_t defaultConcurrency, std::size_t entries)
{
    std::map<core::PoolId, std::uint32_t> slotsByPool;
    for (const core::EndpointState &state : directory.endpoints) {
        const std::uint32_t reported = state.lastAnnouncement.load.concurrency;
        const std::uint32_t slots = reported > 0 ? reported : defaultConcurrency;
        std::set<core::PoolId> pools;
        for (const core::ModelVersion &version : state.lastAnnouncement.versions)
            pools.insert(poolOf(version.model));
        for (const core::ServiceName &service : state.lastAnnouncement.services)
            pools.insert(poolOf(service));
        for (const core::PoolId &pool : pools)
            slotsByPool[pool] += slots;
    }
    std::vector<core::CapacityChanged> changes;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto &[pool, slots] : poolSlots_)
            slotsByPool.try_emplace(pool, 0);
        for (auto &[pool, slots] : slotsByPool) {
            const auto entryCount = static_cast<std::uint32_t>(std::max<std::size_t>(entries, 1));
            const std::uint32_t share = (slots + entryCount - 1) / entryCount;
            if (poolSlots_[pool] == share && share != 0)
                continue;
            poolSlots_[pool] = share;
            changes.push_back(core::CapacityChanged{pool, share});
        }
    }
    for (const core::CapacityChanged &change : changes)
        step(change);
}

void AdmissionGate::tick()
{
    step(core::AdmissionTick{});
}

core::UsageReport AdmissionGate::usageReport()
{
    const std::scoped_lock lock(mutex_);
    return admission_.usageReport();
}

void AdmissionGate::receive(const core::UsageReport &report, core::Duration age)
{
    step(core::UsageReported{report, age});
}

core::AdmissionCounters AdmissionGate::counters()
{
    const std::scoped_lock lock(mutex_);
    return admission_.counters();
}

void AdmissionGate::step(const core::AdmissionInput &input)
{
    const std::scoped_lock lock(mutex_);
    for (const core::AdmissionAction &action : admission_.step(input, clock_.now())) {
        const core::RequestId id =
                std::visit([](const auto &typedAction) { return typedAction.id; }, action);
        const auto found = pendingCallbacks_.find(id);
        if (found == pendingCallbacks_.end())
            continue;
        DecisionCallback callback = std::move(found->second);
        pendingCallbacks_.erase(found);
        net::runOnTrafficThread([callback = std::move(callback), action] { callback(action); });
    }
}

} // namespace fireflyroute::app

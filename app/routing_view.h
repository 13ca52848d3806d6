// Immutable snapshot of configuration, directory and lease on which the traffic threads base their
// decisions. The control thread publishes a new snapshot for each change.

#ifndef FIREFLYROUTE_APP_ROUTING_VIEW_H
#define FIREFLYROUTE_APP_ROUTING_VIEW_H

#include "core/balancing/endpoint_choice_index.h"
#include "core/config/control_messages.h"
#include "core/config/fleet_config.h"
#include "core/endpoints/directory.h"
#include "core/leases/lease_holder.h"

#include <memory>
#include <mutex>
#include <vector>

namespace fireflyroute::app {

struct RoutingView
{
    std::shared_ptr<const core::FleetConfig> config = std::make_shared<core::FleetConfig>();
    std::shared_ptr<const core::DirectoryView> directory = std::make_shared<core::DirectoryView>();
    // Index of `directory`, relative to this entry's data centre. Null only before the first view.
    std::shared_ptr<const core::EndpointIndex> index;
    core::DispatchPermit permit;
    std::vector<core::VmAddress> entries; // live entries, according to the leader's last reply
    bool draining = false; // the entry is shutting down and refuses new requests
};

// Holds the current view. Uses a mutex because the standard library's atomic shared pointer spins
// in load().
class ViewHolder
{
public:
    [[nodiscard]] std::shared_ptr<const RoutingView> get() const
    {
        const std::scoped_lock lock(mutex_);
        return view_;
    }

    void set(std::shared_ptr<const RoutingView> view)
    {
        const std::scoped_lock lock(mutex_);
        view_ = std::move(view);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const RoutingView> view_ = std::make_shared<RoutingView>(); // never null
};

} // namespace fireflyroute::app

#endif

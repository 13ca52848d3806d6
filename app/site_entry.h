// The control side of an entry: connections to the control VMs, the state of the site as they tell
// it, the proof that it is current, and what is known of endpoints. Runs on the control thread and
// hands immutable views to the traffic thread.
//
//   SiteEntry entry(io, settings, log, decodeConfig, outputs);
//   entry.start();
//
// States only move forward. An entry that can't prove that its state is current says so within the
// key lease, and takes no requests that need a key.

#ifndef FIREFLYROUTE_APP_SITE_ENTRY_H
#define FIREFLYROUTE_APP_SITE_ENTRY_H

#include "app/site_settings.h"
#include "app/structured_log.h"
#include "app/system_clock.h"
#include "core/config_currency.h"
#include "core/control_directory.h"
#include "core/site_messages.h"
#include "core/site_view.h"
#include "net/frame_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyroute::app {

// Reads a configuration document; null if it can't be read.
using ConfigDecoder = std::function<std::shared_ptr<const core::SiteConfig>(std::string_view)>;

struct EntryOutputs
{
    std::function<void(std::shared_ptr<const core::SiteView>)> viewChanged;
    std::function<void(core::Instant)> currentUntil;
    std::function<void(core::WorkReport)> othersWork;
    std::function<void(core::EntryNews)> othersNews;
};

class SiteEntry
{
public:
    SiteEntry(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log,
              ConfigDecoder decode, EntryOutputs outputs);

    void start();

    // Takes in changed settings: the seeds may have moved.
    void reload(const SiteSettings &settings);

    // Whether requests can be served now.
    [[nodiscard]] bool isReady() const;

    // Sends a report to the leader; dropped if none is known.
    void tellLeader(const core::SiteMessage &report);

    // Whether a roll-out needs outcomes.
    [[nodiscard]] bool isRolloutUnderWay() const;

    [[nodiscard]] std::string metrics() const;

private:
    struct ControlLink
    {
        std::shared_ptr<net::FrameLink> link;
        core::Instant heardAt;
    };

    void connect();
    void onFrame(const core::VmId &vm, std::string_view frame);
    void take(const core::VmId &vm, const core::CurrencyReply &message);
    void take(const core::VmId &vm, const core::StateUpdate &message);
    void take(const core::VmId &vm, const core::EndpointUpdate &message);
    void take(const core::VmId & /*vm*/, const core::WorkReport &message)
    {
        outputs_.othersWork(message);
    }
    void take(const core::VmId & /*vm*/, const core::EntryNews &message)
    {
        outputs_.othersNews(message);
    }
    template<typename Other>
    void take(const core::VmId & /*vm*/, const Other & /*message*/)
    {}
    void probe();
    [[nodiscard]] core::CurrencyProbe currencyProbe() const;
    void tellCurrency();
    void publishView();

    boost::asio::io_context &io_;
    SiteSettings settings_;
    StructuredLog &log_;
    BootClock clock_;
    const ConfigDecoder decode_;
    const EntryOutputs outputs_;
    boost::asio::steady_timer probeTimer_;
    std::map<core::VmId, ControlLink> links_;
    core::ControlDirectory directory_;
    core::VmId leader_; // that last proved itself; empty before
    core::SiteData state_; // the newest one taken; its revision never decreases
    std::shared_ptr<const core::SiteTable> table_; // of state_.document; null before the first
    core::EndpointRegistry registry_;
    core::ConfigCurrency currency_;
    std::uint64_t nonce_ = 0;
    bool wasCurrent_ = false; // as last logged
};

} // namespace fireflyroute::app

#endif

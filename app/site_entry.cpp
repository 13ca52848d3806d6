// Connections of an entry to the control VMs.

#include "app/site_entry.h"

#include "net/address.h"
#include "net/site_codec.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace fireflyroute::app {

namespace {

// Between two questions whether the state is current. Several fit into the key lease.
constexpr std::chrono::milliseconds kProbePeriod{400};

// A control VM that answers nothing for so long is dialled anew: the connection may have gone
// silent.
constexpr std::chrono::milliseconds kLinkSilence{1600};

// How long ended endpoints are remembered, so that late reports of them are known.
constexpr std::chrono::seconds kRetention{90};

} // namespace

SiteEntry::SiteEntry(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log,
                     ConfigDecoder decode, EntryOutputs outputs)
    : io_(io)
    , settings_(settings)
    , log_(log)
    , decode_(std::move(decode))
    , outputs_(std::move(outputs))
    , probeTimer_(io)
    , currency_(settings.keyLease)
{}

void SiteEntry::start()
{
    connect();
    probe();
}

void SiteEntry::reload(const SiteSettings &settings)
{
    settings_.seeds = settings.seeds;
    connect();
}

// Dials wanted control VMs that have no link yet, and lets go of the others.
void SiteEntry::connect()
{
    directory_.setSeeds(settings_.seedVms());
    const std::set<core::VmId> wanted = directory_.wanted(clock_.now());
    for (auto it = links_.begin(); it != links_.end();) {
        if (wanted.contains(it->first)) {
            ++it;
            continue;
        }
        it->second.link->stop();
        it = links_.erase(it);
    }
    for (const core::VmId &vm : wanted) {
        if (links_.contains(vm))
            continue;
        const auto address = net::parseAddress(settings_.linkAddress(vm));
        if (!address) {
            LogLine(log_, LogKind::Link).add("event", "bad_address").add("peer", vm.value());
            continue;
        }
        net::FrameHandlers handlers;
        handlers.opened = [this, vm](net::FrameLink &link) {
            links_[vm].heardAt = clock_.now();
            LogLine(log_, LogKind::Link).add("event", "regained").add("peer", vm.value());
            link.send(net::encodeMessage(core::Greeting{settings_.vm, true, settings_.dataCentre}));
            link.send(net::encodeMessage(currencyProbe()));
        };
        handlers.frame = [this, vm](net::FrameLink &, std::string_view frame) {
            onFrame(vm, frame);
        };
        handlers.lost = [this, vm](net::FrameLink &) {
            LogLine(log_, LogKind::Link).add("event", "lost").add("peer", vm.value());
        };
        const auto link = std::make_shared<net::FrameLink>(io_, handlers);
        links_[vm] = ControlLink{link, clock_.now()};
        link->dial(address.value());
    }
}

core::CurrencyProbe SiteEntry::currencyProbe() const
{
    return {nonce_, state_.revision, state_.document.version};
}

void SiteEntry::probe()
{
    const core::Instant now = clock_.now();
    currency_.asked(++nonce_, now);
    const std::string bytes = net::encodeMessage(currencyProbe());
    for (auto &[vm, control] : links_) {
        if (control.link->isOpen() && now - control.heardAt > kLinkSilence) {
            control.heardAt = now;
            control.link->reset();
        } else {
            control.link->send(bytes);
        }
    }
    tellCurrency();
    (void)registry_.expire(now, kRetention, kRetention);
    probeTimer_.expires_after(kProbePeriod);
    probeTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            probe();
    });
}

void SiteEntry::onFrame(const core::VmId &vm, std::string_view frame)
{
    const net::Result<core::SiteMessage> message = net::decodeMessage(frame);
    const auto control = links_.find(vm);
    if (control == links_.end())
        return;
    if (!message) {
        LogLine(log_, LogKind::Link).add("event", "malformed").add("peer", vm.value());
        control->second.link->reset();
        return;
    }
    control->second.heardAt = clock_.now();
    std::visit([&](const auto &typed) { take(vm, typed); }, message.value());
}

void SiteEntry::take(const core::VmId &vm, const core::CurrencyReply &message)
{
    for (const core::VmId &member : message.controlVms)
        directory_.heardOf(member, clock_.now());
    if (message.authoritative) {
        leader_ = vm;
        directory_.setMembers(message.controlVms);
        currency_.answered(message.nonce, message.newest, state_.revision);
        tellCurrency();
    }
    connect();
}

void SiteEntry::take(const core::VmId &vm, const core::StateUpdate &message)
{
    const bool isMissing =
            message.sameDocument && message.data.document.version != state_.document.version;
    if (message.data.revision <= state_.revision || isMissing)
        return;
    const bool isNewConfig = message.data.document.version != state_.document.version;
    if (isNewConfig) {
        auto config = decode_(message.data.document.bytes);
        LogLine(log_, LogKind::Config)
                .add("event", config ? "taken" : "unreadable")
                .add("version", static_cast<std::int64_t>(message.data.document.version))
                .add("revision", static_cast<std::int64_t>(message.data.revision))
                .add("from", vm.value());
        if (!config)
            return;
        table_ = std::make_shared<const core::SiteTable>(std::move(config));
    }
    for (const auto &[service, rollout] : message.data.rollouts) {
        const auto known = state_.rollouts.find(service);
        if (known != state_.rollouts.end() && known->second == rollout)
            continue;
        LogLine(log_, LogKind::Rollout)
                .add("service", service.value())
                .add("target", rollout.target.value())
                .add("stage", core::nameOf(rollout.stage))
                .add("revision", static_cast<std::int64_t>(message.data.revision));
    }
    core::ConfigDocument held = std::move(state_.document);
    state_ = message.data;
    if (message.sameDocument)
        state_.document = std::move(held);
    currency_.took(state_.revision);
    publishView();
    tellCurrency();
}

void SiteEntry::take(const core::VmId &vm, const core::EndpointUpdate &message)
{
    bool isNews = false;
    for (const core::EndpointRecord &record : message.records) {
        if (registry_.apply(record, clock_.now()) != core::RegistryChange::Changed)
            continue;
        isNews = true;
        LogLine(log_, LogKind::Endpoint)
                .add("endpoint", record.id.value())
                .add("address", record.address)
                .add("state", record.silent ? "silent" : core::nameOf(record.state))
                .add("sequence", static_cast<std::int64_t>(record.sequence))
                .add("from", vm.value());
    }
    if (isNews)
        publishView();
}

void SiteEntry::publishView()
{
    auto view = std::make_shared<core::SiteView>();
    view->revision = state_.revision;
    view->table = table_;
    view->rollouts = state_.rollouts;
    for (core::EndpointRecord &record : registry_.all()) {
        if (record.state != core::EndpointState::Gone)
            view->endpoints[record.service].push_back(std::move(record));
    }
    outputs_.viewChanged(std::move(view));
}

void SiteEntry::tellCurrency()
{
    const core::Instant until = currency_.validUntil();
    const core::Instant now = clock_.now();
    outputs_.currentUntil(until);
    const bool isCurrent = now < until;
    if (isCurrent == wasCurrent_)
        return;
    wasCurrent_ = isCurrent;
    LogLine(log_, LogKind::Currency)
            .add("current", isCurrent ? "yes" : "no")
            .add("revision", static_cast<std::int64_t>(state_.revision))
            .add("leader", leader_.value());
}

bool SiteEntry::isReady() const
{
    return table_ && clock_.now() < currency_.validUntil();
}

bool SiteEntry::isRolloutUnderWay() const
{
    return std::any_of(state_.rollouts.begin(), state_.rollouts.end(),
                       [](const auto &one) { return !one.second.isFinal(); });
}

void SiteEntry::tellLeader(const core::SiteMessage &report)
{
    const auto leader = links_.find(leader_);
    if (leader != links_.end())
        leader->second.link->send(net::encodeMessage(report));
}

std::string SiteEntry::metrics() const
{
    std::size_t open = 0;
    for (const auto &[vm, control] : links_)
        open += control.link->isOpen() ? 1 : 0;
    return fmt::format("fireflyroute_site_revision {}\nfireflyroute_site_config_version {}\n"
                       "fireflyroute_entry_ready {}\nfireflyroute_entry_control_links {}\n"
                       "fireflyroute_log_lines_dropped_total {}\n",
                       state_.revision, state_.document.version, isReady() ? 1 : 0, open,
                       log_.dropped());
}

} // namespace fireflyroute::app

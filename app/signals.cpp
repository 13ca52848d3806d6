// Waits for signals and polls the settings file.

#include "app/signals.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>

namespace fireflyroute::app {

namespace {

// Interval for polling the settings file; the platform provides no notification of file changes.
constexpr std::chrono::milliseconds kSettingsPollPeriod{1000};

// The arrival of a late signal is known to two such periods. An entry takes streams until 2.8 s
// after the signal, and must not cut those that are sent later than 3 s after it.
constexpr std::chrono::milliseconds kTurnPeriod{50};

} // namespace

ProcessSignals::ProcessSignals(boost::asio::io_context &io, StructuredLog &log,
                               std::function<void(const SiteSettings &)> reload,
                               std::function<void(core::Instant)> stop)
    : log_(log)
    , signals_(io, SIGTERM, SIGINT, SIGHUP)
    , timer_(io)
    , turnTimer_(io)
    , turns_(kTurnPeriod, clock_.now())
    , reload_(std::move(reload))
    , stop_(std::move(stop))
    , lastContents_(readFile())
{
    awaitSignal();
    watchFile();
    watchTurns();
}

void ProcessSignals::awaitSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            reloadSettings("signal");
        } else if (!stopping_) {
            stopping_ = true;
            const core::Instant now = clock_.now();
            const core::Instant arrivedAt = turns_.earliestArrival(now);
            LogLine(log_, LogKind::Process)
                    .add("event", "stopping")
                    .add("late_ms", core::toMillis(now - arrivedAt));
            stop_(arrivedAt);
        }
        awaitSignal();
    });
}

void ProcessSignals::watchFile()
{
    timer_.expires_after(kSettingsPollPeriod);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        if (readFile() != lastContents_)
            reloadSettings("file");
        watchFile();
    });
}

void ProcessSignals::watchTurns()
{
    turns_.recordTurn(clock_.now());
    turnTimer_.expires_after(kTurnPeriod);
    turnTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            watchTurns();
    });
}

void ProcessSignals::reloadSettings(std::string_view cause)
{
    lastContents_ = readFile();
    const Result<SiteSettings> settings = reloadSiteSettings();
    LogLine(log_, LogKind::Process)
            .add("event", settings ? "reload" : "reload_refused")
            .add("cause", settings ? cause : std::string_view(settings.error().detail));
    if (settings)
        reload_(settings.value());
}

std::string ProcessSignals::readFile()
{
    std::ifstream file(settingsFile());
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace fireflyroute::app

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

} // namespace

ProcessSignals::ProcessSignals(boost::asio::io_context &io, StructuredLog &log,
                               std::function<void(const SiteSettings &)> reload,
                               std::function<void()> stop)
    : log_(log)
    , signals_(io, SIGTERM, SIGINT, SIGHUP)
    , timer_(io)
    , reload_(std::move(reload))
    , stop_(std::move(stop))
    , lastContents_(readFile())
{
    awaitSignal();
    watchFile();
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
            LogLine(log_, LogKind::Process).add("event", "stopping");
            stop_();
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

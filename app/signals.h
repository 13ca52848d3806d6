// Signal handling of a site process, and its settings file: SIGTERM and SIGINT stop the process,
// SIGHUP and any change of the file reload the settings.

#ifndef FIREFLYROUTE_APP_SIGNALS_H
#define FIREFLYROUTE_APP_SIGNALS_H

#include "app/site_settings.h"
#include "app/structured_log.h"
#include "app/system_clock.h"
#include "core/stop/turn_watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace fireflyroute::app {

class ProcessSignals
{
public:
    // `stop` is told when the signal arrived, which may be a while ago if the thread was held up.
    ProcessSignals(boost::asio::io_context &io, StructuredLog &log,
                   std::function<void(const SiteSettings &)> reload,
                   std::function<void(core::Instant)> stop);

private:
    void awaitSignal();
    void watchFile();
    void watchTurns();
    void reloadSettings(std::string_view cause);
    [[nodiscard]] static std::string readFile();

    StructuredLog &log_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer turnTimer_;
    BootClock clock_;
    core::TurnWatch turns_;
    std::function<void(const SiteSettings &)> reload_;
    std::function<void(core::Instant)> stop_;
    std::string lastContents_; // contents of the settings file when last read
    bool stopping_ = false;
};

} // namespace fireflyroute::app

#endif

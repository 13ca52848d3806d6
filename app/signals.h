// Signal handling of a site process, and its settings file: SIGTERM and SIGINT stop the process,
// SIGHUP and any change of the file reload the settings.

#ifndef FIREFLYROUTE_APP_SIGNALS_H
#define FIREFLYROUTE_APP_SIGNALS_H

#include "app/site_settings.h"
#include "app/structured_log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace fireflyroute::app {

class ProcessSignals
{
public:
    ProcessSignals(boost::asio::io_context &io, StructuredLog &log,
                   std::function<void(const SiteSettings &)> reload, std::function<void()> stop);

private:
    void awaitSignal();
    void watchFile();
    void reloadSettings(std::string_view cause);
    [[nodiscard]] static std::string readFile();

    StructuredLog &log_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    std::function<void(const SiteSettings &)> reload_;
    std::function<void()> stop_;
    std::string lastContents_; // contents of the settings file when last read
    bool stopping_ = false;
};

} // namespace fireflyroute::app

#endif

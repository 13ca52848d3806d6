// Common parts of the stand-ins: announcing an endpoint to entries by HTTP heartbeats, and waiting
// for a termination signal.
//
//   Announcer announcer(entries, secret, [&] { return describe(); });
//   announcer.start();

#ifndef FIREFLYROUTE_TESTING_STAND_IN_H
#define FIREFLYROUTE_TESTING_STAND_IN_H

#include "core/endpoints/endpoint.h"
#include "net/http_listener.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fireflyroute::testing {

// Sends the announcement of an endpoint to each entry periodically. `describe` returns the
// announcement without incarnation and sequence number.
class Announcer
{
public:
    using Describe = std::function<core::EndpointAnnouncement()>;

    static constexpr std::chrono::milliseconds kAnnouncementPeriod{500};

    Announcer(std::vector<std::string> entries, std::string secret, Describe describe);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    void start();

    // Sends the announcement immediately instead of at the end of the current period.
    void announceNow();

private:
    void run();
    void send();

    const std::vector<std::string> entries_;
    const std::string secret_;
    const Describe describe_;
    const core::Incarnation incarnation_;
    std::uint64_t sequence_ = 0;

    std::mutex mutex_; // guards the fields below
    std::condition_variable wakeUp_;
    bool announceRequested_ = false;
    bool stopping_ = false;
    std::thread thread_;
};

// Blocks the termination signals and starts the threads that run handlers. Call it first in main().
void initStandIn();

// Listens, sends announcements, and exits the process at the first termination signal. Returns an
// exit code if the address can't be bound.
int serveStandIn(const std::string &listen, const net::HttpListener::Handler &handler,
                 Announcer &announcer);

// Reads a secret from a file; empty for an empty path. Exits the process if the file can't be read.
std::string readSecretFile(const std::string &path);

std::vector<std::string> splitList(const std::string &text);

} // namespace fireflyroute::testing

#endif

// Heartbeats and signal handling of stand-ins.

#include "testing/stand_in.h"

#include "net/endpoint_json.h"
#include "net/http_client.h"
#include "net/text_json.h"

#include <boost/algorithm/string.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <utility>

namespace fireflyroute::testing {

namespace {

core::Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return core::Incarnation(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
}

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

Announcer::Announcer(std::vector<std::string> entries, std::string secret, Describe describe)
    : entries_(std::move(entries))
    , secret_(std::move(secret))
    , describe_(std::move(describe))
    , incarnation_(newIncarnation())
{}

Announcer::~Announcer()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        wakeUp_.notify_all();
    }
    if (thread_.joinable())
        thread_.join();
}

void Announcer::start()
{
    thread_ = std::thread([this] { run(); });
}

void Announcer::announceNow()
{
    const std::scoped_lock lock(mutex_);
    announceRequested_ = true;
    wakeUp_.notify_all();
}

void Announcer::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        announceRequested_ = false;
        lock.unlock();
        send();
        lock.lock();
        wakeUp_.wait_for(lock, kAnnouncementPeriod,
                         [this] { return announceRequested_ || stopping_; });
    }
}

void Announcer::send()
{
    core::EndpointAnnouncement announcement = describe_();
    announcement.incarnation = incarnation_;
    announcement.sequence = ++sequence_;
    static net::HttpClient client;
    for (const std::string &entry : entries_) {
        net::HttpCall call;
        call.address = entry;
        call.method = "POST";
        call.path = "/announce";
        call.body = net::writeJson(net::toJson(announcement));
        call.timeout = std::chrono::milliseconds(2000);
        if (!secret_.empty())
            call.headers.push_back({"Authorization", "Bearer " + secret_});
        client.send(call, [](const auto &) {});
    }
}

void initStandIn()
{
    constexpr std::size_t kHandlerThreads = 4;
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    net::startTrafficThreads(kHandlerThreads);
}

int serveStandIn(const std::string &listen, const net::HttpListener::Handler &handler,
                 Announcer &announcer)
{
    net::HttpListener listener(listen, {}, handler);
    const net::Result<void> opened = listener.open();
    if (!opened) {
        fmt::print(stderr, "{}\n", opened.error().detail);
        return 1;
    }
    announcer.start();
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(0);
}

std::string readSecretFile(const std::string &path)
{
    if (path.empty())
        return "";
    std::ifstream file(path);
    if (!file) {
        fmt::print(stderr, "can't read secret file {}\n", path);
        std::exit(2);
    }
    std::string secret{std::istreambuf_iterator<char>(file), {}};
    boost::algorithm::trim(secret);
    return secret;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    if (!text.empty())
        boost::algorithm::split(items, text, boost::algorithm::is_any_of(","));
    return items;
}

} // namespace fireflyroute::testing

// Starts the process, waits for a signal and shuts down.

#include "app/serve.h"

#include "app/node.h"
#include "app/settings.h"

#include <csignal>
#include <cstdlib>
#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

int reportFailure(const AppFailure &failure)
{
    fmt::print(stderr, "fireflyroute: {}\n", failure.detail);
    if (failure.code == AppError::InvalidSetting)
        return kExitUsage;
    return failure.code == AppError::StorageFailed ? kExitStorage : kExitFailure;
}

// Blocks the signals in this thread and in all threads that it starts, so that only sigwait()
// receives them.
sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int runServe()
{
    const Result<ServeSettings> settings = serveSettings();
    if (!settings)
        return reportFailure(settings.error());
    const sigset_t signals = blockTerminationSignals();
    Result<std::unique_ptr<Node>> node = Node::start(settings.value());
    if (!node)
        return reportFailure(node.error());
    int received = 0;
    sigwait(&signals, &received);
    node.value()->shutDown();
    // Threads of the HTTP library may still be running; they hold nothing that requires cleanup.
    std::_Exit(kExitOk);
}

} // namespace fireflyroute::app

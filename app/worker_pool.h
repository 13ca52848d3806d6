// Threads that may block, for JSON-RPC methods whose library answers synchronously. Idle threads
// wait on a condition variable.

#ifndef FIREFLYROUTE_APP_WORKER_POOL_H
#define FIREFLYROUTE_APP_WORKER_POOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace fireflyroute::app {

class WorkerPool
{
public:
    using Task = std::function<void()>;

    explicit WorkerPool(std::size_t threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    // Queues a task. Returns false if kQueueLimit tasks are already queued.
    bool post(Task task);

    static constexpr std::size_t kQueueLimit = 4096;

private:
    void run();

    std::mutex mutex_; // guards the queue and stopping_
    std::condition_variable changed_;
    std::deque<Task> tasks_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace fireflyroute::app

#endif

// Worker threads.

#include "app/worker_pool.h"

#include <utility>

namespace fireflyroute::app {

WorkerPool::WorkerPool(std::size_t threads)
{
    for (std::size_t i = 0; i < threads; ++i)
        threads_.emplace_back([this] { run(); });
}

WorkerPool::~WorkerPool()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    for (std::thread &thread : threads_)
        thread.join();
}

bool WorkerPool::post(Task task)
{
    const std::scoped_lock lock(mutex_);
    if (tasks_.size() >= kQueueLimit)
        return false;
    tasks_.push_back(std::move(task));
    changed_.notify_one();
    return true;
}

void WorkerPool::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
        if (stopping_)
            return;
        const Task task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace fireflyroute::app

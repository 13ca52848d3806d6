// The control thread's event loop.

#include "app/control_loop.h"

#include <utility>

namespace fireflyroute::app {

void ControlLoop::post(Task task)
{
    const std::scoped_lock lock(mutex_);
    posted_.push_back(std::move(task));
    wakeUp_.notify_one();
}

void ControlLoop::postAt(core::Instant dueAt, Task task)
{
    const std::scoped_lock lock(mutex_);
    timers_.emplace(dueAt, std::move(task));
    wakeUp_.notify_one();
}

void ControlLoop::runEvery(core::Duration period, const Task &task)
{
    post([this, period, task] {
        task();
        postAt(clock_.now() + period, [this, period, task] { runEvery(period, task); });
    });
}

void ControlLoop::start()
{
    thread_ = std::thread([this] { run(); });
}

void ControlLoop::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        wakeUp_.notify_one();
    }
    if (thread_.joinable())
        thread_.join();
}

void ControlLoop::run()
{
    while (true) {
        std::deque<Task> batch = waitForDueTasks();
        if (batch.empty())
            return;
        for (const Task &task : batch)
            task();
        if (afterBatch_)
            afterBatch_();
    }
}

// Waits for tasks that are due. Returns an empty batch once the loop is stopping.
std::deque<ControlLoop::Task> ControlLoop::waitForDueTasks()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const core::Instant now = clock_.now();
        while (!timers_.empty() && timers_.begin()->first <= now) {
            posted_.push_back(std::move(timers_.begin()->second));
            timers_.erase(timers_.begin());
        }
        if (!posted_.empty())
            return std::exchange(posted_, {});
        if (timers_.empty())
            wakeUp_.wait(lock);
        else
            wakeUp_.wait_until(lock, timers_.begin()->first);
    }
    return {};
}

} // namespace fireflyroute::app

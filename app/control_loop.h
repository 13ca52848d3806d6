// Event loop of the single thread that owns the control state. Runs posted functions and timers
// sequentially and waits on a condition variable when there is no work.
//
//   ControlLoop loop(clock);
//   loop.post([&] { control.submit(...); });
//   loop.runEvery(std::chrono::milliseconds(100), [&] { admission.tick(); });
//   loop.start();

#ifndef FIREFLYROUTE_APP_CONTROL_LOOP_H
#define FIREFLYROUTE_APP_CONTROL_LOOP_H

#include "app/system_clock.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace fireflyroute::app {

class ControlLoop
{
public:
    using Task = std::function<void()>;

    explicit ControlLoop(const SystemClock &clock)
        : clock_(clock)
    {}
    ~ControlLoop() { stop(); }
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    // Runs the task on the control thread. May be called from any thread.
    void post(Task task);

    // Runs the task on the control thread at `dueAt` or later. May be called from any thread.
    void postAt(core::Instant dueAt, Task task);

    // Runs the task now and then periodically, `period` after the end of the previous run.
    void runEvery(core::Duration period, const Task &task);

    // Sets a task that runs after each batch of tasks, before the thread waits. Used to make all
    // writes of a batch durable with one sync. Must be set before start().
    void afterBatch(Task task) { afterBatch_ = std::move(task); }

    void start();

    // Stops and joins the thread. Pending tasks are dropped.
    void stop();

private:
    void run();
    std::deque<Task> waitForDueTasks();

    const SystemClock &clock_;
    Task afterBatch_;
    std::thread thread_;

    std::mutex mutex_; // guards the fields below
    std::condition_variable wakeUp_;
    std::deque<Task> posted_;
    std::multimap<core::Instant, Task> timers_;
    bool stopping_ = false;
};

} // namespace fireflyroute::app

#endif

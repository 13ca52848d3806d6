// A thread for blocking disk operations, so that no other thread waits for the disk. Jobs run in
// order.

#ifndef FIREFLYROUTE_APP_DISK_THREAD_H
#define FIREFLYROUTE_APP_DISK_THREAD_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace fireflyroute::app {

class DiskThread
{
public:
    DiskThread()
        : thread_([this] { run(); })
    {}

    ~DiskThread()
    {
        {
            const std::scoped_lock lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_one();
        thread_.join();
    }
    DiskThread(const DiskThread &) = delete;
    DiskThread &operator=(const DiskThread &) = delete;

    void post(std::function<void()> job)
    {
        {
            const std::scoped_lock lock(mutex_);
            jobs_.push_back(std::move(job));
        }
        changed_.notify_one();
    }

private:
    void run()
    {
        while (true) {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
            if (stopping_)
                return;
            const std::function<void()> job = std::move(jobs_.front());
            jobs_.pop_front();
            lock.unlock();
            job();
        }
    }

    std::mutex mutex_; // guards the fields below
    std::condition_variable changed_;
    std::deque<std::function<void()>> jobs_;
    bool stopping_ = false;
    std::thread thread_; // declared last because it uses the fields above
};

} // namespace fireflyroute::app

#endif

// A queue of calls and the thread that sends them.

#include "net/rpc_peer.h"

#include "net/http_client.h"
#include "net/jsonrpc/rpc_client.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace fireflyroute::net {

namespace {

struct PendingCall
{
    std::string method;
    Json::Value parameters;
    RpcPeer::ReplyHandler onReply;
};

constexpr int kHttpOk = 200;

} // namespace

class RpcPeer::Impl : public std::enable_shared_from_this<RpcPeer::Impl>
{
public:
    Impl(std::string address, std::chrono::milliseconds timeout, std::string secret)
        : address_(std::move(address))
        , timeout_(timeout)
        , secret_(std::move(secret))
    {}

    void start()
    {
        // The thread shares ownership of the state, which therefore outlives a slow last call.
        std::thread([self = shared_from_this()] { self->run(); }).detach();
    }

    void stop()
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        queueChanged_.notify_all();
    }

    void call(PendingCall pending)
    {
        {
            const std::scoped_lock lock(mutex_);
            if (!stopping_ && queue_.size() < kQueueLimit) {
                queue_.push_back(std::move(pending));
                queueChanged_.notify_one();
                return;
            }
        }
        pending.onReply(NetFailure{NetError::Unreachable, address_ + ": too many calls wait"});
    }

    const std::string &address() const { return address_; }

private:
    void run()
    {
        while (std::optional<PendingCall> next = nextCall())
            next->onReply(performCall(*next));
        for (PendingCall &remaining : queue_)
            remaining.onReply(NetFailure{NetError::Closed, address_ + ": peer closed"});
        queue_.clear();
    }

    std::optional<PendingCall> nextCall()
    {
        std::unique_lock lock(mutex_);
        queueChanged_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_)
            return std::nullopt;
        PendingCall next = std::move(queue_.front());
        queue_.pop_front();
        return next;
    }

    Result<Json::Value> performCall(const PendingCall &pending)
    {
        std::optional<NetFailure> problem;
        const RpcTransport transport = [&](const std::string &bytes) {
            Result<HttpResponse> response = client_.sendAndWait(httpCall(bytes));
            if (!response)
                problem = response.error();
            else if (response.value().status != kHttpOk)
                problem = NetFailure{NetError::RemoteFailure, response.value().body};
            if (problem)
                throw std::runtime_error(problem->detail);
            return response.value().body;
        };
        RpcReply reply = callRpc(transport, pending.method, pending.parameters);
        if (reply.ok)
            return std::move(reply.value);
        if (!problem)
            return NetFailure{NetError::RemoteFailure, reply.error};
        // The next call must not wait for a connection whose peer has stopped responding.
        client_.discardConnections(address_);
        return *problem;
    }

    HttpCall httpCall(const std::string &bytes) const
    {
        HttpCall call;
        call.address = address_;
        call.method = "POST";
        call.path = "/rpc";
        call.body = bytes;
        call.timeout = timeout_;
        if (!secret_.empty())
            call.headers.push_back(HttpHeader{"Authorization", "Bearer " + secret_});
        return call;
    }

    const std::string address_;
    const std::chrono::milliseconds timeout_;
    const std::string secret_;
    HttpClient client_;

    std::mutex mutex_; // guards the fields below
    std::condition_variable queueChanged_;
    std::deque<PendingCall> queue_; // at most kQueueLimit
    bool stopping_ = false;
};

RpcPeer::RpcPeer(const std::string &address, std::chrono::milliseconds timeout,
                 const std::string &secret)
    : impl_(std::make_shared<Impl>(address, timeout, secret))
{
    impl_->start();
}

RpcPeer::~RpcPeer()
{
    impl_->stop();
}

void RpcPeer::call(const std::string &method, const Json::Value &parameters, ReplyHandler onReply)
{
    impl_->call(PendingCall{method, parameters, std::move(onReply)});
}

const std::string &RpcPeer::address() const
{
    return impl_->address();
}

} // namespace fireflyroute::net

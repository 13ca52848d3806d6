// Calls from an entry to the control VMs. Sends calls to the current leader, follows redirects to a
// new leader, and switches to the next control VM if one does not answer.

#ifndef FIREFLYROUTE_APP_CONTROL_LINK_H
#define FIREFLYROUTE_APP_CONTROL_LINK_H

#include "core/config/control_messages.h"
#include "net/rpc_peer.h"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fireflyroute::app {

class ControlLink : public std::enable_shared_from_this<ControlLink>
{
public:
    template<typename T>
    using Callback = std::function<void(const net::Result<T> &)>;

    // Timeout of one call to a control VM.
    static constexpr std::chrono::milliseconds kCallTimeout{700};

    ControlLink(std::vector<std::string> addresses, std::string secret);

    // Callbacks run on the thread of the RPC peer that received the reply.
    void follow(const core::FollowRequest &request, const Callback<core::FollowReply> &callback);
    void submit(const core::SubmitRequest &request, const Callback<core::SubmitReply> &callback);

    // Calls any other method by name.
    void call(const std::string &method, const Json::Value &parameters,
              net::RpcPeer::ReplyHandler callback);

private:
    std::shared_ptr<net::RpcPeer> peer();
    std::shared_ptr<net::RpcPeer> peerFor(const std::string &address);
    void switchPeer(const std::string &address, const std::string &hint);

    const std::vector<std::string> addresses_; // never empty
    const std::string secret_;

    std::mutex mutex_; // guards the fields below
    std::string currentAddress_; // destination of the next call
    std::size_t selectedIndex_ = 0; // of the last address selected without a redirect
    std::map<std::string, std::shared_ptr<net::RpcPeer>> peers_;
};

} // namespace fireflyroute::app

#endif

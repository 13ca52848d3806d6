// Calls to the control leader.

#include "app/control_link.h"

#include "net/control_json.h"

namespace fireflyroute::app {

namespace {

// The leader's address if the reply comes from a control VM that is not the leader; otherwise
// empty.
std::string leaderHint(const Json::Value &reply)
{
    if (!reply.isObject() || reply.isMember("reply"))
        return "";
    return reply.get("leader_address", "").asString();
}

// Decodes the reply of a call. Returns the failure if the call or the decoder failed.
template<typename T>
net::Result<T> decodeReply(const net::Result<Json::Value> &json,
                           net::Result<T> (*read)(const Json::Value &, const std::string &))
{
    if (!json)
        return json.error();
    return read(json.value(), "reply");
}

} // namespace

ControlLink::ControlLink(std::vector<std::string> addresses, std::string secret)
    : addresses_(std::move(addresses))
    , secret_(std::move(secret))
    , currentAddress_(addresses_.front())
{}

void ControlLink::follow(const core::FollowRequest &request,
                         const Callback<core::FollowReply> &callback)
{
    const std::shared_ptr<net::RpcPeer> target = peer();
    target->call("follow", net::toJson(request),
                 [self = shared_from_this(), address = target->address(),
                  callback](const net::Result<Json::Value> &json) {
                     const auto reply = decodeReply(json, net::readFollowReply);
                     if (!reply)
                         self->switchPeer(address, "");
                     else if (!reply.value().granted)
                         self->switchPeer(address, reply.value().leaderAddress);
                     callback(reply);
                 });
}

void ControlLink::submit(const core::SubmitRequest &request,
                         const Callback<core::SubmitReply> &callback)
{
    const std::shared_ptr<net::RpcPeer> target = peer();
    target->call("submit", net::toJson(request),
                 [self = shared_from_this(), address = target->address(),
                  callback](const net::Result<Json::Value> &json) {
                     const auto reply = decodeReply(json, net::readSubmitReply);
                     if (!reply)
                         self->switchPeer(address, "");
                     else if (!reply.value().reply)
                         self->switchPeer(address, reply.value().leaderAddress);
                     callback(reply);
                 });
}

void ControlLink::call(const std::string &method, const Json::Value &parameters,
                       net::RpcPeer::ReplyHandler callback)
{
    const std::shared_ptr<net::RpcPeer> target = peer();
    target->call(method, parameters,
                 [self = shared_from_this(), address = target->address(),
                  callback = std::move(callback)](net::Result<Json::Value> reply) {
                     const std::string hint = reply ? leaderHint(reply.value()) : "";
                     if (!reply || !hint.empty())
                         self->switchPeer(address, hint);
                     callback(std::move(reply));
                 });
}

std::shared_ptr<net::RpcPeer> ControlLink::peer()
{
    const std::scoped_lock lock(mutex_);
    return peerFor(currentAddress_);
}

std::shared_ptr<net::RpcPeer> ControlLink::peerFor(const std::string &address)
{
    std::shared_ptr<net::RpcPeer> &cached = peers_[address];
    if (!cached)
        cached = std::make_shared<net::RpcPeer>(address, kCallTimeout, secret_);
    return cached;
}

// Selects another control VM, unless another call has already done so.
void ControlLink::switchPeer(const std::string &address, const std::string &hint)
{
    const std::scoped_lock lock(mutex_);
    if (currentAddress_ != address)
        return;
    if (!hint.empty()) {
        currentAddress_ = hint;
        return;
    }
    selectedIndex_ = (selectedIndex_ + 1) % addresses_.size();
    currentAddress_ = addresses_[selectedIndex_];
}

} // namespace fireflyroute::app

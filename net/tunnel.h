// Tunnels: connections to endpoints by way of another entry, the relay. A relay only passes bytes.
//
//   const auto tunnels = acceptTunnels(io, "10.0.0.4:7341", [](const std::string &endpoint) {
//       return isKnown(endpoint) ? TunnelStatus::Opened : TunnelStatus::NotAllowed;
//   });
//
// A client sends one line, the "IP:PORT" of the endpoint. The relay connects to the endpoint and
// answers with one byte, a TunnelStatus. After Opened, the bytes of both sides are passed on until
// a side ends. EndpointConnection is the client.
//
// The end of the endpoint's bytes reaches the client as it was: a clean end as a clean end, and all
// else, including a write to the endpoint that fails and the death of the relay, as a reset. So an
// answer without a length that was cut off never looks complete. Bytes that the endpoint has sent
// before reach the client first. A client ends its connection only as a whole.

#ifndef FIREFLYROUTE_NET_TUNNEL_H
#define FIREFLYROUTE_NET_TUNNEL_H

#include "core/common/enum_names.h"
#include "net/errors.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyroute::net {

// A relay's answer. The value of an enumerator is its byte on the wire.
enum class TunnelStatus : char {
    Opened = 'o',
    NotAllowed = 'n', // the relay knows no such endpoint, or the request line is invalid
    Isolated = 'i', // the relay has no path to the endpoints itself
    Full = 'f', // too many tunnels, or the relay is stopping
    Refused = 'r', // the endpoint refused the connection
    TimedOut = 't', // the endpoint did not accept the connection in time
};

} // namespace fireflyroute::net

namespace fireflyroute::core {

template<>
struct EnumNames<net::TunnelStatus>
{
    static constexpr std::array table{
            EnumName{net::TunnelStatus::Opened, "opened"},
            EnumName{net::TunnelStatus::NotAllowed, "not_allowed"},
            EnumName{net::TunnelStatus::Isolated, "isolated"},
            EnumName{net::TunnelStatus::Full, "full"},
            EnumName{net::TunnelStatus::Refused, "refused"},
            EnumName{net::TunnelStatus::TimedOut, "timed_out"},
    };
};

} // namespace fireflyroute::core

namespace fireflyroute::net {

// Whether a tunnel to the "IP:PORT" may be opened: Opened, or the reason why not.
using TunnelPolicy = std::function<TunnelStatus(const std::string &endpoint)>;

// Limit of the accepted connections of a listener. With both buffers full a tunnel takes 32 KB, so
// all of them take 12 MB, a seventh of the smallest entry VM.
constexpr std::size_t kMaxTunnels = 384;

// State that the tunnels of one listener share.
struct TunnelGroup
{
    TunnelPolicy policy;
    std::size_t maxActive = kMaxTunnels;
    std::size_t active = 0; // accepted connections that have not ended
    std::map<TunnelStatus, std::uint64_t> answers; // sent to clients
    // Called after each attempt to connect to an endpoint. May be empty.
    std::function<void(const std::string &endpoint, bool connected)> onConnectAttempt;
};

// Accepts tunnels on "IP:PORT" for as long as the io_context runs.
[[nodiscard]] Result<std::shared_ptr<TunnelGroup>>
acceptTunnels(boost::asio::io_context &io, const std::string &address, TunnelPolicy policy);

// The line that requests a tunnel to the "IP:PORT".
[[nodiscard]] std::string encodeTunnelRequest(const std::string &endpoint);

// The status that a byte stands for, if any.
[[nodiscard]] std::optional<TunnelStatus> decodeTunnelStatus(char byte);

} // namespace fireflyroute::net

#endif

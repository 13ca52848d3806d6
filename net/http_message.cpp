// Header field look-up and encoding of message heads.

#include "net/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <iterator>

namespace fireflyroute::net {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields{
        "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
        "expect",     "transfer-encoding", "content-length",
};

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kStatusSwitchingProtocols = 101;

bool isTokenCharacter(char c)
{
    constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z')
           || kSymbols.find(c) != std::string_view::npos;
}

char toLowerAscii(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

void appendHeaderFields(std::string &out, const HttpFields &fields)
{
    for (const HttpHeader &field : fields)
        fmt::format_to(std::back_inserter(out), "{}: {}\r\n", field.name, field.value);
}

} // namespace

bool equalFieldNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return toLowerAscii(a) == toLowerAscii(b); });
}

const std::string *findField(const HttpFields &fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const HttpHeader &field) {
        return equalFieldNames(field.name, name);
    });
    return found == fields.end() ? nullptr : &found->value;
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(
            kHopByHopFields.begin(), kHopByHopFields.end(),
            [&](std::string_view hopByHopName) { return equalFieldNames(hopByHopName, name); });
}

bool isResponseStatus(unsigned status)
{
    return status >= kMinStatus && status <= kMaxStatus && status != kStatusSwitchingProtocols;
}

bool isFieldName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

OutgoingRequest encodeRequest(const HttpRequestMessage &request,
                              std::shared_ptr<const std::string> body)
{
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    appendHeaderFields(out, request.fields);
    if (!body->empty() || (request.method != "GET" && request.method != "HEAD"))
        fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n", body->size());
    out += "\r\n";
    return {std::move(out), std::move(body)};
}

std::string encodeResponseHead(const HttpResponseHead &head)
{
    const auto reason =
            boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(head.status));
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", head.status,
                                  std::string_view(reason.data(), reason.size()));
    appendHeaderFields(out, head.fields);
    return out;
}

} // namespace fireflyroute::net

// Heads and bodies of HTTP messages as the processes pass them on: names and values as they came,
// in their order.

#ifndef FIREFLYROUTE_NET_HTTP_MESSAGE_H
#define FIREFLYROUTE_NET_HTTP_MESSAGE_H

#include "net/http_types.h"

#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::net {

using HttpFields = std::vector<HttpHeader>;

// The first field of that name, compared without regard to case; null for none.
[[nodiscard]] const std::string *findField(const HttpFields &fields, std::string_view name);

// Whether both names are equal but for case.
[[nodiscard]] bool equalNames(std::string_view left, std::string_view right);

// Whether the field concerns one connection only and must not be passed on.
[[nodiscard]] bool isHopByHop(std::string_view name);

struct HttpRequestMessage
{
    std::string method;
    std::string target;
    HttpFields fields;
    std::string body;
};

struct HttpResponseHead
{
    unsigned status = 0;
    HttpFields fields;
};

struct HttpResponseMessage
{
    unsigned status = 0;
    HttpFields fields;
    std::string body;
};

// The bytes of a request; a length is stated when there is a body or the method implies one.
[[nodiscard]] std::string encodeRequest(const HttpRequestMessage &request);

// The bytes of a response head. The caller adds the fields that frame the body.
[[nodiscard]] std::string encodeResponseHead(const HttpResponseHead &head);

} // namespace fireflyroute::net

#endif

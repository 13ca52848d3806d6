// HTTP messages as plain values, independent of the types of any library.

#ifndef FIREFLYROUTE_NET_HTTP_TYPES_H
#define FIREFLYROUTE_NET_HTTP_TYPES_H

#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::net {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    std::string method; // upper case
    std::string path; // percent-decoded, without the query
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;
};

// Returns the value of the first header with that name, ignoring case, or an empty string if there
// is none.
[[nodiscard]] std::string headerValue(const std::vector<HttpHeader> &headers,
                                      std::string_view name);

} // namespace fireflyroute::net

#endif

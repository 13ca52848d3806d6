// HTTP messages for forwarding: field names and values keep their original spelling and order.

#ifndef FIREFLYROUTE_NET_HTTP_MESSAGE_H
#define FIREFLYROUTE_NET_HTTP_MESSAGE_H

#include "net/http_types.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::net {

using HttpFields = std::vector<HttpHeader>;

// Returns the value of the first field with that name, ignoring case, or null if there is none.
[[nodiscard]] const std::string *findField(const HttpFields &fields, std::string_view name);

// Whether two field names are equal, ignoring case.
[[nodiscard]] bool equalFieldNames(std::string_view left, std::string_view right);

// Whether the field applies to a single connection only and must not be forwarded.
[[nodiscard]] bool isHopByHop(std::string_view name);

// Whether a response may have this status: 100 to 599, and not 101, since no request asks for
// another protocol.
[[nodiscard]] bool isResponseStatus(unsigned status);

// Whether the name of a field is a token, as HTTP has it: without blanks and control bytes, among
// others.
[[nodiscard]] bool isFieldName(std::string_view name);

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

// A request in the form in which it is sent. All attempts of a request share its body.
struct OutgoingRequest
{
    std::string head;
    std::shared_ptr<const std::string> body; // never null
};

// Encodes a request with the given body, in place of its own. Content-Length is added if there is a
// body or the method implies one.
[[nodiscard]] OutgoingRequest encodeRequest(const HttpRequestMessage &request,
                                            std::shared_ptr<const std::string> body);

// Encodes a response head. The caller adds the fields that frame the body and the final empty line.
[[nodiscard]] std::string encodeResponseHead(const HttpResponseHead &head);

} // namespace fireflyroute::net

#endif

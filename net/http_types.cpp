// Header look-up.

#include "net/http_types.h"

#include <boost/algorithm/string/predicate.hpp>

namespace fireflyroute::net {

std::string headerValue(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (boost::algorithm::iequals(header.name, name))
            return header.value;
    }
    return "";
}

} // namespace fireflyroute::net

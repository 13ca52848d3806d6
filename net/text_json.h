// Parsing and writing of JSON text. Malformed text is reported as a NetFailure with the position.

#ifndef FIREFLYROUTE_NET_TEXT_JSON_H
#define FIREFLYROUTE_NET_TEXT_JSON_H

#include "net/errors.h"

#include <json/value.h>
#include <string>
#include <string_view>

namespace fireflyroute::net {

// Parses text that consists of exactly one JSON value.
[[nodiscard]] Result<Json::Value> parseJson(std::string_view text);

// Writes a value on one line.
[[nodiscard]] std::string writeJson(const Json::Value &value);

} // namespace fireflyroute::net

#endif

// Parsing and writing of JSON text. Malformed text is reported as a NetFailure with the position.

#ifndef FIREFLYROUTE_NET_TEXT_JSON_H
#define FIREFLYROUTE_NET_TEXT_JSON_H

#include "net/errors.h"

#include <cstddef>
#include <json/value.h>
#include <string>
#include <string_view>

namespace fireflyroute::net {

// Parses text that consists of exactly one JSON value.
[[nodiscard]] Result<Json::Value> parseJson(std::string_view text);

// The same for a document of a caller: fails if it may have more than kMaxDocumentValues values. A
// parsed value takes up to 100 bytes, however short its text is.
[[nodiscard]] Result<Json::Value> parseDocument(std::string_view text);

// More than ten times the values of a configuration of 1,000 routes.
constexpr std::size_t kMaxDocumentValues = 200'000;

// Writes a value on one line.
[[nodiscard]] std::string writeJson(const Json::Value &value);

} // namespace fireflyroute::net

#endif

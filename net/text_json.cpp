// Parsing and writing of JSON text with jsoncpp's strict reader and compact writer.

#include "net/text_json.h"

#include <algorithm>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace fireflyroute::net {

Result<Json::Value> parseJson(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problem;
    bool parsed = false;
    try {
        parsed = reader->parse(text.data(), text.data() + text.size(), &value, &problem);
    } catch (const Json::Exception &failure) {
        problem = failure.what();
    }
    if (!parsed)
        return NetFailure{NetError::Malformed, problem};
    return value;
}

Result<Json::Value> parseDocument(std::string_view text)
{
    // Each value but the first of a list or object follows a comma, and the first a bracket. Those
    // within texts are counted as well.
    const auto values = static_cast<std::size_t>(std::count_if(
            text.begin(), text.end(), [](char c) { return c == ',' || c == '[' || c == '{'; }));
    if (values > kMaxDocumentValues)
        return NetFailure{NetError::Malformed, "too many values"};
    return parseJson(text);
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace fireflyroute::net

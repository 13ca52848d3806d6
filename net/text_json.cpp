// Parsing and writing of JSON text with jsoncpp's strict reader and compact writer.

#include "net/text_json.h"

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

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace fireflyroute::net

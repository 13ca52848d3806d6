// Typed access to the fields of JSON objects.

#include "net/json_fields.h"

namespace fireflyroute::net {

namespace {

const Json::Value kEmptyObject(Json::objectValue);
const Json::Value kEmptyArray(Json::arrayValue);

} // namespace

FieldReader::FieldReader(const Json::Value &value, std::string jsonPath)
    : value_(value.isObject() ? value : kEmptyObject)
    , jsonPath_(std::move(jsonPath))
{
    if (!value.isObject()) {
        const std::string subject = jsonPath_.empty() ? "the document" : jsonPath_;
        failure_ = NetFailure{NetError::Malformed, subject + ": must be an object"};
    }
}

const Json::Value *FieldReader::find(const char *name)
{
    readFields_.insert(name);
    if (!value_.isMember(name) || value_[name].isNull())
        return nullptr;
    return &value_[name];
}

bool FieldReader::has(const char *name)
{
    return find(name) != nullptr;
}

std::string FieldReader::text(const char *name)
{
    const Json::Value *found = find(name);
    if (!found) {
        fail(name, "is required");
        return "";
    }
    return text(name, "");
}

std::string FieldReader::text(const char *name, const std::string &fallback)
{
    const Json::Value *found = find(name);
    if (!found)
        return fallback;
    if (!found->isString()) {
        fail(name, "must be a string");
        return fallback;
    }
    return found->asString();
}

bool FieldReader::boolean(const char *name, bool fallback)
{
    const Json::Value *found = find(name);
    if (!found)
        return fallback;
    if (!found->isBool()) {
        fail(name, "must be true or false");
        return fallback;
    }
    return found->asBool();
}

double FieldReader::real(const char *name, double fallback)
{
    const Json::Value *found = find(name);
    if (!found)
        return fallback;
    if (!found->isNumeric()) {
        fail(name, "must be a number");
        return fallback;
    }
    return found->asDouble();
}

const Json::Value &FieldReader::object(const char *name)
{
    const Json::Value *found = find(name);
    if (!found)
        return kEmptyObject;
    if (!found->isObject()) {
        fail(name, "must be an object");
        return kEmptyObject;
    }
    return *found;
}

const Json::Value &FieldReader::arrayField(const char *name)
{
    const Json::Value *found = find(name);
    if (!found)
        return kEmptyArray;
    if (!found->isArray()) {
        fail(name, "must be an array");
        return kEmptyArray;
    }
    return *found;
}

void FieldReader::fail(const char *name, const std::string &problem)
{
    if (!failure_)
        failure_ = NetFailure{NetError::Malformed, path(name) + ": " + problem};
}

std::string FieldReader::path(const char *name) const
{
    return jsonPath_.empty() ? name : jsonPath_ + "." + name;
}

Result<void> FieldReader::finishLenient() const
{
    if (failure_)
        return *failure_;
    return core::outcome::success();
}

Result<void> FieldReader::finish() const
{
    BOOST_OUTCOME_TRYV(finishLenient());
    for (const std::string &name : value_.getMemberNames()) {
        if (!readFields_.contains(name))
            return NetFailure{NetError::Malformed, path(name.c_str()) + ": unknown field"};
    }
    return core::outcome::success();
}

} // namespace fireflyroute::net

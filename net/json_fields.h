// Reads typed fields of JSON objects. A failure contains the path of the first invalid field.
//
//   FieldReader reader(value, "accounts[0]");
//   account.id = reader.identifier<ClientAccountId>("id");
//   account.weight = reader.number<std::uint32_t>("weight", 1);
//   BOOST_OUTCOME_TRYV(reader.finish());          // also rejects unknown fields
//
// A read of an invalid field records the problem and returns a default value, so the calling code
// needs no check per field.

#ifndef FIREFLYROUTE_NET_JSON_FIELDS_H
#define FIREFLYROUTE_NET_JSON_FIELDS_H

#include "core/common/clock.h"
#include "core/common/enum_names.h"
#include "net/errors.h"

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

namespace fireflyroute::net {

class FieldReader
{
public:
    // `jsonPath` identifies the object in failures. An empty path stands for the whole document.
    FieldReader(const Json::Value &value, std::string jsonPath);

    // Whether the field exists and is not null. All other reads treat null as a missing field.
    [[nodiscard]] bool has(const char *name);

    // Whether the field exists, possibly as null.
    [[nodiscard]] bool contains(const char *name) const { return value_.isMember(name); }

    // A field is required if no `fallback` is given, and optional otherwise.
    std::string text(const char *name);
    std::string text(const char *name, const std::string &fallback);
    bool boolean(const char *name, bool fallback);
    double real(const char *name, double fallback);

    template<typename Integer>
    Integer number(const char *name)
    {
        return integer<Integer>(name, std::nullopt);
    }

    template<typename Integer>
    Integer number(const char *name, Integer fallback)
    {
        return integer<Integer>(name, fallback);
    }

    // Reads a numeric identifier such as Revision or GroupId.
    template<typename Id>
    Id numericId(const char *name)
    {
        return Id(number<std::underlying_type_t<Id>>(name));
    }

    template<typename Id>
    Id identifier(const char *name)
    {
        return Id(text(name));
    }

    template<typename Id>
    std::optional<Id> optionalIdentifier(const char *name)
    {
        if (!has(name))
            return std::nullopt;
        return Id(text(name));
    }

    template<core::NamedEnum Enum>
    Enum enumerator(const char *name, std::optional<Enum> fallback = std::nullopt)
    {
        if (fallback && !has(name))
            return *fallback;
        const std::string found = text(name);
        const std::optional<Enum> parsed = core::parseEnum<Enum>(found);
        if (!parsed)
            fail(name, "must be one of " + core::allNames<Enum>());
        return parsed.value_or(Enum{});
    }

    std::chrono::milliseconds milliseconds(const char *name, std::chrono::milliseconds fallback)
    {
        return std::chrono::milliseconds(number<std::int64_t>(name, fallback.count()));
    }

    core::WallTime wallTime(const char *name)
    {
        return core::WallTime(std::chrono::milliseconds(number<std::int64_t>(name)));
    }

    // Returns an object field, or an empty object if it is missing.
    const Json::Value &object(const char *name);

    // Returns the elements of an array field, or no elements if it is missing. `read` converts one
    // element to a Result<T>.
    template<typename T, typename Read>
    std::vector<T> list(const char *name, Read read)
    {
        std::vector<T> items;
        const Json::Value &array = arrayField(name);
        for (Json::ArrayIndex i = 0; i < array.size() && !failure_; ++i) {
            auto item = read(array[i], path(name) + "[" + std::to_string(i) + "]");
            if (item)
                items.push_back(std::move(item.value()));
            else
                failure_ = item.error();
        }
        return items;
    }

    // Returns the value of a nested read. A failure of it becomes the failure of this reader.
    template<typename T>
    T nested(Result<T> result)
    {
        if (result)
            return std::move(result.value());
        if (!failure_)
            failure_ = result.error();
        return T{};
    }

    // Records that a field is invalid.
    void fail(const char *name, const std::string &problem);

    // Returns the first problem, or success. Unknown fields are a problem.
    [[nodiscard]] Result<void> finish() const;

    // Like finish(), but accepts unknown fields, for messages of systems that may send additional
    // ones.
    [[nodiscard]] Result<void> finishLenient() const;

    [[nodiscard]] std::string path(const char *name) const;

private:
    const Json::Value *find(const char *name);
    const Json::Value &arrayField(const char *name);

    template<typename Integer>
    Integer integer(const char *name, std::optional<Integer> fallback)
    {
        const Json::Value *found = find(name);
        if (!found) {
            if (!fallback)
                fail(name, "is required");
            return fallback.value_or(Integer{});
        }
        return convert<Integer>(name, *found);
    }

    template<typename Integer>
    Integer convert(const char *name, const Json::Value &value)
    {
        if constexpr (std::is_unsigned_v<Integer>) {
            if (value.isUInt64() && value.asUInt64() <= std::numeric_limits<Integer>::max())
                return static_cast<Integer>(value.asUInt64());
        } else {
            if (value.isInt64() && value.asInt64() >= std::numeric_limits<Integer>::min()
                && value.asInt64() <= std::numeric_limits<Integer>::max())
                return static_cast<Integer>(value.asInt64());
        }
        fail(name, "must be a whole number in range");
        return Integer{};
    }

    const Json::Value &value_; // must outlive the reader
    std::string jsonPath_;
    std::set<std::string> readFields_; // names of the fields that were read; all others are unknown
    std::optional<NetFailure> failure_; // the first problem
};

} // namespace fireflyroute::net

#endif

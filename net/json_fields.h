// Reading typed fields out of JSON objects, with the path of the first wrong field in the failure.
//
//   FieldReader reader(value, "accounts[0]");
//   account.id = reader.identifier<ClientAccountId>("id");
//   account.weight = reader.number<std::uint32_t>("weight", 1);
//   BOOST_OUTCOME_TRYV(reader.finish());          // also refuses unknown fields
//
// After the first problem all further reads yield defaults, so code needs no check per field.

#ifndef FIREFLYROUTE_NET_JSON_FIELDS_H
#define FIREFLYROUTE_NET_JSON_FIELDS_H

#include "core/clock.h"
#include "core/enum_names.h"
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
    // `where` names the object in failures; an empty name stands for the whole document.
    FieldReader(const Json::Value &value, std::string where);

    [[nodiscard]] bool has(const char *name);

    // Required without `fallback`, optional with one.
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

    // A numeric identifier such as Revision or GroupId.
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

    // An object field; an empty object when it is missing.
    const Json::Value &object(const char *name);

    // The elements of an array field; empty when it is missing. `read` turns one element into a
    // Result<T>.
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

    // Takes over the failure of a nested read.
    template<typename T>
    T nested(Result<T> result)
    {
        if (result)
            return std::move(result.value());
        if (!failure_)
            failure_ = result.error();
        return T{};
    }

    // Reports that a field is wrong.
    void fail(const char *name, const std::string &problem);

    // The first problem, or success. Unknown fields are a problem.
    [[nodiscard]] Result<void> finish() const;

    // The same for messages of others, who may know fields that are unknown here.
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

    const Json::Value &value_; // outlives the reader
    std::string where_;
    std::set<std::string> seen_; // names that were asked for; all others are unknown
    std::optional<NetFailure> failure_; // the first problem
};

} // namespace fireflyroute::net

#endif

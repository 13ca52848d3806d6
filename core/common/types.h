// Basic types of the core: identifiers, ranks and other small enumerations that are used
// throughout.
//
//   ClientAccountId account("mavuno-duka-7");
//   ModelVersion target{ModelName("returns"), VersionName("3")};
//   fmt::print("{} as {}\n", toString(target), nameOf(Rank::Urgent));
//
// Identifiers are distinct types, so that an account cannot be passed where an endpoint is
// expected.

#ifndef FIREFLYROUTE_CORE_COMMON_TYPES_H
#define FIREFLYROUTE_CORE_COMMON_TYPES_H

#include "core/common/enum_names.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace fireflyroute::core {

// A string identifier of one kind of object. Tag is never instantiated; it only makes the types
// distinct.
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : value_(std::move(value))
    {}

    [[nodiscard]] const std::string &value() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

    auto operator<=>(const Identifier &) const = default;

private:
    std::string value_;
};

using ClientAccountId = Identifier<struct ClientAccountTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using EndpointId = Identifier<struct EndpointTag>;
using ExceptionId = Identifier<struct ExceptionTag>;
using ModelName = Identifier<struct ModelTag>;
using VersionName = Identifier<struct VersionTag>;
using ServiceName = Identifier<struct ServiceTag>;
using TaskName = Identifier<struct TaskTag>;
using RequestId = Identifier<struct RequestTag>;
using SessionId = Identifier<struct SessionTag>;
using VmId = Identifier<struct VmTag>;
using CommandId = Identifier<struct CommandTag>;
using OperatorName = Identifier<struct OperatorTag>;

// Number of the replication group that a control message belongs to.
enum class GroupId : std::uint32_t {};

// Revision of the fleet configuration; increases by one with each accepted change.
enum class Revision : std::uint64_t {};

// Number of one incarnation of a process or endpoint; a later one has a larger number.
enum class Incarnation : std::uint64_t {};

// The underlying number of a numeric identifier.
template<typename Enum>
requires std::is_enum_v<Enum>
constexpr auto toNumber(Enum value)
{
    return static_cast<std::underlying_type_t<Enum>>(value);
}

// Amounts of money, in millionths of the currency unit of the price list.
using MicroCost = std::int64_t;

// One version of one model.
struct ModelVersion
{
    ModelName model;
    VersionName version;

    auto operator<=>(const ModelVersion &) const = default;
};

// Formats as "model@version", the form that callers and operators use.
[[nodiscard]] std::string toString(const ModelVersion &modelVersion);

// The urgency of a request; more urgent requests are served first.
enum class Rank { Urgent, Normal, Background };

template<>
struct EnumNames<Rank>
{
    static constexpr std::array table{
            EnumName{Rank::Urgent, "urgent"},
            EnumName{Rank::Normal, "normal"},
            EnumName{Rank::Background, "background"},
    };
};

constexpr std::size_t kRankCount = EnumNames<Rank>::table.size();

// Whether a request that ended without a complete response was executed by an endpoint. No is
// reported only if no byte of the request was sent to one.
enum class Executed { No, Unknown, Yes };

template<>
struct EnumNames<Executed>
{
    static constexpr std::array table{
            EnumName{Executed::No, "no"},
            EnumName{Executed::Unknown, "unknown"},
            EnumName{Executed::Yes, "yes"},
    };
};

} // namespace fireflyroute::core

template<typename Tag>
struct std::hash<fireflyroute::core::Identifier<Tag>>
{
    std::size_t operator()(const fireflyroute::core::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

template<>
struct std::hash<fireflyroute::core::ModelVersion>
{
    std::size_t operator()(const fireflyroute::core::ModelVersion &id) const noexcept;
};

#endif

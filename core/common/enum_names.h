// Name tables for enumerations. An `enum class` that appears in messages, logs or commands
// specialises EnumNames with a table that is used for conversion in both directions:
//
//   nameOf(Rank::Urgent)        == "urgent"
//   parseEnum<Rank>("urgent")   == Rank::Urgent
//   parseEnum<Rank>("fastest")  == std::nullopt

#ifndef FIREFLYROUTE_CORE_COMMON_ENUM_NAMES_H
#define FIREFLYROUTE_CORE_COMMON_ENUM_NAMES_H

#include <optional>
#include <string>
#include <string_view>

namespace fireflyroute::core {

// One row of a table: an enumerator and its external name.
template<typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

template<typename Enum>
EnumName(Enum, const char *) -> EnumName<Enum>;

// To be specialised next to each enumeration, with a static constexpr array `table`.
template<typename Enum>
struct EnumNames;

// An enumeration with a name table.
template<typename Enum>
concept NamedEnum = requires
{
    EnumNames<Enum>::table;
};

// The name of an enumerator; "invalid" for a value that is not in the table.
template<NamedEnum Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const EnumName<Enum> &row : EnumNames<Enum>::table) {
        if (row.value == value)
            return row.name;
    }
    return "invalid";
}

// The enumerator with the given name, if any.
template<NamedEnum Enum>
constexpr std::optional<Enum> parseEnum(std::string_view name)
{
    for (const EnumName<Enum> &row : EnumNames<Enum>::table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

// All names of an enumeration, separated by commas, for error messages.
template<NamedEnum Enum>
std::string allNames()
{
    std::string names;
    for (const EnumName<Enum> &row : EnumNames<Enum>::table) {
        if (!names.empty())
            names += ", ";
        names += row.name;
    }
    return names;
}

} // namespace fireflyroute::core

#endif

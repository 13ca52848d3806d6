// Common functions for flag validation: failures that name the flag, and comma-separated lists.

#ifndef FIREFLYROUTE_APP_FLAG_CHECKS_H
#define FIREFLYROUTE_APP_FLAG_CHECKS_H

#include "app/errors.h"

#include <boost/algorithm/string.hpp>
#include <string>
#include <vector>

namespace fireflyroute::app {

// The failure for an invalid value of a flag.
[[nodiscard]] inline AppFailure invalidFlag(const std::string &flag, const std::string &problem)
{
    return AppFailure{AppError::InvalidSetting, "--" + flag + ": " + problem};
}

// Splits a comma-separated list; empty for an empty text.
[[nodiscard]] inline std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    if (!text.empty())
        boost::algorithm::split(items, text, boost::algorithm::is_any_of(","));
    return items;
}

} // namespace fireflyroute::app

#endif

// Load test profiles as JSON files: the input of core/load/load_plan.h, and the tokens of the
// client accounts that send the requests.
//
//   {"seed": 7, "requests_per_second": 50, "max_requests": 500, "duration_ms": 10000,
//    "accounts": [{"id": "duka-1", "token": "duka-1.SECRET"}],
//    "kinds": [{"share": 3, "rank": "urgent", "account": "duka-1", "task": "tag-reason"}]}

#ifndef FIREFLYROUTE_APP_LOAD_PROFILE_H
#define FIREFLYROUTE_APP_LOAD_PROFILE_H

#include "app/errors.h"
#include "core/load/load_plan.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace fireflyroute::app {

struct LoadAccount
{
    core::ClientAccountId id;
    std::string token;
};

struct LoadSetup
{
    core::LoadProfile profile;
    std::vector<LoadAccount> accounts; // contains each account that the profile's kinds use
};

// Fails with InvalidSetting for the first invalid, missing or unknown field.
[[nodiscard]] Result<LoadSetup> readLoadSetup(const Json::Value &json);

// The token of an account in the setup; empty for any other account.
[[nodiscard]] std::string tokenOf(const LoadSetup &setup, const core::ClientAccountId &account);

} // namespace fireflyroute::app

#endif

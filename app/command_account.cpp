// Commands for client accounts.

#include "app/caller_api.h"
#include "app/command_groups.h"
#include "app/command_output.h"

namespace fireflyroute::app {

int makeKey(const CommandSettings &settings)
{
    if (settings.id.empty())
        return reportUsage("account key: --id is required");
    const AccountKey key = makeAccountKey(core::ClientAccountId(settings.id));
    Json::Value json;
    json["token"] = key.token;
    json["key_salt"] = key.salt;
    json["key_hash"] = key.hash;
    printJson(json);
    return kExitOk;
}

} // namespace fireflyroute::app

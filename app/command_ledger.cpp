// Commands that read records of the ledger: bills and claims.

#include "app/command_groups.h"
#include "app/command_output.h"
#include "net/text_json.h"

#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

// Calls `visit` for each record of a kind, in order of names.
template<typename Visit>
Result<void> visitRecords(const OperatorClient &client, core::LedgerKind kind, Visit visit)
{
    std::string after;
    while (true) {
        Json::Value parameters;
        parameters["kind"] = std::string(core::nameOf(kind));
        parameters["after"] = after;
        BOOST_OUTCOME_TRY(page, client.call("records", parameters));
        const Json::Value &records = page["records"];
        if (records.empty())
            return core::outcome::success();
        for (const Json::Value &record : records)
            visit(record);
        after = records[records.size() - 1]["name"].asString();
    }
}

void printClaim(const CommandSettings &settings, const Json::Value &record)
{
    if (settings.json) {
        fmt::print("{}\n", net::writeJson(record));
        return;
    }
    const Json::Value &claim = record["claim"];
    fmt::print("{:<40} {:<9} request={} claimant={} status={} {}\n", record["name"].asString(),
               claim["state"].asString(), claim["attempt"].asString(), claim["claimant"].asString(),
               claim["answer_status"].asInt(), claim["reason"].asString());
}

} // namespace

int exportBills(const CommandSettings &settings)
{
    const Result<void> done = visitRecords(
            OperatorClient(settings), core::LedgerKind::Bill,
            [](const Json::Value &record) { fmt::print("{}\n", net::writeJson(record)); });
    return done ? kExitOk : reportFailure(done.error());
}

int showClaims(const CommandSettings &settings)
{
    bool found = false;
    const auto show = [&](const Json::Value &record) {
        if (!settings.id.empty() && record["name"].asString() != settings.id)
            return;
        found = true;
        printClaim(settings, record);
    };
    const Result<void> done = visitRecords(OperatorClient(settings), core::LedgerKind::Claim, show);
    if (!done)
        return reportFailure(done.error());
    if (!settings.id.empty() && !found)
        return reportFailure(AppFailure{AppError::Refused, "claim " + settings.id + ": not found"});
    return kExitOk;
}

} // namespace fireflyroute::app

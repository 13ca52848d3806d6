// Decodes load profiles.

#include "app/load_profile.h"

#include "net/json_fields.h"

namespace fireflyroute::app {

namespace {

net::Result<core::LoadKind> readKind(const Json::Value &value, const std::string &where)
{
    net::FieldReader reader(value, where);
    core::LoadKind kind;
    kind.share = reader.real("share", kind.share);
    kind.rank = reader.enumerator<core::Rank>("rank", kind.rank);
    kind.account = reader.identifier<core::ClientAccountId>("account");
    kind.task = core::TaskName(reader.text("task", ""));
    kind.model = reader.text("model", kind.model);
    kind.sessions = reader.number("sessions", kind.sessions);
    kind.promptWords = reader.number("prompt_words", kind.promptWords);
    kind.maxTokens = reader.number("max_tokens", kind.maxTokens);
    BOOST_OUTCOME_TRYV(reader.finish());
    return kind;
}

net::Result<LoadAccount> readAccount(const Json::Value &value, const std::string &where)
{
    net::FieldReader reader(value, where);
    LoadAccount account;
    account.id = reader.identifier<core::ClientAccountId>("id");
    account.token = reader.text("token");
    BOOST_OUTCOME_TRYV(reader.finish());
    return account;
}

net::Result<LoadSetup> readFields(const Json::Value &json)
{
    net::FieldReader reader(json, "");
    LoadSetup setup;
    core::LoadProfile &profile = setup.profile;
    profile.seed = reader.number("seed", profile.seed);
    profile.requestsPerSecond = reader.real("requests_per_second", profile.requestsPerSecond);
    profile.maxRequests = reader.number("max_requests", profile.maxRequests);
    profile.duration = reader.milliseconds("duration_ms", profile.duration);
    profile.kinds = reader.list<core::LoadKind>("kinds", readKind);
    setup.accounts = reader.list<LoadAccount>("accounts", readAccount);
    BOOST_OUTCOME_TRYV(reader.finish());
    return setup;
}

} // namespace

Result<LoadSetup> readLoadSetup(const Json::Value &json)
{
    net::Result<LoadSetup> setup = readFields(json);
    if (!setup)
        return AppFailure{AppError::InvalidSetting, "--file: " + setup.error().detail};
    const core::Result<void> valid = core::validate(setup.value().profile);
    if (!valid)
        return AppFailure{AppError::InvalidSetting, "--file: " + valid.error().detail};
    for (const core::LoadKind &kind : setup.value().profile.kinds) {
        if (tokenOf(setup.value(), kind.account).empty()) {
            return AppFailure{AppError::InvalidSetting,
                              "--file: accounts: no token for " + kind.account.value()};
        }
    }
    return std::move(setup.value());
}

std::string tokenOf(const LoadSetup &setup, const core::ClientAccountId &account)
{
    for (const LoadAccount &candidate : setup.accounts) {
        if (candidate.id == account)
            return candidate.token;
    }
    return "";
}

} // namespace fireflyroute::app

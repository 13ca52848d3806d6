// Rate and concurrency limits of client accounts: a token bucket and a count of running requests
// per account.

#include "core/admission/admission_accounts.h"

#include <algorithm>

namespace fireflyroute::core {

namespace {

constexpr double kSecondsPerMinute = 60;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void AdmissionAccounts::configure(const std::vector<ClientAccount> &accounts, Instant now)
{
    for (auto &[id, state] : states_) {
        refill(state, now);
        state.configured = false;
    }
    for (const ClientAccount &account : accounts) {
        State &state = states_[account.id];
        const double rate = static_cast<double>(account.tokensPerMinute) / kSecondsPerMinute;
        if (state.tokensPerSecond == 0)
            state.tokens = static_cast<double>(account.tokensPerMinute);
        state.configured = true;
        state.weight = account.weight;
        state.tokensPerSecond = rate;
        state.maxConcurrent = account.maxConcurrent;
        state.refilledAt = now;
    }
    std::erase_if(states_, [](const auto &item) {
        return !item.second.configured && item.second.running == 0;
    });
}

bool AdmissionAccounts::isConfigured(const ClientAccountId &account) const
{
    const auto found = states_.find(account);
    return found != states_.end() && found->second.configured;
}

double AdmissionAccounts::weight(const ClientAccountId &account) const
{
    const auto found = states_.find(account);
    return found == states_.end() ? 1 : found->second.weight;
}

Duration AdmissionAccounts::tokenWait(const ClientAccountId &account, double tokens, Instant now)
{
    State &state = states_[account];
    if (state.tokensPerSecond == 0)
        return Duration::zero();
    refill(state, now);
    // A request larger than the whole bucket may run once the bucket is full.
    const double required = std::min(tokens, state.tokensPerSecond * kSecondsPerMinute);
    const double missing = required - state.tokens;
    if (missing <= 0)
        return Duration::zero();
    const std::chrono::duration<double> wait(missing / state.tokensPerSecond);
    return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

void AdmissionAccounts::charge(const ClientAccountId &account, double tokens, Instant now)
{
    State &state = states_[account];
    refill(state, now);
    state.tokens -= tokens;
}

bool AdmissionAccounts::mayRun(const ClientAccountId &account) const
{
    const auto found = states_.find(account);
    if (found == states_.end() || found->second.maxConcurrent == 0)
        return true;
    return found->second.running < found->second.maxConcurrent;
}

bool AdmissionAccounts::addRunning(const ClientAccountId &account, std::int64_t change)
{
    const bool before = mayRun(account);
    states_[account].running += change;
    return !before && mayRun(account);
}

void AdmissionAccounts::refill(State &state, Instant now)
{
    const double capacity = state.tokensPerSecond * kSecondsPerMinute;
    const double accrued =
            state.tokensPerSecond * seconds(std::max(Duration{0}, now - state.refilledAt));
    state.tokens = std::min(capacity, state.tokens + accrued);
    state.refilledAt = now;
}

} // namespace fireflyroute::core

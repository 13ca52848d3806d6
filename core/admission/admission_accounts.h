// Limits of client accounts over all entries: requests in flight and tokens per minute.
//
//   AdmissionAccounts accounts;
//   accounts.configure(config.accounts, now);
//   if (accounts.tokenWait(account, tokens, now) > Duration::zero())
//       refuse();
//   accounts.charge(account, tokens, now);
//
// Usage reported by other entries counts like local usage, so a limit applies to the whole fleet.
// It can be exceeded by the requests that entries start between two reports.

#ifndef FIREFLYROUTE_CORE_ADMISSION_ADMISSION_ACCOUNTS_H
#define FIREFLYROUTE_CORE_ADMISSION_ADMISSION_ACCOUNTS_H

#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/config/fleet_config.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

class AdmissionAccounts
{
public:
    // Applies new weights and limits. Accounts that remain configured keep their usage.
    void configure(const std::vector<ClientAccount> &accounts, Instant now);

    [[nodiscard]] bool isConfigured(const ClientAccountId &account) const;
    [[nodiscard]] double weight(const ClientAccountId &account) const; // 1 when unknown

    // Time until the account may use this many more tokens; zero if it may use them now.
    [[nodiscard]] Duration tokenWait(const ClientAccountId &account, double tokens, Instant now);

    // Charges tokens to the rate limit. A negative amount is a refund.
    void charge(const ClientAccountId &account, double tokens, Instant now);

    // Whether the account may have one more request in flight. True for an account that is no
    // longer configured, so that its queued requests, admitted while it was configured, can finish.
    [[nodiscard]] bool mayRun(const ClientAccountId &account) const;

    // Changes the number of requests in flight, on this or another entry. Returns true if mayRun()
    // changed from false to true.
    bool addRunning(const ClientAccountId &account, std::int64_t change);

private:
    struct State
    {
        bool configured = false;
        double weight = 1;
        double tokensPerSecond = 0; // 0: no limit
        std::int64_t maxConcurrent = 0; // 0: no limit
        double tokens = 0; // bucket that holds one minute; negative after use by other entries
        Instant refilledAt; // time as of which `tokens` is valid
        std::int64_t running = 0; // over all entries, as last reported
    };

    static void refill(State &state, Instant now);

    std::unordered_map<ClientAccountId, State> states_;
};

} // namespace fireflyroute::core

#endif

// Cost of one request in admission, from arrival to completion, with full queues, by the number of
// accounts with waiting requests.

#include "core/admission/admission.h"

#include <benchmark/benchmark.h>
#include <string>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const PoolId kPool("returns");
constexpr std::uint32_t kSlots = 96;
constexpr std::uint32_t kQueueLimit = 100'000;
constexpr int kQueuedPerAccount = 10;

FleetConfig config(int accounts)
{
    FleetConfig result;
    for (RankPolicy &policy : result.defaults.ranks) {
        policy.queueLimit = kQueueLimit;
        policy.queueTimeout = 1h;
    }
    for (int i = 0; i < accounts; ++i)
        result.accounts.push_back(ClientAccount{.id = ClientAccountId(std::to_string(i))});
    return result;
}

void admitAndFinish(benchmark::State &state)
{
    const int accounts = static_cast<int>(state.range(0));
    Instant now{1h};
    Admission<> admission(VmId("entry"), Incarnation(1));
    admission.configure(config(accounts), now);
    admission.step(CapacityChanged{kPool, kSlots}, now);
    int next = 0;
    std::vector<RequestId> running;
    const auto collect = [&](const Admission<>::Actions &actions) {
        for (const AdmissionAction &action : actions) {
            if (const auto *dispatch = std::get_if<DispatchRequest>(&action))
                running.push_back(dispatch->id);
        }
    };
    const auto submit = [&] {
        const AdmissionRequest request{.id = RequestId(std::to_string(next)),
                                       .account = ClientAccountId(std::to_string(next % accounts)),
                                       .pool = kPool,
                                       .rank = static_cast<Rank>(next / accounts % 3),
                                       .estimatedTokens = 400};
        ++next;
        collect(admission.step(RequestArrived{request}, now));
    };
    for (int i = 0; i < accounts * kQueuedPerAccount + static_cast<int>(kSlots); ++i)
        submit();
    while (state.KeepRunning()) {
        now += 1ms;
        submit();
        const RequestId finished = running.back();
        running.pop_back();
        collect(admission.step(RequestFinished{finished, 380}, now));
    }
}

} // namespace

BENCHMARK(admitAndFinish)->Arg(10)->Arg(100)->Arg(1000);

BENCHMARK_MAIN();

// Measures the CPU cost of the replicated log: commits by batch size and number of voters, with
// disks and network that take no time.

#include "core/group/replica.h"

#include <benchmark/benchmark.h>
#include <deque>

using namespace fireflyroute::core;

namespace {

constexpr std::size_t kPayloadBytes = 200;
const Instant kStart{std::chrono::hours(1)};

ReplicaId vmId(std::size_t number)
{
    return ReplicaId{VmId("vm" + std::to_string(number)), Incarnation{1}};
}

// Replicas whose messages are delivered and whose writes are synced immediately.
class ZeroLatencyGroup
{
public:
    explicit ZeroLatencyGroup(std::size_t voters)
    {
        Membership membership;
        for (std::size_t i = 0; i < voters; ++i)
            membership.members.push_back(Member{vmId(i), MemberRole::Voter});
        for (std::size_t i = 0; i < voters; ++i) {
            ReplicaConfig config{.self = vmId(i)};
            replicas_.emplace_back(config, newGroup(membership),
                                   std::minstd_rand(static_cast<std::uint32_t>(i + 1)), kStart);
        }
        // After the time in which a started replica refuses votes.
        now_ = kStart + std::chrono::seconds(2);
        step(0, Tick{});
        deliverAll();
    }

    void propose(std::size_t count)
    {
        Propose input;
        for (std::size_t i = 0; i < count; ++i)
            input.proposals.push_back(
                    Proposal{ProposalId{++lastProposal_}, std::string(kPayloadBytes, 'x')});
        step(0, input);
        deliverAll();
    }

    [[nodiscard]] std::size_t committed() const { return committed_; }
    [[nodiscard]] std::size_t messages() const { return messages_; }

private:
    void step(std::size_t number, const ReplicaInput &input)
    {
        WriteToken token = 0;
        for (ReplicaAction &action : replicas_[number].step(input, now_)) {
            if (auto *message = std::get_if<SendMessage>(&action))
                network_.push_back(std::move(message->message));
            if (const auto *write = std::get_if<WriteHardState>(&action))
                token = write->token;
            if (const auto *write = std::get_if<WriteEntries>(&action))
                token = write->token;
            if (std::holds_alternative<ProposalDone>(action))
                ++committed_;
            if (const auto *snapshot = std::get_if<TakeSnapshot>(&action)) {
                auto taken = std::make_shared<const Snapshot>(Snapshot{snapshot->meta, "state"});
                step(number, SnapshotCompleted{taken});
            }
        }
        if (token != 0)
            step(number, SyncCompleted{token});
    }

    void deliverAll()
    {
        while (!network_.empty()) {
            const ReplicaMessage message = std::move(network_.front());
            network_.pop_front();
            ++messages_;
            for (std::size_t i = 0; i < replicas_.size(); ++i) {
                if (replicas_[i].self() == message.to)
                    step(i, MessageReceived{message});
            }
        }
    }

    std::deque<Replica> replicas_;
    std::deque<ReplicaMessage> network_;
    Instant now_;
    std::uint64_t lastProposal_ = 0;
    std::size_t committed_ = 0;
    std::size_t messages_ = 0;
};

void commitBatches(benchmark::State &state)
{
    const auto voters = static_cast<std::size_t>(state.range(0));
    const auto batch = static_cast<std::size_t>(state.range(1));
    ZeroLatencyGroup group(voters);
    std::size_t proposed = 0;
    while (state.KeepRunning()) {
        group.propose(batch);
        proposed += batch;
    }
    if (group.committed() != proposed)
        state.SkipWithError("not all proposals were committed");
    state.SetItemsProcessed(static_cast<std::int64_t>(proposed));
    state.counters["messages_per_commit"] =
            static_cast<double>(group.messages()) / static_cast<double>(proposed);
}

BENCHMARK(commitBatches)->ArgsProduct({{1, 3, 5}, {1, 16, 256}})->ArgNames({"voters", "batch"});

} // namespace

BENCHMARK_MAIN();

// Runs random schedules of all faults combined, each from its own seed, with the safety checks of
// the harness after every action. A failure reports the seed. To repeat a single schedule, set the
// environment variable REPLICA_SEED.

#define BOOST_TEST_MODULE replica_explorer
#include "core/group/testing/replica_harness.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kSchedules = 12'000;
constexpr std::size_t kStepsPerSchedule = 500;
constexpr std::uint64_t kLongStepMicroseconds = 8000;
constexpr std::uint64_t kShortStepMicroseconds = 2000;
// Time for elections, repairs and catching up after the faults end, with long and with short
// timeouts.
constexpr Duration kRecoveryTime = 12s;
constexpr Duration kShortRecoveryTime = 4s;

// Rates of the faults in one schedule, in permille: loss and repeat per delivered message,
// crashAtAction per action and sync, the others per step. Messages are lost, repeated or reordered
// only in schedules that do not run in lockstep.
struct Faults
{
    std::uint32_t loss = 0;
    std::uint32_t repeat = 0;
    std::uint32_t crash = 0;
    std::uint32_t crashAtAction = 0;
    std::uint32_t partition = 0;
    std::uint32_t diskLoss = 0;
    std::uint32_t membership = 0;
    std::uint32_t clockJump = 0;
    std::uint32_t transfer = 0;
    bool reorder = false;
};

class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : harness(seed)
    {
        sampleTiming();
        sampleFaults();
        sampleGroup();
        harness.crashBeforeAction = [this](FakeVm &, const ReplicaAction &) {
            return occurs(faults.crashAtAction);
        };
        harness.crashAfterSync = [this](FakeVm &) { return occurs(faults.crashAtAction); };
    }

    void run()
    {
        for (std::size_t i = 0; i < kStepsPerSchedule; ++i)
            runsInLockstep_ ? lockstepStep() : randomStep();
        recover();
    }

    ReplicaHarness harness;
    Faults faults;
    std::size_t diskLosses = 0;
    std::size_t removals = 0;
    bool recovered = false;

private:
    std::uint64_t sample(std::uint64_t bound) { return harness.rng() % bound; }
    bool occurs(std::uint32_t permille) { return sample(1000) < permille; }
    FakeVm &randomVm() { return harness.vms[sample(harness.vms.size())]; }

    std::uint32_t sampleRate(std::uint32_t permille) { return sample(2) == 0 ? permille : 0; }

    // Short timeouts make elections frequent relative to the network delays.
    void sampleTiming()
    {
        const int divisor = sample(2) == 0 ? 1 : 8;
        ReplicaTiming &timing = harness.config.timing;
        timing.heartbeat /= divisor;
        timing.electionMin /= divisor;
        timing.electionMax /= divisor;
        timing.driftMargin /= divisor;
        timing.joinInterval /= divisor;
        stepMicroseconds_ =
                divisor > 1 && sample(2) == 0 ? kShortStepMicroseconds : kLongStepMicroseconds;
        recoveryTime_ = divisor == 1 ? kRecoveryTime : kShortRecoveryTime;
    }

    void sampleFaults()
    {
        faults.loss = sampleRate(60);
        faults.repeat = sampleRate(60);
        faults.crash = sampleRate(8);
        faults.crashAtAction = sampleRate(4);
        faults.partition = sampleRate(15);
        faults.diskLoss = sampleRate(4);
        faults.membership = sampleRate(10);
        faults.clockJump = sampleRate(10);
        faults.transfer = sampleRate(10);
        faults.reorder = sample(2) == 0;
        runsInLockstep_ = sample(12) == 0;
        harness.clocksWithinMargin = sample(3) != 0;
    }

    void sampleGroup()
    {
        constexpr std::array<std::size_t, 4> kVoters{1, 2, 3, 5};
        harness.startGroup(kVoters[sample(kVoters.size())]);
        while (harness.vms.size() < 3)
            harness.addVm({});
        for (FakeVm &vm : harness.vms) {
            const double skew = harness.clocksWithinMargin ? 0.04 : 0.5;
            vm.clockRate = 1 + skew * (static_cast<double>(sample(2001)) / 1000 - 1);
            vm.clockOffset = Duration(std::chrono::milliseconds(sample(10'000)));
        }
    }

    void randomStep()
    {
        harness.time += std::chrono::microseconds(sample(stepMicroseconds_));
        injectFaults();
        FakeVm &vm = randomVm();
        const std::uint64_t stepKind = sample(20);
        if (stepKind < 11 && !harness.network.empty())
            deliverOne();
        else if (stepKind < 14)
            harness.sync(vm);
        else if (stepKind < 17)
            harness.step(vm, Tick{});
        else if (stepKind < 19)
            harness.propose(vm);
        else
            harness.read(vm);
    }

    // Advances all VMs together by one time step of 10 ms, in which pending messages and syncs are
    // delivered. A new leader is thus elected while the lease of the old one may still be valid.
    void lockstepStep()
    {
        injectFaults();
        harness.run(10ms);
        harness.propose(randomVm());
        harness.read(randomVm());
    }

    void deliverOne()
    {
        const std::size_t position = faults.reorder ? sample(harness.network.size()) : 0;
        if (occurs(faults.loss)) {
            harness.network.erase(harness.network.begin() + static_cast<std::ptrdiff_t>(position));
            return;
        }
        harness.deliver(position, faults.reorder && occurs(faults.repeat));
    }

    void injectFaults()
    {
        FakeVm &vm = randomVm();
        if (!vm.replica && occurs(100))
            harness.start(vm);
        if (occurs(faults.crash))
            harness.crash(vm, sample(vm.disk.pending.size() + 1));
        if (occurs(faults.diskLoss) && diskLosses < 2)
            loseDisk(vm);
        if (occurs(faults.partition))
            changePartition();
        if (occurs(faults.clockJump))
            jumpClock(vm);
        if (occurs(faults.transfer))
            harness.step(vm, TransferLeadership{});
        if (occurs(faults.membership))
            changeMembership(vm);
    }

    void loseDisk(FakeVm &vm)
    {
        harness.loseDisk(vm);
        ++diskLosses;
    }

    void changePartition()
    {
        if (sample(2) == 0) {
            harness.disconnectedLinks.clear();
            return;
        }
        FakeVm *leader = harness.leader();
        if (leader && sample(2) == 0)
            harness.isolate(*leader);
        else
            disconnectLink(randomVm().id.vm, randomVm().id.vm);
    }

    // Disconnects one direction or both.
    void disconnectLink(const VmId &from, const VmId &to)
    {
        harness.disconnectedLinks.insert({from, to});
        if (sample(2) == 0)
            harness.disconnectedLinks.insert({to, from});
    }

    // The drift margin covers one election timeout, so clocks within the margin jump only once and
    // by a fraction of it.
    void jumpClock(FakeVm &vm)
    {
        if (!harness.clocksWithinMargin)
            vm.clockOffset += Duration(std::chrono::milliseconds(sample(1500)));
        else if (!hasClockJumped_)
            vm.clockOffset += harness.config.timing.driftMargin / 3;
        hasClockJumped_ = true;
    }

    void changeMembership(FakeVm &vm)
    {
        const ReplicaId target = randomVm().id;
        constexpr std::array kKinds{ChangeKind::AddLearner, ChangeKind::Promote,
                                    ChangeKind::Remove};
        const ChangeKind kind = kKinds[sample(kKinds.size())];
        removals += kind == ChangeKind::Remove ? 1U : 0U;
        harness.change(vm, kind, target);
    }

    // Ends all faults, lets the group recover and commits one more entry. That entry must have a
    // higher index than every entry acknowledged before.
    void recover()
    {
        faults = Faults{};
        harness.disconnectedLinks.clear();
        for (FakeVm &vm : harness.vms) {
            if (!vm.replica)
                harness.start(vm);
        }
        harness.run(recoveryTime_);
        FakeVm *leader = harness.leader();
        if (!leader)
            return;
        const std::size_t before = harness.acknowledgements;
        const LogIndex acknowledgedBefore = harness.acknowledgedIndex;
        harness.propose(*leader);
        harness.run(1s);
        recovered = harness.acknowledgements > before;
        if (recovered)
            checkSafety(harness.acknowledgedIndex > acknowledgedBefore,
                        "an acknowledged entry was lost");
    }

    Duration recoveryTime_{0};
    std::uint64_t stepMicroseconds_ = 0; // maximum time between two steps
    bool runsInLockstep_ = false;
    bool hasClockJumped_ = false;
};

struct Totals
{
    std::size_t acknowledgements = 0;
    std::size_t reads = 0;
    std::size_t snapshots = 0;
    std::size_t recovered = 0;
    std::size_t diskLosses = 0;
};

void runSchedule(std::uint64_t seed, Totals &totals)
{
    Schedule schedule(seed);
    try {
        schedule.run();
    } catch (const SafetyViolation &violation) {
        BOOST_ERROR("seed " << seed << ": " << violation.what());
        return;
    }
    // Only the loss of a data directory may make the majority unavailable permanently.
    const bool mustRecover = schedule.diskLosses == 0;
    BOOST_TEST((schedule.recovered || !mustRecover), "seed " << seed << " did not recover");
    totals.acknowledgements += schedule.harness.acknowledgements;
    totals.reads += schedule.harness.reads;
    totals.snapshots += schedule.harness.snapshotsInstalled;
    totals.recovered += schedule.recovered ? 1U : 0U;
    totals.diskLosses += schedule.diskLosses;
}

} // namespace

BOOST_AUTO_TEST_CASE(safety_holds_in_random_schedules)
{
    std::uint64_t first = kFirstSeed;
    std::uint64_t count = kSchedules;
    if (const char *single = std::getenv("REPLICA_SEED")) {
        first = std::strtoull(single, nullptr, 10);
        count = 1;
    }
    Totals totals;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        runSchedule(seed, totals);
    BOOST_TEST_MESSAGE("seeds " << first << " to " << first + count - 1 << ": "
                                << totals.acknowledgements << " acknowledged, " << totals.reads
                                << " reads, " << totals.snapshots << " snapshots installed, "
                                << totals.diskLosses << " disks lost, " << totals.recovered
                                << " recovered");
    // Checks that the schedules actually exercised commits, reads, snapshots and disk losses.
    if (count > 1) {
        BOOST_TEST(totals.acknowledgements > count);
        BOOST_TEST(totals.reads > count);
        BOOST_TEST(totals.snapshots > 0U);
        BOOST_TEST(totals.diskLosses > 0U);
    }
}

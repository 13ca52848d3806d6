// Simulates successive leaders and a few entries that exchange messages with delays chosen by the
// test. It checks the invariant of configuration leases: no entry may dispatch under a revision
// older than one that was reported in force.

#ifndef FIREFLYROUTE_CORE_LEASES_TESTING_LEASE_FIXTURE_H
#define FIREFLYROUTE_CORE_LEASES_TESTING_LEASE_FIXTURE_H

#include "core/leases/lease_holder.h"

#include <utility>
#include <variant>
#include <vector>

namespace fireflyroute::core {

// The monotonic and wall clocks of one VM, which may run at a wrong rate, stand still or jump.
struct FakeVmClock
{
    double rate = 1;
    bool suspended = false; // the monotonic clock stands still
    ClockReading reading{Instant(std::chrono::hours(1)), WallTime(std::chrono::hours(1000))};
    Duration wallRemainder{0}; // fraction of a millisecond not yet added to the wall clock

    void advance(Duration realTime)
    {
        const auto elapsed =
                Duration(static_cast<std::int64_t>(static_cast<double>(realTime.count()) * rate));
        if (!suspended)
            reading.monotonic += elapsed;
        wallRemainder += elapsed;
        const auto wholeMilliseconds =
                std::chrono::duration_cast<std::chrono::milliseconds>(wallRemainder);
        reading.wall += wholeMilliseconds;
        wallRemainder -= wholeMilliseconds;
    }
};

struct FakeEntry
{
    LeaseHolder holder;
    FakeVmClock clock;
    bool frozen = false; // neither sends nor receives; messages to it stay queued
};

struct FakeLeader
{
    LeaseGranter granter{GroupId(0)};
    FakeVmClock clock;
    LeaderAuthority authority;
};

struct FetchedRevision
{
    Revision revision;
};

using LeaseMessage = std::variant<LeaseRequest, LeaseGrant, FetchedRevision>;

// Network behaviour: the delay of each copy of a message. An empty result means that the message is
// lost.
template<typename T>
concept DelayPolicy = requires(T &policy, std::size_t entry, const LeaseMessage &message)
{
    {
        policy(entry, message)
        } -> std::same_as<std::vector<Duration>>;
};

template<DelayPolicy Network>
class LeaseFixture
{
public:
    static constexpr Duration kStep = std::chrono::milliseconds(10);
    static constexpr Duration kLeaderLease = std::chrono::milliseconds(800);

    LeaseFixture(std::size_t entries, Network network)
        : network_(std::move(network))
    {
        for (std::size_t index = 0; index < entries; ++index) {
            const VmIncarnation id{VmId("entry-" + std::to_string(index)), Incarnation(1)};
            entries_.push_back(FakeEntry{LeaseHolder(GroupId(0), id), {}, false});
        }
        nextRequest_.resize(entries);
        elect();
    }

    // Starts a new leader. The leader lease of its predecessor must have ended.
    void elect()
    {
        leaders_.push_back(FakeLeader{});
        FakeLeader &leader = leaders_.back();
        leader.authority.term = leaders_.size();
        leader.authority.caughtUp = true;
        leader.granter.startTerm(leader.authority, leader.clock.reading);
        leaderConnected_ = true;
    }

    // Disconnects the leader from its followers; its leader lease remains valid until it expires.
    void isolateLeader() { leaderConnected_ = false; }

    void acceptChange() { applied_ = Revision(toNumber(applied_) + 1); }

    // Advances time in steps. Each step delivers messages, renews leases, polls and checks the
    // invariant.
    void run(Duration realTime)
    {
        for (Duration elapsed{0}; elapsed < realTime; elapsed += kStep)
            step();
    }

    FakeEntry &entry(std::size_t index) { return entries_[index]; }
    FakeLeader &leader() { return leaders_.back(); }
    [[nodiscard]] Revision applied() const { return applied_; }
    [[nodiscard]] Revision inForce() const { return inForce_; }
    [[nodiscard]] std::size_t violations() const { return violations_; }
    [[nodiscard]] std::size_t dispatches() const { return dispatches_; }
    [[nodiscard]] bool mayDispatch(std::size_t index) const
    {
        const FakeEntry &entry = entries_[index];
        return !entry.frozen
               && entry.holder.permit().check(entry.holder.heldRevision(), entry.clock.reading)
                          == DispatchCheck::Allowed;
    }

private:
    struct QueuedMessage
    {
        Duration due;
        std::size_t entry;
        LeaseMessage message;
    };

    void step()
    {
        now_ += kStep;
        for (FakeEntry &entry : entries_)
            entry.clock.advance(kStep);
        for (FakeLeader &leader : leaders_)
            leader.clock.advance(kStep);
        if (leaderConnected_)
            leader().authority.validUntil = leader().clock.reading.monotonic + kLeaderLease;
        deliver();
        renew();
        poll();
        checkInvariant();
    }

    void renew()
    {
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            if (entries_[index].frozen || now_ < nextRequest_[index])
                continue;
            sendRequest(index);
        }
    }

    void sendRequest(std::size_t index)
    {
        nextRequest_[index] = now_ + kConfigLeaseRenewInterval;
        send(index, entries_[index].holder.request(entries_[index].clock.reading));
    }

    void send(std::size_t index, const LeaseMessage &message)
    {
        for (const Duration delay : network_(index, message))
            queuedMessages_.push_back(QueuedMessage{now_ + delay, index, message});
    }

    void deliver()
    {
        std::vector<QueuedMessage> due;
        std::erase_if(queuedMessages_, [&](const QueuedMessage &queued) {
            const bool toLeader = std::holds_alternative<LeaseRequest>(queued.message);
            const bool isDelivered =
                    queued.due <= now_ && (toLeader || !entries_[queued.entry].frozen);
            if (isDelivered)
                due.push_back(queued);
            return isDelivered;
        });
        for (const QueuedMessage &queued : due)
            std::visit([&](const auto &body) { handle(queued.entry, body); }, queued.message);
    }

    void handle(std::size_t index, const LeaseRequest &request)
    {
        // Every current or former leader may still assume that it is the leader.
        for (FakeLeader &fakeLeader : leaders_) {
            const Result<LeaseGrant> grant = fakeLeader.granter.grant(request, fakeLeader.authority,
                                                                      appliedRevisionOf(fakeLeader),
                                                                      fakeLeader.clock.reading);
            if (grant)
                send(index, grant.value());
        }
    }

    void handle(std::size_t index, const LeaseGrant &grant)
    {
        if (entries_[index].holder.handleGrant(grant) == GrantOutcome::RevisionNeeded)
            send(index, FetchedRevision{grant.revision});
    }

    void handle(std::size_t index, const FetchedRevision &fetched)
    {
        entries_[index].holder.activateRevision(fetched.revision);
        sendRequest(index);
    }

    // A former leader receives no new revisions.
    Revision appliedRevisionOf(const FakeLeader &fakeLeader)
    {
        return &fakeLeader == &leaders_.back() ? applied_ : Revision(0);
    }

    void poll()
    {
        FakeLeader &leader = leaders_.back();
        const Revision reported = leader.granter.inForce().poll(applied_, leader.clock.reading);
        inForce_ = std::max(inForce_, reported);
    }

    void checkInvariant()
    {
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            if (!mayDispatch(index))
                continue;
            ++dispatches_;
            if (entries_[index].holder.heldRevision() < inForce_)
                ++violations_;
        }
    }

    Network network_;
    Duration now_{0}; // real time since the start
    std::vector<FakeEntry> entries_;
    std::vector<Duration> nextRequest_; // per entry, in real time
    std::vector<FakeLeader> leaders_; // the last one is the current leader
    bool leaderConnected_ = true;
    std::vector<QueuedMessage> queuedMessages_;
    Revision applied_{0};
    Revision inForce_{0}; // newest revision reported by any leader
    std::size_t violations_ = 0;
    std::size_t dispatches_ = 0;
};

} // namespace fireflyroute::core

#endif

// The fleet-wide retry budget.

#include "core/retry_budget.h"

#include <utility>

namespace fireflyroute::core {

namespace {

// Time constant over which attempts are averaged.
constexpr Duration kWindow = std::chrono::seconds(10);

// Retries per second that the whole fleet may make when there is hardly any traffic.
constexpr double kFloorPerSecond = 0.5;

// Silence after which an entry has no part in the floor.
constexpr Duration kPeerExpiry = std::chrono::seconds(10);

constexpr double kPermille = 1000;

} // namespace

RetryVerdict mayRetry(const FailedAttempt &attempt)
{
    if (attempt.claimed)
        return RetryVerdict::NotRepeatable;
    if (attempt.quarantined)
        return RetryVerdict::Quarantined;
    if (attempt.answerStarted)
        return RetryVerdict::AnswerStarted;
    if (attempt.ran != Ran::No && !attempt.idempotent)
        return RetryVerdict::MayHaveRun;
    return RetryVerdict::Allowed;
}

RetryBudget::RetryBudget(VmId self, Incarnation incarnation, std::uint32_t permille)
    : own_{.entry = std::move(self), .incarnation = incarnation}
    , permille_(permille)
    , firstAttempts_(kWindow)
    , retries_(kWindow)
{}

void RetryBudget::firstAttempt(Instant now)
{
    ++own_.firstAttempts;
    firstAttempts_.add(1, now);
}

bool RetryBudget::hasRetry(Instant now) const
{
    const double earned = firstAttempts_.perSecond(now) * permille_ / kPermille;
    const double floor = kFloorPerSecond / static_cast<double>(entries(now));
    const std::chrono::duration<double> window = kWindow;
    const double afterwards = retries_.perSecond(now) + 1 / window.count();
    return afterwards <= earned + floor;
}

bool RetryBudget::tryRetry(Instant now)
{
    if (!hasRetry(now))
        return false;
    ++own_.retries;
    retries_.add(1, now);
    return true;
}

RetryReport RetryBudget::report()
{
    ++own_.sequence;
    return own_;
}

void RetryBudget::receive(const RetryReport &report, Duration age, Instant now)
{
    if (report.entry == own_.entry || age >= kPeerExpiry)
        return;
    const auto [found, isNew] = peers_.try_emplace(report.entry);
    Peer &peer = found->second;
    const bool isNewer = std::pair(report.incarnation, report.sequence)
                         > std::pair(peer.last.incarnation, peer.last.sequence);
    if (!isNew && !isNewer)
        return;
    RetryReport base = peer.last;
    if (isNew && report.sequence != 1)
        base = report;
    else if (isNew || report.incarnation != base.incarnation)
        base = RetryReport{};
    firstAttempts_.add(static_cast<double>(report.firstAttempts - base.firstAttempts), now);
    retries_.add(static_cast<double>(report.retries - base.retries), now);
    peer = Peer{report, now - age};
}

std::size_t RetryBudget::entries(Instant now) const
{
    std::size_t count = 1;
    for (const auto &[entry, peer] : peers_)
        count += now - peer.heardAt < kPeerExpiry ? 1 : 0;
    return count;
}

} // namespace fireflyroute::core

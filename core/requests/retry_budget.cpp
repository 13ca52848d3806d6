// The fleet-wide retry budget.

#include "core/requests/retry_budget.h"

#include <utility>

namespace fireflyroute::core {

namespace {

// Time constant of the averaged attempt rates.
constexpr Duration kAveragingWindow = std::chrono::seconds(10);

// Retries per second allowed to the whole fleet in addition to the fraction of first attempts, so
// that failed requests are also retried at low traffic.
constexpr double kFloorRetriesPerSecond = 0.5;

// An entry without a report for this time is not counted when the floor is divided.
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
    if (attempt.ran != Executed::No && !attempt.idempotent)
        return RetryVerdict::MayHaveRun;
    return RetryVerdict::Allowed;
}

RetryBudget::RetryBudget(VmId self, Incarnation incarnation, std::uint32_t permille)
    : localReport_{.entry = std::move(self), .incarnation = incarnation}
    , permille_(permille)
    , firstAttempts_(kAveragingWindow)
    , retries_(kAveragingWindow)
{}

void RetryBudget::recordFirstAttempt(Instant now)
{
    ++localReport_.firstAttempts;
    firstAttempts_.add(1, now);
}

bool RetryBudget::canRetry(Instant now) const
{
    const double earned = firstAttempts_.perSecond(now) * permille_ / kPermille;
    const double floor = kFloorRetriesPerSecond / static_cast<double>(liveEntries(now));
    const std::chrono::duration<double> window = kAveragingWindow;
    const double rateAfterRetry = retries_.perSecond(now) + 1 / window.count();
    return rateAfterRetry <= earned + floor;
}

bool RetryBudget::tryRetry(Instant now)
{
    if (!canRetry(now))
        return false;
    ++localReport_.retries;
    retries_.add(1, now);
    return true;
}

RetryReport RetryBudget::report()
{
    ++localReport_.sequence;
    return localReport_;
}

void RetryBudget::receive(const RetryReport &report, Duration age, Instant now)
{
    if (report.entry == localReport_.entry || age >= kPeerExpiry)
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

std::size_t RetryBudget::liveEntries(Instant now) const
{
    std::size_t count = 1;
    for (const auto &[entry, peer] : peers_)
        count += now - peer.reportedAt < kPeerExpiry ? 1 : 0;
    return count;
}

} // namespace fireflyroute::core

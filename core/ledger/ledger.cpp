// Put-if-absent and compare-and-set of ledger records.

#include "core/ledger/ledger.h"

#include "core/ledger/ledger_claims.h"
#include "core/ledger/ledger_shard.h"

#include <algorithm>

namespace fireflyroute::core {

namespace {

bool kindMatches(LedgerKind kind, const LedgerValue &value)
{
    switch (kind) {
    case LedgerKind::Pin:
        return std::holds_alternative<PinValue>(value);
    case LedgerKind::Claim:
        return std::holds_alternative<ClaimValue>(value);
    case LedgerKind::Bill:
        return std::holds_alternative<BillValue>(value);
    }
    return false;
}

// Returns whether the rules of the record kind allow `next` to replace `current`.
bool isAllowedReplacement(const LedgerValue &current, const LedgerValue &next)
{
    if (std::holds_alternative<BillValue>(current))
        return false;
    const auto *currentClaim = std::get_if<ClaimValue>(&current);
    if (!currentClaim)
        return true;
    const ClaimValue &nextClaim = std::get<ClaimValue>(next);
    return currentClaim->fingerprint == nextClaim.fingerprint
           && isClaimTransition(currentClaim->state, nextClaim.state);
}

// Every new claim starts as Running.
bool isAllowedInitialValue(const LedgerValue &value)
{
    const auto *claim = std::get_if<ClaimValue>(&value);
    return !claim || claim->state == ClaimState::Running;
}

bool isReleasedClaim(const LedgerValue &value)
{
    const auto *claim = std::get_if<ClaimValue>(&value);
    return claim && claim->state == ClaimState::Released;
}

bool isBlank(const std::string &text)
{
    return text.find_first_not_of(" \t\r\n") == std::string::npos;
}

ClaimReply makeRejection(CoreError error, std::string detail)
{
    return ClaimReply{false, 0, error, std::move(detail)};
}

void clearAnswer(ClaimValue &claim)
{
    claim.answerStatus = 0;
    claim.answerType.clear();
    claim.answerBody.clear();
}

} // namespace

Ledger::Ledger(const std::vector<LedgerRecord> &records)
{
    for (const auto &[key, value] : records)
        store(key, value);
}

Ledger::Ledger(const std::vector<LedgerRecord> &records, const LedgerMeta &meta)
    : Ledger(records)
{
    billOrder_ = meta.billOrder;
    sealedBefore_ = meta.sealedBefore;
}

LedgerOutcome Ledger::apply(const LedgerOperation &operation)
{
    const auto found = records_.find(operation.key);
    if (found != records_.end())
        return replace(found->second, operation);
    return create(operation);
}

LedgerOutcome Ledger::create(const LedgerOperation &operation)
{
    const bool isValid = kindMatches(operation.key.kind, operation.value)
                         && isAllowedInitialValue(operation.value);
    if (operation.expected || !isValid)
        return LedgerOutcome{LedgerStatus::Conflict, std::nullopt};
    if (isSealed(operation.key))
        return LedgerOutcome{LedgerStatus::Sealed, std::nullopt};
    store(operation.key, operation.value);
    return LedgerOutcome{LedgerStatus::Created, operation.value};
}

LedgerOutcome Ledger::replace(const LedgerValue &current, const LedgerOperation &operation)
{
    const LedgerOutcome conflict{LedgerStatus::Conflict, current};
    if (!kindMatches(operation.key.kind, operation.value))
        return conflict;
    if (!operation.expected && !isReleasedClaim(current))
        return LedgerOutcome{LedgerStatus::Exists, current};
    if (operation.expected && *operation.expected != current)
        return conflict;
    if (!isAllowedReplacement(current, operation.value))
        return conflict;
    store(operation.key, operation.value);
    return LedgerOutcome{LedgerStatus::Replaced, operation.value};
}

ClaimReply Ledger::apply(const ClaimCommand &command)
{
    return std::visit([this](const auto &change) { return applyChange(change); }, command.change);
}

ClaimReply Ledger::applyChange(const ResolveClaim &change)
{
    const LedgerKey key{LedgerKind::Claim, change.claim};
    const auto found = records_.find(key);
    if (isBlank(change.reason))
        return makeRejection(CoreError::ReasonMissing, "reason: a written reason is required");
    if (found == records_.end())
        return makeRejection(CoreError::NotFound, "claim: " + change.claim + " not found");
    ClaimValue claim = std::get<ClaimValue>(found->second);
    const bool didRun = change.resolution == ClaimResolution::DidRun;
    const ClaimState resolved = didRun ? ClaimState::Done : ClaimState::Released;
    if (claim.state == resolved && claim.reason == change.reason)
        return ClaimReply{true, 0, CoreError::InvalidArgument, ""}; // resent command
    if (claim.state != ClaimState::Unknown) {
        return makeRejection(CoreError::InvalidArgument,
                             "claim: is " + std::string(nameOf(claim.state)) + ", not unknown");
    }
    claim.state = resolved;
    claim.reason = change.reason;
    store(key, claim);
    return ClaimReply{true, 1, CoreError::InvalidArgument, ""};
}

ClaimReply Ledger::applyChange(const AbandonClaims &change)
{
    ClaimReply reply{true, 0, CoreError::InvalidArgument, ""};
    const auto found = runningClaims_.find({change.claimant, change.incarnation});
    if (found == runningClaims_.end())
        return reply;
    const std::set<std::string> names = found->second;
    for (const std::string &name : names) {
        const LedgerKey key{LedgerKind::Claim, name};
        ClaimValue claim = std::get<ClaimValue>(records_.at(key));
        claim.state = ClaimState::Unknown;
        store(key, claim);
        ++reply.changed;
    }
    return reply;
}

// A finished claim whose key contains a time is dropped; a resend is then rejected by the time in
// its key. Other keys have no time, so their records are kept permanently, without the answer.
ClaimReply Ledger::applyChange(const SealClaims &change)
{
    ClaimReply reply{true, 0, CoreError::InvalidArgument, ""};
    sealedBefore_ = std::max(sealedBefore_, change.before);
    auto it = records_.lower_bound(LedgerKey{LedgerKind::Claim, ""});
    while (it != records_.end() && it->first.kind == LedgerKind::Claim) {
        auto &claim = std::get<ClaimValue>(it->second);
        const bool isFinished =
                claim.state == ClaimState::Done || claim.state == ClaimState::Released;
        if (isFinished && isSealed(it->first)) {
            it = records_.erase(it);
            ++reply.changed;
            continue;
        }
        const bool hasExpiredAnswer =
                claim.claimedAt < sealedBefore_ && !claimKeyTime(it->first.name);
        if (isFinished && hasExpiredAnswer && claim.answerStatus != 0) {
            clearAnswer(claim);
            ++reply.changed;
        }
        ++it;
    }
    return reply;
}

bool Ledger::isSealed(const LedgerKey &key) const
{
    if (key.kind != LedgerKind::Claim)
        return false;
    const std::optional<WallTime> time = claimKeyTime(key.name);
    return time && *time < sealedBefore_;
}

// Stores the record and updates the indexes derived from it.
void Ledger::store(const LedgerKey &key, const LedgerValue &value)
{
    const bool added = records_.insert_or_assign(key, value).second;
    if (added && key.kind == LedgerKind::Bill)
        billOrder_.push_back(key.name);
    if (const auto *claim = std::get_if<ClaimValue>(&value))
        indexClaim(key.name, *claim);
}

// The claimant of a running claim does not change, so one look-up finds its index entry.
void Ledger::indexClaim(const std::string &name, const ClaimValue &claim)
{
    const std::pair claimant(claim.claimant, claim.claimantIncarnation);
    if (claim.state == ClaimState::Running) {
        runningClaims_[claimant].insert(name);
        return;
    }
    const auto found = runningClaims_.find(claimant);
    if (found == runningClaims_.end())
        return;
    found->second.erase(name);
    if (found->second.empty())
        runningClaims_.erase(found);
}

std::optional<LedgerValue> Ledger::find(const LedgerKey &key) const
{
    const auto found = records_.find(key);
    if (found == records_.end())
        return std::nullopt;
    return found->second;
}

std::vector<LedgerRecord> Ledger::list(LedgerKind kind, const std::string &after,
                                       std::size_t limit) const
{
    std::vector<LedgerRecord> listed;
    auto it = records_.upper_bound(LedgerKey{kind, after});
    while (it != records_.end() && it->first.kind == kind && listed.size() < limit) {
        listed.emplace_back(it->first, it->second);
        ++it;
    }
    return listed;
}

std::vector<BillLine> Ledger::exportBills(std::uint64_t after, std::size_t limit) const
{
    std::vector<BillLine> lines;
    for (std::uint64_t number = after; number < billOrder_.size() && lines.size() < limit;
         ++number) {
        const std::string &name = billOrder_[number];
        const LedgerValue &value = records_.at(LedgerKey{LedgerKind::Bill, name});
        lines.push_back(BillLine{number + 1, RequestId(name), std::get<BillValue>(value)});
    }
    return lines;
}

std::vector<std::pair<VmId, Incarnation>> Ledger::runningClaimants() const
{
    std::vector<std::pair<VmId, Incarnation>> claimants;
    for (const auto &[claimant, names] : runningClaims_)
        claimants.push_back(claimant);
    return claimants;
}

std::vector<LedgerRecord> Ledger::data() const
{
    return {records_.begin(), records_.end()};
}

LedgerMeta Ledger::meta() const
{
    return LedgerMeta{billOrder_, sealedBefore_};
}

} // namespace fireflyroute::core

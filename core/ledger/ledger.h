// The record ledger: a put-if-absent map for session pins, claims and bills. It is part of the
// replicated state, so a record is created at most once, no matter which entry sends the operation.
//
//   Ledger ledger;
//   LedgerOutcome outcome = ledger.apply(LedgerOperation{key, value, std::nullopt});

#ifndef FIREFLYROUTE_CORE_LEDGER_LEDGER_H
#define FIREFLYROUTE_CORE_LEDGER_LEDGER_H

#include "core/ledger/claim_command.h"
#include "core/ledger/ledger_types.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fireflyroute::core {

using LedgerRecord = std::pair<LedgerKey, LedgerValue>;

// Data that a snapshot stores in addition to the records.
struct LedgerMeta
{
    std::vector<std::string> billOrder; // request ids in the order of recording
    WallTime sealedBefore; // claim keys with an older time are rejected

    bool operator==(const LedgerMeta &) const = default;
};

// A bill and its position in the order of recording, starting at 1.
struct BillLine
{
    std::uint64_t number = 0;
    RequestId request;
    BillValue bill;

    bool operator==(const BillLine &) const = default;
};

class Ledger
{
public:
    Ledger() = default;
    explicit Ledger(const std::vector<LedgerRecord> &records);
    Ledger(const std::vector<LedgerRecord> &records, const LedgerMeta &meta);

    // Creates or replaces one record. Besides a value that differs from `expected`, Conflict is
    // returned if the kind of the value differs from that of the key, if the claim state machine
    // does not allow the initial value or the replacement, and for any replacement of a bill. A put
    // on a released claim of the same call replaces the claim.
    LedgerOutcome apply(const LedgerOperation &operation);

    // Errors: NotFound if the claim does not exist, InvalidArgument if its state is not Unknown,
    // ReasonMissing if the reason is blank.
    ClaimReply apply(const ClaimCommand &command);

    // Returns at most `limit` bills with numbers above `after`, in the order of recording. A reader
    // that continues from the last number that it received gets every bill exactly once, also
    // across restarts and leader changes.
    [[nodiscard]] std::vector<BillLine> exportBills(std::uint64_t after, std::size_t limit) const;

    // Returns every claimant that has running claims, once each.
    [[nodiscard]] std::vector<std::pair<VmId, Incarnation>> runningClaimants() const;

    // Returns the value of a key, or nullopt.
    [[nodiscard]] std::optional<LedgerValue> find(const LedgerKey &key) const;

    // Returns at most `limit` records of one kind with names after `after`, sorted by name.
    [[nodiscard]] std::vector<LedgerRecord> list(LedgerKind kind, const std::string &after,
                                                 std::size_t limit) const;

    [[nodiscard]] std::vector<LedgerRecord> data() const;
    [[nodiscard]] LedgerMeta meta() const;
    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    using Records = std::map<LedgerKey, LedgerValue>;

    LedgerOutcome create(const LedgerOperation &operation);
    LedgerOutcome replace(const LedgerValue &current, const LedgerOperation &operation);
    ClaimReply applyChange(const ResolveClaim &change);
    ClaimReply applyChange(const AbandonClaims &change);
    ClaimReply applyChange(const SealClaims &change);
    void store(const LedgerKey &key, const LedgerValue &value);
    void indexClaim(const std::string &name, const ClaimValue &claim);
    [[nodiscard]] bool isSealed(const LedgerKey &key) const;

    Records records_; // the kind of the value matches that of the key
    // Names of the running claims by claimant. Claimants without running claims are removed.
    std::map<std::pair<VmId, Incarnation>, std::set<std::string>> runningClaims_;
    std::vector<std::string> billOrder_; // names of the bill records, once each
    WallTime sealedBefore_; // never decreases
};

} // namespace fireflyroute::core

#endif

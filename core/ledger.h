// The record ledger: one put-if-absent map behind session pins, claims and bills. Part of the
// replicated state, so a record that was created is never created again, whoever asks.
//
//   Ledger ledger;
//   LedgerOutcome outcome = ledger.apply(LedgerOperation{key, value, std::nullopt});

#ifndef FIREFLYROUTE_CORE_LEDGER_H
#define FIREFLYROUTE_CORE_LEDGER_H

#include "core/claim_command.h"
#include "core/ledger_types.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fireflyroute::core {

using LedgerRecord = std::pair<LedgerKey, LedgerValue>;

// What a snapshot keeps beside the records.
struct LedgerMeta
{
    std::vector<std::string> billOrder; // request ids in the order in which they were recorded
    WallTime sealedBefore; // claim keys that say they are older are refused

    bool operator==(const LedgerMeta &) const = default;
};

// A bill with its place in the order of recording, counted from 1.
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

    // Puts or replaces one record. A value whose kind differs from the key's is a Conflict, and so
    // is a replacement that the life of a claim doesn't know, and any replacement of a bill. A put
    // in the place of a released claim of the same call replaces it.
    LedgerOutcome apply(const LedgerOperation &operation);

    // NotFound: no such claim. InvalidArgument: the claim is not unknown. ReasonMissing.
    ClaimReply apply(const ClaimCommand &command);

    // At most `limit` bills behind number `after`, in the order of recording. A reader that goes on
    // from the last number it saw gets each bill exactly once, restarts and changes of leader
    // included.
    [[nodiscard]] std::vector<BillLine> exportBills(std::uint64_t after, std::size_t limit) const;

    // Claimants that have running claims, each once.
    [[nodiscard]] std::vector<std::pair<VmId, Incarnation>> runningClaimants() const;

    // The value of a key, or nothing.
    [[nodiscard]] std::optional<LedgerValue> find(const LedgerKey &key) const;

    // At most `limit` records of one kind with names behind `after`, in order of name.
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

    Records records_; // value kind always matches the key's
    // Names of the running claims of each claimant; no claimant without any.
    std::map<std::pair<VmId, Incarnation>, std::set<std::string>> runningClaims_;
    std::vector<std::string> billOrder_; // names of the bill records, each once
    WallTime sealedBefore_; // only grows
};

} // namespace fireflyroute::core

#endif

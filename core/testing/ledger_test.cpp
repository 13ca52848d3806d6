// Tests the lifecycle of claims, retention without repeated execution, and the export of bills.

#define BOOST_TEST_MODULE ledger
#include "core/config/control_state.h"
#include "core/ledger/ledger_claims.h"
#include "core/ledger/ledger_shard.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const ClockReading kStart{Instant(1h), WallTime(1000h)};
const VmIncarnation kClaimant{VmId("vm1"), Incarnation(1)};

ClaimStart claimStart(const char *attempt, const std::string &key = "duka/refund-1")
{
    return ClaimStart{{LedgerKind::Claim, key}, "body", RequestId(attempt), kClaimant, kStart};
}

ClaimCommand command(ClaimChange change)
{
    return ClaimCommand{CommandId("c"), OperatorName("op"), WallTime{}, std::move(change)};
}

ResendOutcome applyClaim(Ledger &ledger, const ClaimStart &attempt)
{
    return resendOutcome(ledger.apply(claimOperation(attempt)), attempt);
}

Ledger ledgerWithAbandonedClaim()
{
    Ledger ledger;
    applyClaim(ledger, claimStart("r1"));
    BOOST_TEST(ledger.apply(command(AbandonClaims{VmId("vm1"), Incarnation(1)})).changed == 1U);
    return ledger;
}

const RecordedAnswer kAnswer{201, "application/json", "{}"};

// Returns a claim key with a version 7 UUID of the given time.
std::string uuidVersion7Key(WallTime time)
{
    return fmt::format("duka/{:08x}-{:04x}-7000-8000-000000000000",
                       time.time_since_epoch().count() >> 16,
                       time.time_since_epoch().count() & 0xFFFF);
}

} // namespace

BOOST_AUTO_TEST_CASE(resend_returns_running_then_recorded_answer)
{
    Ledger ledger;
    BOOST_TEST((applyClaim(ledger, claimStart("r1")) == ResendOutcome::Run));
    // The same attempt is resent, because the reply to the commit was lost.
    BOOST_TEST((applyClaim(ledger, claimStart("r1")) == ResendOutcome::Run));
    BOOST_TEST((applyClaim(ledger, claimStart("r2")) == ResendOutcome::StillRunning));
    ClaimStart other = claimStart("r3");
    other.fingerprint = "other body";
    BOOST_TEST((applyClaim(ledger, other) == ResendOutcome::BodyMismatch));
    BOOST_TEST((ledger.apply(finishOperation(claimStart("r1"), kAnswer)).status
                == LedgerStatus::Replaced));
    BOOST_TEST((applyClaim(ledger, claimStart("r2")) == ResendOutcome::ReplayAnswer));
    BOOST_TEST((applyClaim(ledger, other) == ResendOutcome::BodyMismatch));
    BOOST_TEST(ledger.runningClaimants().empty());
}

BOOST_AUTO_TEST_CASE(claim_of_lost_claimant_stays_unknown_until_resolved)
{
    Ledger ledger = ledgerWithAbandonedClaim();
    BOOST_TEST((applyClaim(ledger, claimStart("r2")) == ResendOutcome::Unknown));
    BOOST_TEST((applyClaim(ledger, claimStart("r1")) == ResendOutcome::Unknown));
    BOOST_TEST((ledger.apply(finishOperation(claimStart("r1"), kAnswer)).status
                == LedgerStatus::Conflict));
    BOOST_TEST((ledger.apply(releaseOperation(claimStart("r1"))).status == LedgerStatus::Conflict));
    LedgerOperation replaceUnknown = claimOperation(claimStart("r2"));
    replaceUnknown.expected = ledger.find(replaceUnknown.key);
    BOOST_TEST((ledger.apply(replaceUnknown).status == LedgerStatus::Conflict));
    const std::string key = claimStart("r1").key.name;
    BOOST_TEST((ledger.apply(command(ResolveClaim{key, ClaimResolution::DidRun, " "})).error
                == CoreError::ReasonMissing));
    const ClaimCommand resolve =
            command(ResolveClaim{key, ClaimResolution::DidRun, "seen in the stock ledger"});
    BOOST_TEST(ledger.apply(resolve).accepted);
    BOOST_TEST(ledger.apply(resolve).accepted);
    BOOST_TEST(
            !ledger.apply(command(ResolveClaim{key, ClaimResolution::DidNotRun, "no"})).accepted);
    BOOST_TEST((applyClaim(ledger, claimStart("r2")) == ResendOutcome::AnswerDropped));
}

BOOST_AUTO_TEST_CASE(one_resend_runs_after_claim_resolved_as_not_run)
{
    Ledger ledger = ledgerWithAbandonedClaim();
    BOOST_TEST(
            ledger.apply(command(ResolveClaim{claimStart("r1").key.name, ClaimResolution::DidNotRun,
                                              "not in the stock ledger"}))
                    .accepted);
    ClaimStart other = claimStart("r9");
    other.fingerprint = "other body";
    BOOST_TEST((applyClaim(ledger, other) == ResendOutcome::BodyMismatch));
    BOOST_TEST((applyClaim(ledger, claimStart("r2")) == ResendOutcome::Run));
    BOOST_TEST((applyClaim(ledger, claimStart("r3")) == ResendOutcome::StillRunning));
    BOOST_TEST((applyClaim(ledger, claimStart("r1")) == ResendOutcome::StillRunning));
    BOOST_TEST((ledger.apply(finishOperation(claimStart("r1"), kAnswer)).status
                == LedgerStatus::Conflict));
}

BOOST_AUTO_TEST_CASE(dispatch_window_expires_for_frozen_claimant)
{
    const ClaimStart claimed = claimStart("r1");
    const ClockReading withinWindow{kStart.monotonic + 1s, kStart.wall + 1s};
    BOOST_TEST(isWithinDispatchWindow(claimed, withinWindow));
    const ClockReading afterWindow{kStart.monotonic + kClaimDispatchWindow, withinWindow.wall};
    const ClockReading suspended{withinWindow.monotonic, kStart.wall + kClaimDispatchWindow};
    BOOST_TEST(!isWithinDispatchWindow(claimed, afterWindow));
    BOOST_TEST(!isWithinDispatchWindow(claimed, suspended));
}

BOOST_AUTO_TEST_CASE(dropped_claim_is_rejected_by_key_time)
{
    Ledger ledger;
    const ClaimStart expiredClaim = claimStart("r1", uuidVersion7Key(WallTime(999h)));
    const ClaimStart runningClaim = claimStart("r2", uuidVersion7Key(WallTime(998h)));
    applyClaim(ledger, expiredClaim);
    applyClaim(ledger, runningClaim);
    ledger.apply(finishOperation(expiredClaim, kAnswer));
    BOOST_TEST(ledger.apply(command(SealClaims{WallTime(1000h)})).changed == 1U);
    BOOST_TEST(!ledger.find(expiredClaim.key).has_value());
    BOOST_TEST((applyClaim(ledger, expiredClaim) == ResendOutcome::KeyTooOld));
    // The running claim of the same attempt was not dropped.
    BOOST_TEST((applyClaim(ledger, runningClaim) == ResendOutcome::Run));
    BOOST_TEST((applyClaim(ledger, claimStart("r3", runningClaim.key.name))
                == ResendOutcome::StillRunning));
    BOOST_TEST((applyClaim(ledger, claimStart("r4", uuidVersion7Key(WallTime(1000h))))
                == ResendOutcome::Run));
    ledger.apply(command(SealClaims{WallTime(1h)}));
    BOOST_TEST((applyClaim(ledger, expiredClaim) == ResendOutcome::KeyTooOld));
}

BOOST_AUTO_TEST_CASE(sealed_claim_without_key_time_keeps_record_without_answer)
{
    Ledger ledger;
    applyClaim(ledger, claimStart("r1"));
    ledger.apply(finishOperation(claimStart("r1"), kAnswer));
    ledger.apply(command(SealClaims{kStart.wall}));
    BOOST_TEST((applyClaim(ledger, claimStart("r2")) == ResendOutcome::ReplayAnswer));
    ledger.apply(command(SealClaims{kStart.wall + 1h}));
    BOOST_TEST((applyClaim(ledger, claimStart("r2")) == ResendOutcome::AnswerDropped));
}

BOOST_AUTO_TEST_CASE(bills_are_exported_once_in_recording_order)
{
    ControlState state;
    for (const char *request : {"z", "a", "z", "m"}) {
        const LedgerKey key{LedgerKind::Bill, request};
        state.apply(LedgerCommand{CommandId("l"), {LedgerOperation{key, BillValue{}, {}}}});
    }
    const ControlState restored(state.data());
    const std::vector<BillLine> first = restored.ledger().exportBills(0, 2);
    BOOST_TEST_REQUIRE(first.size() == 2U);
    BOOST_TEST((first[0].request == RequestId("z") && first[1].request == RequestId("a")));
    const std::vector<BillLine> remaining = restored.ledger().exportBills(first[1].number, 9);
    BOOST_TEST_REQUIRE(remaining.size() == 1U);
    BOOST_TEST((remaining[0].request == RequestId("m")));
    const LedgerKey key{LedgerKind::Bill, "a"};
    Ledger ledger = restored.ledger();
    BOOST_TEST((ledger.apply({key, BillValue{.promptTokens = 9}, BillValue{}}).status
                == LedgerStatus::Conflict));
}

BOOST_AUTO_TEST_CASE(snapshot_preserves_running_claims_and_seal)
{
    Ledger ledger;
    applyClaim(ledger, claimStart("r1"));
    ledger.apply(command(SealClaims{WallTime(900h)}));
    Ledger restored(ledger.data(), ledger.meta());
    BOOST_TEST((restored.runningClaimants() == ledger.runningClaimants()));
    BOOST_TEST((applyClaim(restored, claimStart("r9", uuidVersion7Key(WallTime(899h))))
                == ResendOutcome::KeyTooOld));
    BOOST_TEST(restored.apply(command(AbandonClaims{VmId("vm1"), Incarnation(1)})).changed == 1U);
}

BOOST_AUTO_TEST_CASE(keys_are_distributed_deterministically_over_groups)
{
    constexpr std::uint32_t kGroups = 4;
    std::array<int, kGroups> counts{};
    for (int number = 0; number < 4000; ++number) {
        const LedgerKey key{LedgerKind::Pin, "account/" + std::to_string(number)};
        BOOST_TEST_REQUIRE((groupOf(key, kGroups) == groupOf(key, kGroups)));
        ++counts[toNumber(groupOf(key, kGroups))];
    }
    for (const int count : counts)
        BOOST_TEST((count > 800 && count < 1200));
    BOOST_TEST(claimKeyTime("a/not-a-uuid").has_value() == false);
}

// Unit tests of the request state machine. Inputs are supplied directly and the returned actions
// are checked.

#define BOOST_TEST_MODULE request_machine
#include "core/requests/testing/fake_request.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace fireflyroute::core::testing;

BOOST_AUTO_TEST_CASE(a_model_call_is_billed_before_its_end_is_released)
{
    FakeRequest request(modelCall());
    request.start();
    BOOST_TEST(request.has<StartAttempt>());
    request.step(chunk(1, 1, "a"));
    request.step(chunk(1, 2, "b"));
    request.step(lastChunk(1, 2));
    BOOST_TEST(request.relayed() == "ab");
    BOOST_TEST(!request.has<FinishAnswer>());
    const auto bill = std::get<BillValue>(request.last<PutRecord>().operation.value);
    BOOST_TEST(bill.outputTokens == 2U);
    request.step(LedgerReplied{{LedgerStatus::Created, std::nullopt}});
    BOOST_TEST(request.has<FinishAnswer>());
}

BOOST_AUTO_TEST_CASE(late_and_repeated_chunks_are_dropped)
{
    FakeRequest request(modelCall());
    request.start();
    request.step(chunk(1, 1, "a"));
    request.step(AttemptFailed{1, AttemptError::Interrupted, "cut"});
    BOOST_TEST(request.last<StartAttempt>().attempt == 2U);
    BOOST_TEST(request.last<StartAttempt>().resumeOffset == 1U);
    request.step(chunk(1, 2, "late"));
    request.step(chunk(2, 1, "a"));
    request.step(chunk(2, 2, "b"));
    request.step(lastChunk(1, 2));
    BOOST_TEST(request.relayed() == "ab");
    BOOST_TEST((request.machine().state() == RequestState::Running));
}

BOOST_AUTO_TEST_CASE(refusal_reports_not_run_only_if_no_byte_was_sent)
{
    for (const AttemptError error : {AttemptError::NotSent, AttemptError::Interrupted}) {
        FakeRequest request(modelCall(), 1);
        request.start();
        request.step(AttemptFailed{1, error, "gone"});
        const Executed expected = error == AttemptError::NotSent ? Executed::No : Executed::Yes;
        BOOST_TEST((request.last<FailAnswer>().ran == expected));
    }
}

BOOST_AUTO_TEST_CASE(a_session_keeps_its_pinned_version)
{
    CallerRequest call = modelCall();
    call.session = SessionId("s");
    FakeRequest request(call);
    request.start();
    BOOST_TEST(!request.has<StartAttempt>());
    const LedgerValue pinned = PinValue{{ModelName("m"), VersionName("2")}};
    request.step(LedgerReplied{{LedgerStatus::Exists, pinned}});
    BOOST_TEST((request.last<StartAttempt>().version.version == VersionName("2")));
}

BOOST_AUTO_TEST_CASE(a_pin_moves_only_from_a_version_that_was_withdrawn)
{
    CallerRequest call = modelCall();
    call.session = SessionId("s");
    FakeRequest request(call);
    request.config().models[0].versions[1].state = VersionState::Withdrawn;
    request.start();
    const LedgerValue pinned = PinValue{{ModelName("m"), VersionName("2")}};
    request.step(LedgerReplied{{LedgerStatus::Exists, pinned}});
    BOOST_TEST((request.last<PutRecord>().operation.expected == pinned));
    request.step(LedgerReplied{{LedgerStatus::Replaced, std::nullopt}});
    BOOST_TEST((request.last<StartAttempt>().version.version == VersionName("1")));
}

BOOST_AUTO_TEST_CASE(a_withdrawal_between_admission_and_dispatch_stops_the_request)
{
    CallerRequest call = modelCall();
    call.session = SessionId("s");
    FakeRequest request(call);
    request.start();
    request.config().models[0].versions[0].state = VersionState::Withdrawn;
    request.step(LedgerReplied{{LedgerStatus::Created, std::nullopt}});
    BOOST_TEST(!request.has<StartAttempt>());
    BOOST_TEST((request.last<FailAnswer>().ran == Executed::No));
}

BOOST_AUTO_TEST_CASE(expired_lease_stops_the_request_before_dispatch)
{
    CallerRequest call = modelCall();
    call.session = SessionId("s");
    FakeRequest request(call);
    request.start();
    request.setLease(false);
    request.step(LedgerReplied{{LedgerStatus::Created, std::nullopt}});
    BOOST_TEST(!request.has<StartAttempt>());
    BOOST_TEST((request.last<FailAnswer>().failure.code == CoreError::LeaseExpired));
}

BOOST_AUTO_TEST_CASE(non_repeatable_call_is_claimed_and_attempted_once)
{
    FakeRequest request(nonRepeatableCall());
    request.start();
    BOOST_TEST(!request.has<StartAttempt>());
    const LedgerOperation claim = request.last<PutRecord>().operation;
    request.step(LedgerReplied{{LedgerStatus::Created, claim.value}});
    BOOST_TEST(request.last<StartAttempt>().freshConnection);
    request.step(AttemptFailed{1, AttemptError::Interrupted, "closed"});
    BOOST_TEST(request.count<StartAttempt>() == 1U);
    const auto unknown = std::get<ClaimValue>(request.last<PutRecord>().operation.value);
    BOOST_TEST((unknown.state == ClaimState::Unknown));
    request.step(LedgerReplied{{LedgerStatus::Replaced, std::nullopt}});
    BOOST_TEST((request.last<FailAnswer>().ran == Executed::Unknown));
}

// Guards against claims that stay running, so that resends are answered 409 for good.
BOOST_AUTO_TEST_CASE(call_that_is_refused_after_its_claim_releases_it)
{
    FakeRequest request(nonRepeatableCall());
    request.start();
    const LedgerOperation claim = request.last<PutRecord>().operation;
    request.setLease(false);
    request.step(LedgerReplied{{LedgerStatus::Created, claim.value}});
    BOOST_TEST(!request.has<StartAttempt>());
    const auto released = std::get<ClaimValue>(request.last<PutRecord>().operation.value);
    BOOST_TEST((released.state == ClaimState::Released));
    request.step(LedgerReplied{{LedgerStatus::Replaced, std::nullopt}});
    BOOST_TEST((request.last<FailAnswer>().failure.code == CoreError::LeaseExpired));
    BOOST_TEST((request.last<FailAnswer>().ran == Executed::No));
}

// Guards against services that serve accounts which their list of allowed accounts does not name.
BOOST_AUTO_TEST_CASE(service_serves_the_accounts_of_its_list_only)
{
    for (const char *listed : {"a", "other"}) {
        FakeRequest request(nonRepeatableCall());
        request.config().services[0].allowedAccounts = {ClientAccountId(listed)};
        request.start();
        const bool isAllowed = listed == std::string("a");
        BOOST_TEST(request.has<PutRecord>() == isAllowed);
        BOOST_TEST(request.has<FailAnswer>() != isAllowed);
    }
}

// Guards against calls that are dispatched after their account lost the permission or was removed.
BOOST_AUTO_TEST_CASE(lost_permission_between_admission_and_dispatch_stops_a_service_call)
{
    for (const bool isRemoved : {false, true}) {
        FakeRequest request(nonRepeatableCall());
        request.start();
        const LedgerOperation claim = request.last<PutRecord>().operation;
        if (isRemoved)
            request.config().accounts.clear();
        else
            request.config().services[0].allowedAccounts = {ClientAccountId("other")};
        request.step(LedgerReplied{{LedgerStatus::Created, claim.value}});
        BOOST_TEST(!request.has<StartAttempt>());
        const auto released = std::get<ClaimValue>(request.last<PutRecord>().operation.value);
        BOOST_TEST((released.state == ClaimState::Released));
        request.step(LedgerReplied{{LedgerStatus::Replaced, std::nullopt}});
        BOOST_TEST((request.last<FailAnswer>().ran == Executed::No));
    }
}

BOOST_AUTO_TEST_CASE(unsent_non_repeatable_call_releases_its_claim)
{
    FakeRequest request(nonRepeatableCall(), 1);
    request.start();
    const LedgerOperation claim = request.last<PutRecord>().operation;
    request.step(LedgerReplied{{LedgerStatus::Created, claim.value}});
    request.step(AttemptFailed{1, AttemptError::NotSent, "refused"});
    const auto released = std::get<ClaimValue>(request.last<PutRecord>().operation.value);
    BOOST_TEST((released.state == ClaimState::Released));
    request.step(LedgerReplied{{LedgerStatus::Replaced, std::nullopt}});
    BOOST_TEST((request.last<FailAnswer>().ran == Executed::No));
}

BOOST_AUTO_TEST_CASE(repeated_non_repeatable_call_is_answered_from_its_claim)
{
    struct Case
    {
        ClaimState state;
        const char *fingerprint;
        CoreError error;
    };
    const Case cases[] = {{ClaimState::Running, "f", CoreError::AlreadyExists},
                          {ClaimState::Unknown, "f", CoreError::OutcomeUnknown},
                          {ClaimState::Done, "other", CoreError::KeyReused}};
    for (const Case &testCase : cases) {
        FakeRequest request(nonRepeatableCall());
        request.start();
        ClaimValue claim;
        claim.state = testCase.state;
        claim.fingerprint = testCase.fingerprint;
        claim.attempt = RequestId("earlier");
        request.step(LedgerReplied{{LedgerStatus::Exists, LedgerValue(claim)}});
        BOOST_TEST(!request.has<StartAttempt>());
        BOOST_TEST((request.last<FailAnswer>().failure.code == testCase.error));
    }
    FakeRequest request(nonRepeatableCall());
    request.start();
    ClaimValue done;
    done.state = ClaimState::Done;
    done.fingerprint = "f";
    done.answerBody = "first answer";
    request.step(LedgerReplied{{LedgerStatus::Exists, LedgerValue(done)}});
    BOOST_TEST(request.last<FinishAnswer>().service->body == "first answer");
}

BOOST_AUTO_TEST_CASE(unresponsive_endpoint_is_abandoned_at_the_deadline)
{
    FakeRequest request(modelCall());
    request.start();
    request.advance(request.config().defaults.firstByteTimeout - std::chrono::milliseconds(1));
    request.step(DeadlineTick{});
    BOOST_TEST(request.count<StartAttempt>() == 1U);
    request.advance(std::chrono::milliseconds(1));
    request.step(DeadlineTick{});
    BOOST_TEST(request.has<CancelAttempt>());
    BOOST_TEST(request.count<StartAttempt>() == 2U);
}

BOOST_AUTO_TEST_CASE(disconnected_caller_is_billed_once_for_delivered_tokens)
{
    FakeRequest request(modelCall());
    request.start();
    request.step(chunk(1, 3, "abc"));
    request.step(CallerDisconnected{});
    BOOST_TEST(request.has<CancelAttempt>());
    const auto bill = std::get<BillValue>(request.last<PutRecord>().operation.value);
    BOOST_TEST(bill.outputTokens == 3U);
    BOOST_TEST(!bill.complete);
    request.step(LedgerReplied{{LedgerStatus::Created, std::nullopt}});
    BOOST_TEST(request.count<PutRecord>() == 1U);
    BOOST_TEST((request.machine().state() == RequestState::Ended));
}

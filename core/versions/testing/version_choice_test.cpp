// Unit tests of version choice: permissions, pins, exceptions, roll-outs, quality and escalation.

#define BOOST_TEST_MODULE version_choice
#include "core/versions/exposure.h"
#include "core/versions/version_choice.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace fireflyroute::core;

namespace {

const WallTime kNow{std::chrono::seconds(1'000'000)};
const ModelVersion kSmall1{ModelName("small"), VersionName("1")};
const ModelVersion kSmall2{ModelName("small"), VersionName("2")};
const ModelVersion kLarge1{ModelName("large"), VersionName("1")};

struct FakeQuality
{
    std::map<ModelVersion, QualityBounds> estimates;
    std::set<ModelVersion> validated;

    [[nodiscard]] QualityBounds bounds(const QualityKey &key, double prior) const
    {
        const auto found = estimates.find(key.version);
        return found == estimates.end() ? QualityBounds{0, prior, 1, 0} : found->second;
    }
    [[nodiscard]] bool isValidated(const ModelVersion &version) const
    {
        return validated.count(version) > 0;
    }
};

struct FakeReady
{
    std::set<ModelVersion> unavailable;

    [[nodiscard]] bool isReady(const ModelVersion &version) const
    {
        return unavailable.count(version) == 0;
    }
};

struct Fixture
{
    Fixture()
    {
        ModelSpec small{.name = kSmall1.model, .stable = VersionName("1")};
        small.versions = {VersionSpec{.name = VersionName("1"), .outputCostPerKiloToken = 1000},
                          VersionSpec{.name = VersionName("2"), .outputCostPerKiloToken = 1000}};
        ModelSpec large{.name = kLarge1.model, .stable = VersionName("1")};
        large.versions = {VersionSpec{.name = VersionName("1"), .outputCostPerKiloToken = 10000}};
        config.models = {large, small};
        account.id = ClientAccountId("duka");
        account.allowed = {ModelPermission{small.name}, ModelPermission{large.name}};
        quality.estimates[kSmall1] = QualityBounds{0.85, 0.9, 0.95, 100};
        quality.estimates[kLarge1] = QualityBounds{0.93, 0.95, 0.97, 100};
    }

    ChoiceRequest request(const std::string &id = "r1")
    {
        return ChoiceRequest{.account = account,
                             .task = TaskName("tag"),
                             .request = RequestId(id),
                             .outputTokens = 100,
                             .mayEscalate = true};
    }

    Result<CascadePlan> choose(const ChoiceRequest &choiceRequest)
    {
        const ChoiceConditions<FakeQuality, FakeReady, ExposureGate> conditions{
                quality, ready, gate, ratingsAvailable, policy};
        return chooseVersions(config, choiceRequest, conditions, kNow);
    }

    void startRollout(std::uint32_t permille)
    {
        config.models[1].rollout = Rollout{
                .from = VersionName("1"), .to = VersionName("2"), .stagesPermille = {permille}};
        gate.watch(kSmall2);
    }

    // Number of requests out of `total` that the roll-out assigns to the new version.
    std::uint32_t assignedOf(std::uint32_t total)
    {
        for (std::uint32_t number = 0; number < total; ++number) {
            const Result<CascadePlan> plan = choose(request("r" + std::to_string(number)));
            gate.record(plan.value().steps[0].version);
        }
        return static_cast<std::uint32_t>(gate.counts(kSmall2).exposed);
    }

    FleetConfig config;
    ClientAccount account;
    FakeQuality quality;
    FakeReady ready;
    ExposureGate gate;
    bool ratingsAvailable = true;
    ChoicePolicy policy{.trialPermille = 0};
};

ConfigException exceptionOf(ExceptionEffect effect, const ModelVersion &version)
{
    return ConfigException{.id = ExceptionId("x1"),
                           .model = version.model,
                           .version = version.version,
                           .effect = effect,
                           .reason = "test"};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(choice, Fixture)

BOOST_AUTO_TEST_CASE(cheapest_version_with_lower_bound_above_the_target_is_first)
{
    const CascadePlan plan = choose(request()).value();
    BOOST_TEST_REQUIRE(plan.steps.size() == 2U);
    BOOST_TEST((plan.steps[0].version == kSmall1));
    BOOST_TEST((plan.steps[0].reason == ChoiceReason::CheapestMeetingTarget));
    BOOST_TEST((plan.steps[1].version == kLarge1));
    BOOST_TEST((plan.steps[1].reason == ChoiceReason::Escalation));

    config.defaults.tasks = {TaskPolicy{TaskName("tag"), 0.9}};
    BOOST_TEST((choose(request()).value().steps[0].version == kLarge1));
}

BOOST_AUTO_TEST_CASE(uncertain_cheaper_version_is_tried_only_while_ratings_are_available)
{
    quality.estimates.erase(kSmall1);
    BOOST_TEST((choose(request()).value().steps[0].version == kLarge1));
    policy.trialPermille = 1000;
    BOOST_TEST((choose(request()).value().steps[0].reason == ChoiceReason::Trial));
    ratingsAvailable = false;
    BOOST_TEST((choose(request()).value().steps[0].version == kLarge1));
}

BOOST_AUTO_TEST_CASE(trial_without_escalation_requires_expected_quality_above_the_target)
{
    policy.trialPermille = 1000;
    quality.estimates[kSmall1] = QualityBounds{0.5, 0.7, 0.9, 4};
    ChoiceRequest streamed = request();
    streamed.mayEscalate = false;
    BOOST_TEST((choose(streamed).value().steps[0].version == kLarge1));
    quality.estimates[kSmall1] = QualityBounds{0.5, 0.82, 0.95, 4};
    BOOST_TEST((choose(streamed).value().steps[0].reason == ChoiceReason::Trial));
}

BOOST_AUTO_TEST_CASE(pin_survives_hold_and_low_quality_but_not_withdrawal_or_denial)
{
    ChoiceRequest pinned = request();
    pinned.session = SessionId("s1");
    pinned.pin = kSmall2;
    config.models[1].versions[1].state = VersionState::Held;
    quality.estimates[kSmall2] = QualityBounds{0, 0.1, 0.2, 100};
    CascadePlan plan = choose(pinned).value();
    BOOST_TEST((plan.pin == PinEffect::Kept));
    BOOST_TEST((plan.steps[0].version == kSmall2));
    BOOST_TEST(plan.steps.size() == 1U);

    config.models[1].versions[1].state = VersionState::Withdrawn;
    plan = choose(pinned).value();
    BOOST_TEST((plan.pin == PinEffect::Moved));
    BOOST_TEST((plan.pinMoveReason == CoreError::Withdrawn));
    BOOST_TEST((plan.steps[0].version == kSmall1));

    config.models[1].versions[1].state = VersionState::Serving;
    config.exceptions = {exceptionOf(ExceptionEffect::Deny, kSmall2)};
    BOOST_TEST((choose(pinned).value().pinMoveReason == CoreError::NotAllowed));
}

BOOST_AUTO_TEST_CASE(pinned_session_fails_without_endpoint_and_refuses_another_version)
{
    ChoiceRequest pinned = request();
    pinned.session = SessionId("s1");
    pinned.pin = kSmall1;
    ready.unavailable = {kSmall1};
    BOOST_TEST((choose(pinned).error().code == CoreError::NoEndpoint));
    pinned.requested = parseRequestedModel("large").value();
    BOOST_TEST((choose(pinned).error().code == CoreError::InvalidArgument));
}

BOOST_AUTO_TEST_CASE(held_withdrawn_unknown_and_forbidden_versions_accept_no_new_requests)
{
    ChoiceRequest namedRequest = request();
    namedRequest.requested = parseRequestedModel("small@2").value();
    BOOST_TEST((choose(namedRequest).value().steps[0].reason == ChoiceReason::RequestedVersion));
    config.models[1].versions[1].state = VersionState::Held;
    BOOST_TEST((choose(namedRequest).error().code == CoreError::NoEndpoint));
    config.models[1].versions[1].state = VersionState::Withdrawn;
    BOOST_TEST((choose(namedRequest).error().code == CoreError::Withdrawn));
    account.allowed.clear();
    BOOST_TEST((choose(namedRequest).error().code == CoreError::NotAllowed));
    BOOST_TEST((choose(request()).error().code == CoreError::NotAllowed));
    namedRequest.requested = parseRequestedModel("tiny").value();
    BOOST_TEST((choose(namedRequest).error().code == CoreError::UnknownModel));
    BOOST_TEST(!parseRequestedModel("small@").has_value());
    BOOST_TEST(!parseRequestedModel("@2").has_value());
}

BOOST_AUTO_TEST_CASE(another_version_replaces_a_held_stable_version)
{
    config.models[1].versions[0].state = VersionState::Held;
    quality.estimates[kSmall2] = QualityBounds{0.85, 0.9, 0.95, 100};
    const PlanStep first = choose(request()).value().steps[0];
    BOOST_TEST((first.version == kSmall2));
    BOOST_TEST((first.reason == ChoiceReason::StableUnavailable));

    config.models[1].versions.push_back(VersionSpec{.name = VersionName("3")});
    quality.estimates[ModelVersion{kSmall1.model, VersionName("3")}] = {0.9, 0.95, 1, 0};
    BOOST_TEST((choose(request()).value().steps[0].version == kSmall2));
}

BOOST_AUTO_TEST_CASE(a_forced_version_is_used_unless_it_is_not_allowed_or_out_of_service)
{
    config.exceptions = {exceptionOf(ExceptionEffect::ForceVersion, kSmall2)};
    const PlanStep step = choose(request()).value().steps[0];
    BOOST_TEST((step.version == kSmall2));
    BOOST_TEST((step.exception == ExceptionId("x1")));
    BOOST_TEST((explain(step).find("x1") != std::string::npos));

    config.exceptions[0].expiresAt = kNow;
    BOOST_TEST((choose(request()).value().steps[0].version == kSmall1));
    config.exceptions[0].expiresAt.reset();
    config.models[1].versions[1].state = VersionState::Withdrawn;
    BOOST_TEST((choose(request()).value().steps[0].version == kSmall1));
    config.models[1].versions[1].state = VersionState::Serving;
    config.exceptions.push_back(exceptionOf(ExceptionEffect::Deny, kSmall2));
    BOOST_TEST((choose(request()).value().steps[0].version == kSmall1));
}

BOOST_AUTO_TEST_CASE(a_quality_target_exception_raises_the_target_where_it_matches)
{
    ConfigException exception{.id = ExceptionId("q"), .task = TaskName("tag"), .value = 0.92};
    exception.effect = ExceptionEffect::QualityTarget;
    config.exceptions = {exception};
    const PlanStep raisedTargetStep = choose(request()).value().steps[0];
    BOOST_TEST((raisedTargetStep.version == kLarge1));
    BOOST_TEST(raisedTargetStep.qualityTarget == 0.92);
    BOOST_TEST((raisedTargetStep.exception == ExceptionId("q")));
    ChoiceRequest other = request();
    other.task = TaskName("draft");
    BOOST_TEST((choose(other).value().steps[0].version == kSmall1));
}

BOOST_AUTO_TEST_CASE(rollout_stays_within_its_stage_and_the_bound_until_validated)
{
    config.defaults.rolloutExposureMaxPermille = 100;
    startRollout(500);
    const std::uint32_t unvalidated = assignedOf(2000);
    BOOST_TEST(unvalidated > 0U);
    BOOST_TEST(unvalidated * 1000 <= 2000 * 100U);
    quality.validated = {kSmall2};
    gate.unwatch(kSmall2);
    gate.watch(kSmall2);
    const std::uint32_t validated = assignedOf(2000);
    BOOST_TEST(validated > 2 * unvalidated);
    BOOST_TEST(validated * 1000 <= 2000 * 500U);
    config.models[1].rollout->phase = RolloutPhase::Held;
    BOOST_TEST(assignedOf(500) == validated);
}

BOOST_AUTO_TEST_CASE(session_has_the_same_rollout_assignment_in_every_process)
{
    BOOST_TEST(stablePermille("session-1", "small@2") == stablePermille("session-1", "small@2"));
    ChoiceRequest first = request("r1");
    ChoiceRequest second = request("r2");
    first.session = second.session = SessionId("s1");
    BOOST_TEST(rolloutPosition(first, kSmall2) == rolloutPosition(second, kSmall2));
}

BOOST_AUTO_TEST_CASE(a_dispatch_is_refused_once_the_version_is_withdrawn_or_forbidden)
{
    const auto check = [this] {
        return checkDispatch(config, account, TaskName("tag"), Rank::Normal, kSmall1, kNow);
    };
    BOOST_TEST(check().has_value());
    config.models[1].versions[0].state = VersionState::Held;
    BOOST_TEST(check().has_value());
    config.models[1].versions[0].state = VersionState::Withdrawn;
    BOOST_TEST((check().error().code == CoreError::Withdrawn));
    config.models[1].versions[0].state = VersionState::Serving;
    account.allowed.clear();
    BOOST_TEST((check().error().code == CoreError::NotAllowed));
}

BOOST_AUTO_TEST_SUITE_END()

// Implements the routing policy concept with version choice and endpoint choice.

#include "core/requests/fleet_policy.h"

namespace fireflyroute::core {

namespace {

constexpr std::uint32_t kDefaultConcurrency = 8; // for endpoints that report no concurrency
constexpr std::chrono::milliseconds kLoadReportDelay{250};
constexpr std::uint64_t kBytesPerToken = 4;

// Treats a version as ready if the directory has an endpoint for it.
struct DirectoryReadiness
{
    const DirectoryView &directory;

    [[nodiscard]] bool isReady(const ModelVersion &version) const
    {
        return directory.byVersion.contains(version);
    }
};

RequestedModel requestedModel(const CallerRequest &request)
{
    RequestedModel requested;
    if (!request.model.empty()) {
        requested.model = request.model;
        requested.version = request.version;
    }
    return requested;
}

} // namespace

FleetPolicy::FleetPolicy(std::minstd_rand rng)
    : rng_(rng)
    , chooser_(kDefaultConcurrency)
    , loadEstimator_(kLoadReportDelay)
    , prefixes_(kPrefixCapacity)
    , quality_(std::make_shared<QualityView>())
{}

Result<CascadePlan> FleetPolicy::plan(const RoutingContext &context, const CallerRequest &request,
                                      const std::optional<ModelVersion> &pin)
{
    const ClientAccount *account = findAccount(context.config, request.account);
    if (!account)
        return CoreFailure{CoreError::UnknownAccount, request.account.value()};
    const ChoiceRequest choice{.account = *account,
                               .task = request.task,
                               .rank = request.rank,
                               .requested = requestedModel(request),
                               .request = request.id,
                               .session = request.session,
                               .pin = pin,
                               .promptTokens = request.promptTokens,
                               .outputTokens = request.maxTokens};
    const DirectoryReadiness ready{context.directory};
    const ChoiceConditions<QualityView, DirectoryReadiness, ExposureGate> conditions{
            .quality = *quality_, .ready = ready, .exposure = exposure_};
    return chooseVersions(context.config, choice, conditions, context.wallNow);
}

Result<std::vector<ModelVersion>> FleetPolicy::planVersions(const RoutingContext &context,
                                                            const CallerRequest &request,
                                                            const std::optional<ModelVersion> &pin)
{
    BOOST_OUTCOME_TRY(cascade, plan(context, request, pin));
    std::vector<ModelVersion> versions;
    for (const PlanStep &step : cascade.steps)
        versions.push_back(step.version);
    return versions;
}

Result<EndpointChoice> FleetPolicy::chooseEndpoint(const RoutingContext &context,
                                                   const CallerRequest &request,
                                                   const ModelVersion &version,
                                                   const std::vector<EndpointId> &excluded)
{
    EndpointChoiceRequest choiceRequest;
    choiceRequest.target = version;
    if (request.kind == CallKind::Service)
        choiceRequest.target = request.service;
    choiceRequest.rank = request.rank;
    choiceRequest.promptTokens = static_cast<std::uint32_t>(request.promptTokens);
    choiceRequest.transferBytes = (request.promptTokens + request.maxTokens) * kBytesPerToken;
    choiceRequest.prefixes = request.prefixes;
    choiceRequest.excluded = excluded;
    const auto acceptAll = [](const EndpointState &) { return true; };
    BOOST_OUTCOME_TRY(chosen, chooser_.choose(*context.index, choiceRequest, loadEstimator_,
                                              prefixes_, acceptAll, rng_, context.now));
    if (!request.prefixes.empty())
        prefixes_.observe(chosen.id, request.prefixes, context.now);
    return EndpointChoice{chosen.id, chosen.incarnation, chosen.address};
}

void FleetPolicy::attemptStarted(const EndpointId &endpoint, Instant now)
{
    loadEstimator_.recordStart(endpoint, now);
}

void FleetPolicy::attemptEnded(const EndpointId &endpoint, Instant now)
{
    loadEstimator_.recordFinish(endpoint, now);
}

} // namespace fireflyroute::core

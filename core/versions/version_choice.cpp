// Listing phase of version choice and helper functions. The planning phase is in
// core/versions/version_choice_plan.cpp.

#include "core/versions/version_choice.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

constexpr std::uint32_t kPermille = 1000;
constexpr std::uint64_t kTokensPerPriceUnit = 1000;

CoreFailure failure(CoreError code, std::string detail)
{
    return CoreFailure{code, std::move(detail)};
}

MicroCost costOf(const VersionSpec &spec, const ChoiceRequest &request)
{
    const auto prompt = static_cast<MicroCost>(request.promptTokens);
    const auto output = static_cast<MicroCost>(request.outputTokens);
    const MicroCost sum =
            prompt * spec.inputCostPerKiloToken + output * spec.outputCostPerKiloToken;
    return sum / static_cast<MicroCost>(kTokensPerPriceUnit);
}

// Builds the candidates for one request.
class CandidateBuilder
{
public:
    CandidateBuilder(const FleetConfig &config, const ChoiceRequest &request, WallTime now)
        : config_(config)
        , request_(request)
        , now_(now)
    {}

    Result<CandidateSet> build();

private:
    [[nodiscard]] bool isAllowedForRequest(const ModelVersion &version) const;
    [[nodiscard]] std::optional<CoreError> pinMoveReason(const ModelVersion &pin) const;
    [[nodiscard]] const ConfigException *targetException(const ModelVersion &version) const;
    [[nodiscard]] double defaultTarget() const;
    [[nodiscard]] VersionCandidate makeCandidate(const ModelVersion &version,
                                                 const VersionSpec &spec, VersionRole role) const;
    [[nodiscard]] Result<CandidateSet> pinnedVersion(const ModelVersion &pin) const;
    [[nodiscard]] Result<CandidateSet> requestedVersion(const ModelVersion &version) const;
    [[nodiscard]] std::optional<CandidateSet> forcedVersion() const;
    [[nodiscard]] Result<CandidateSet> eligibleVersions();
    void addModel(const ModelSpec &model, CandidateSet &set);
    void addVersion(const ModelSpec &model, const VersionSpec &spec, CandidateSet &set);

    const FleetConfig &config_;
    const ChoiceRequest &request_;
    WallTime now_;
    // Reasons why versions were excluded, for the error if no candidate remains.
    bool foundWithdrawn_ = false;
    bool foundHeld_ = false;
};

bool CandidateBuilder::isAllowedForRequest(const ModelVersion &version) const
{
    return isAllowed(config_, request_.account, request_.task, request_.rank, version, now_);
}

std::optional<CoreError> CandidateBuilder::pinMoveReason(const ModelVersion &pin) const
{
    const VersionSpec *spec = findVersion(config_, pin);
    if (!spec || spec->state == VersionState::Withdrawn)
        return CoreError::Withdrawn;
    if (!isAllowedForRequest(pin))
        return CoreError::NotAllowed;
    return std::nullopt;
}

const ConfigException *CandidateBuilder::targetException(const ModelVersion &version) const
{
    for (const ConfigException &exception : config_.exceptions) {
        if (exception.effect != ExceptionEffect::QualityTarget)
            continue;
        if (appliesTo(exception, request_.account.id, request_.task, request_.rank, version, now_))
            return &exception;
    }
    return nullptr;
}

double CandidateBuilder::defaultTarget() const
{
    for (const TaskPolicy &policy : config_.defaults.tasks) {
        if (policy.task == request_.task)
            return policy.qualityTarget;
    }
    return config_.defaults.qualityTarget;
}

VersionCandidate CandidateBuilder::makeCandidate(const ModelVersion &version,
                                                 const VersionSpec &spec, VersionRole role) const
{
    VersionCandidate candidate{.version = version,
                               .spec = &spec,
                               .role = role,
                               .qualityTarget = defaultTarget(),
                               .expectedCost = costOf(spec, request_)};
    if (const ConfigException *exception = targetException(version)) {
        candidate.qualityTarget = exception->value;
        candidate.targetException = exception->id;
    }
    return candidate;
}

Result<CandidateSet> CandidateBuilder::pinnedVersion(const ModelVersion &pin) const
{
    const bool sameModel = !request_.requested.model || *request_.requested.model == pin.model;
    const bool sameVersion =
            !request_.requested.version || *request_.requested.version == pin.version;
    if (!sameModel || !sameVersion) {
        return failure(CoreError::InvalidArgument,
                       fmt::format("model: the session is pinned to {}", toString(pin)));
    }
    CandidateSet set;
    set.candidates = {makeCandidate(pin, *findVersion(config_, pin), VersionRole::Stable)};
    set.fixedReason = ChoiceReason::Pinned;
    set.pin = PinEffect::Kept;
    return set;
}

Result<CandidateSet> CandidateBuilder::requestedVersion(const ModelVersion &version) const
{
    const VersionSpec *spec = findVersion(config_, version);
    if (!spec)
        return failure(CoreError::UnknownModel, fmt::format("model: {}", toString(version)));
    if (!isAllowedForRequest(version))
        return failure(CoreError::NotAllowed, fmt::format("model: {}", toString(version)));
    const std::string detail = fmt::format("{}: {}", toString(version), spec->stateReason);
    if (spec->state == VersionState::Withdrawn)
        return failure(CoreError::Withdrawn, detail);
    if (spec->state == VersionState::Held)
        return failure(CoreError::NoEndpoint, "held for new sessions: " + detail);
    CandidateSet set;
    set.candidates = {makeCandidate(version, *spec, VersionRole::Stable)};
    set.fixedReason = ChoiceReason::RequestedVersion;
    return set;
}

std::optional<CandidateSet> CandidateBuilder::forcedVersion() const
{
    for (const ConfigException &exception : config_.exceptions) {
        if (exception.effect != ExceptionEffect::ForceVersion || !exception.model
            || !exception.version)
            continue;
        const ModelVersion version{*exception.model, *exception.version};
        if (!appliesTo(exception, request_.account.id, request_.task, request_.rank, version, now_))
            continue;
        const VersionSpec *spec = findVersion(config_, version);
        if (!spec || spec->state != VersionState::Serving || !isAllowedForRequest(version))
            continue;
        CandidateSet set;
        set.candidates = {makeCandidate(version, *spec, VersionRole::Stable)};
        set.fixedReason = ChoiceReason::Exception;
        set.exception = exception.id;
        return set;
    }
    return std::nullopt;
}

void CandidateBuilder::addVersion(const ModelSpec &model, const VersionSpec &spec,
                                  CandidateSet &set)
{
    const ModelVersion version{model.name, spec.name};
    if (!isAllowedForRequest(version))
        return;
    foundWithdrawn_ = foundWithdrawn_ || spec.state == VersionState::Withdrawn;
    foundHeld_ = foundHeld_ || spec.state == VersionState::Held;
    if (spec.state != VersionState::Serving)
        return;
    const bool rolloutActive = model.rollout && model.rollout->phase != RolloutPhase::Done;
    const bool isTarget = rolloutActive && model.rollout->to == spec.name;
    if (isTarget && model.rollout->phase == RolloutPhase::Held)
        return;
    const VersionName &stable = rolloutActive ? model.rollout->from : model.stable;
    const VersionRole defaultRole = spec.name == stable ? VersionRole::Stable : VersionRole::Other;
    VersionCandidate candidate =
            makeCandidate(version, spec, isTarget ? VersionRole::RolloutTarget : defaultRole);
    if (isTarget)
        candidate.stagePermille = model.rollout->stagesPermille.at(model.rollout->stage);
    set.candidates.push_back(std::move(candidate));
}

void CandidateBuilder::addModel(const ModelSpec &model, CandidateSet &set)
{
    for (const VersionSpec &spec : model.versions)
        addVersion(model, spec, set);
}

Result<CandidateSet> CandidateBuilder::eligibleVersions()
{
    CandidateSet set;
    if (request_.requested.model) {
        const ModelSpec *model = findModel(config_, *request_.requested.model);
        if (!model)
            return failure(CoreError::UnknownModel, "model: " + request_.requested.model->value());
        addModel(*model, set);
    } else {
        for (const ModelSpec &model : config_.models)
            addModel(model, set);
    }
    if (!set.candidates.empty())
        return set;
    if (foundHeld_)
        return failure(CoreError::NoEndpoint, "every allowed version is held for new sessions");
    if (foundWithdrawn_)
        return failure(CoreError::Withdrawn, "every allowed version is withdrawn");
    return failure(CoreError::NotAllowed, "the account may use no version of what was asked for");
}

Result<CandidateSet> CandidateBuilder::build()
{
    std::optional<CoreError> moveReason;
    if (request_.pin) {
        moveReason = pinMoveReason(*request_.pin);
        if (!moveReason)
            return pinnedVersion(*request_.pin);
    }
    Result<CandidateSet> found = [this]() -> Result<CandidateSet> {
        if (request_.requested.model && request_.requested.version)
            return requestedVersion(
                    ModelVersion{*request_.requested.model, *request_.requested.version});
        if (std::optional<CandidateSet> set = forcedVersion())
            return std::move(*set);
        return eligibleVersions();
    }();
    if (found && request_.session) {
        found.value().pin = moveReason ? PinEffect::Moved : PinEffect::New;
        found.value().pinMoveReason = moveReason;
    }
    return found;
}

} // namespace

Result<RequestedModel> parseRequestedModel(std::string_view text)
{
    if (text == "auto")
        return RequestedModel{};
    const std::size_t at = text.find('@');
    const std::string_view model = text.substr(0, at);
    if (model.empty())
        return failure(CoreError::InvalidArgument, "model: empty");
    RequestedModel requested{.model = ModelName(std::string(model))};
    if (at == std::string_view::npos)
        return requested;
    const std::string_view version = text.substr(at + 1);
    if (version.empty())
        return failure(CoreError::InvalidArgument, "model: no version after '@'");
    requested.version = VersionName(std::string(version));
    return requested;
}

std::uint32_t stablePermille(std::string_view subject, std::string_view salt)
{
    // Name-based UUIDs (RFC 4122, SHA-1) are a stable hash. Their first four bytes contain no
    // version or variant bits.
    boost::uuids::name_generator_sha1 generate(boost::uuids::ns::oid());
    const boost::uuids::uuid hash = generate(fmt::format("{}\n{}", salt, subject));
    std::uint32_t value = 0;
    for (std::size_t byte = 0; byte < sizeof(value); ++byte)
        value = value << 8U | hash.data[byte];
    return value % kPermille;
}

std::uint32_t rolloutPosition(const ChoiceRequest &request, const ModelVersion &target)
{
    const std::string &subject =
            request.session ? request.session->value() : request.request.value();
    return stablePermille(subject, toString(target));
}

Result<CandidateSet> listCandidates(const FleetConfig &config, const ChoiceRequest &request,
                                    WallTime now)
{
    return CandidateBuilder(config, request, now).build();
}

Result<void> checkDispatch(const FleetConfig &config, const ClientAccount &account,
                           const TaskName &task, Rank rank, const ModelVersion &version,
                           WallTime now)
{
    const VersionSpec *spec = findVersion(config, version);
    if (!spec || spec->state == VersionState::Withdrawn)
        return failure(CoreError::Withdrawn, toString(version));
    if (!isAllowed(config, account, task, rank, version, now))
        return failure(CoreError::NotAllowed, toString(version));
    return outcome::success();
}

} // namespace fireflyroute::core

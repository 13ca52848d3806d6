// RequestMachine with a fixed policy and a small configuration, for tests that supply its inputs.

#ifndef FIREFLYROUTE_CORE_REQUESTS_TESTING_FAKE_REQUEST_H
#define FIREFLYROUTE_CORE_REQUESTS_TESTING_FAKE_REQUEST_H

#include "core/requests/request_machine.h"

#include <algorithm>
#include <string>
#include <vector>

namespace fireflyroute::core::testing {

// Plans m@1 and provides the given number of endpoints.
struct FixedPolicy
{
    std::size_t endpoints = 3;

    Result<std::vector<ModelVersion>> planVersions(const RoutingContext &, const CallerRequest &,
                                                   const std::optional<ModelVersion> &)
    {
        return std::vector<ModelVersion>{{ModelName("m"), VersionName("1")}};
    }

    Result<EndpointChoice> chooseEndpoint(const RoutingContext &, const CallerRequest &,
                                          const ModelVersion &,
                                          const std::vector<EndpointId> &excluded)
    {
        if (excluded.size() >= endpoints)
            return CoreFailure{CoreError::NoEndpoint, "no endpoint left"};
        return EndpointChoice{EndpointId("e" + std::to_string(excluded.size())), Incarnation(1),
                              "http://127.0.0.1:1"};
    }
};

inline CallerRequest modelCall()
{
    CallerRequest request;
    request.id = RequestId("r1");
    request.account = ClientAccountId("a");
    request.model = ModelName("m");
    request.fingerprint = "f";
    return request;
}

inline CallerRequest nonRepeatableCall()
{
    CallerRequest request = modelCall();
    request.kind = CallKind::Service;
    request.service = ServiceName("refunds");
    request.method = "POST";
    request.path = "/post/1";
    request.idempotencyKey = "k";
    return request;
}

inline AnswerChunk chunk(std::uint32_t attempt, std::uint64_t endOffset, const char *text)
{
    return AnswerChunk{attempt, endOffset, 5, text, false, ""};
}

inline AnswerChunk lastChunk(std::uint32_t attempt, std::uint64_t endOffset)
{
    return AnswerChunk{attempt, endOffset, 5, "", true, "stop"};
}

class FakeRequest
{
public:
    explicit FakeRequest(CallerRequest request, std::size_t endpoints = 3)
        : policy_{endpoints}
        , machine_(std::move(request), policy_, VmId("vm"), Incarnation(1))
    {
        ModelSpec model;
        model.name = ModelName("m");
        model.versions = {VersionSpec{.name = VersionName("1")},
                          VersionSpec{.name = VersionName("2")}};
        model.stable = VersionName("1");
        config_.models = {model};
        ClientAccount account;
        account.id = ClientAccountId("a");
        account.allowed = {ModelPermission{ModelName("m"), std::nullopt}};
        config_.accounts = {account};
        ServiceSpec service;
        service.name = ServiceName("refunds");
        service.nonRepeatable = {NonRepeatableCall{"POST", "/post"}};
        config_.services = {service};
        directory_.byService[ServiceName("refunds")] = {};
    }

    // Starts and admits the request.
    void start()
    {
        step(RequestStarted{});
        if (has<JoinQueue>())
            step(RequestAdmitted{});
    }

    void step(const RequestInput &input)
    {
        const RoutingContext context{config_, directory_, leaseValid_, now_, WallTime{}};
        for (RequestAction &action : machine_.step(input, context))
            actions_.push_back(std::move(action));
    }

    void advance(Duration time) { now_ += time; }
    void setLease(bool valid) { leaseValid_ = valid; }
    FleetConfig &config() { return config_; }
    const RequestMachine<FixedPolicy> &machine() const { return machine_; }

    template<typename Action>
    std::size_t count() const
    {
        const auto isOfKind = [](const RequestAction &action) {
            return std::holds_alternative<Action>(action);
        };
        return static_cast<std::size_t>(std::count_if(actions_.begin(), actions_.end(), isOfKind));
    }

    template<typename Action>
    bool has() const
    {
        return count<Action>() > 0;
    }

    // Last action of a kind. If there is none, a default-constructed one, which no check expects.
    template<typename Action>
    Action last() const
    {
        for (auto it = actions_.rbegin(); it != actions_.rend(); ++it) {
            if (const auto *found = std::get_if<Action>(&*it))
                return *found;
        }
        return Action{};
    }

    std::string relayed() const
    {
        std::string text;
        for (const RequestAction &action : actions_) {
            if (const auto *relay = std::get_if<RelayChunk>(&action))
                text += relay->text;
        }
        return text;
    }

private:
    FleetConfig config_;
    DirectoryView directory_;
    bool leaseValid_ = true;
    Instant now_{std::chrono::hours(1)};
    FixedPolicy policy_;
    RequestMachine<FixedPolicy> machine_;
    std::vector<RequestAction> actions_;
};

} // namespace fireflyroute::core::testing

#endif

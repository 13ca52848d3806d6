// Encoding of problem documents.

#include "net/problem_json.h"

#include "net/text_json.h"

#include <array>

namespace fireflyroute::net {

namespace {

using core::CoreError;

struct StatusRow
{
    CoreError error;
    int status;
};

constexpr std::array kStatusByError{
        StatusRow{CoreError::InvalidArgument, 400},  StatusRow{CoreError::UnknownAccount, 401},
        StatusRow{CoreError::UnknownModel, 404},     StatusRow{CoreError::NotAllowed, 403},
        StatusRow{CoreError::Withdrawn, 410},        StatusRow{CoreError::NoEndpoint, 503},
        StatusRow{CoreError::Overloaded, 429},       StatusRow{CoreError::DeadlineExceeded, 504},
        StatusRow{CoreError::RevisionConflict, 409}, StatusRow{CoreError::ReasonMissing, 422},
        StatusRow{CoreError::NotFound, 404},         StatusRow{CoreError::AlreadyExists, 409},
        StatusRow{CoreError::NotLeader, 503},        StatusRow{CoreError::LeaseExpired, 503},
        StatusRow{CoreError::Quarantined, 422},      StatusRow{CoreError::KeyReused, 422},
        StatusRow{CoreError::OutcomeUnknown, 409},
};

static_assert(kStatusByError.size() == core::EnumNames<CoreError>::table.size());

constexpr int kStatusInternalError = 500;

} // namespace

int statusOf(core::CoreError error)
{
    for (const StatusRow &row : kStatusByError) {
        if (row.error == error)
            return row.status;
    }
    return kStatusInternalError;
}

HttpResponse problemResponse(const core::CoreFailure &failure, core::Executed executed,
                             std::chrono::milliseconds retryAfter)
{
    HttpResponse response;
    response.status = statusOf(failure.code);
    response.contentType = "application/problem+json";
    Json::Value body;
    body["type"] = "about:blank";
    body["title"] = std::string(core::nameOf(failure.code));
    body["status"] = response.status;
    body["detail"] = failure.detail;
    body["ran"] = std::string(core::nameOf(executed));
    response.body = writeJson(body);
    if (retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        response.headers.push_back(HttpHeader{"Retry-After", std::to_string(seconds.count())});
    }
    return response;
}

HttpResponse malformedResponse(const NetFailure &failure)
{
    return problemResponse({core::CoreError::InvalidArgument, failure.detail}, core::Executed::No);
}

} // namespace fireflyroute::net

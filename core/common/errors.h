// Errors of the core as values. Every core function that can fail returns a Result; the code
// classifies the failure and the detail names the invalid field or state in readable form.
//
//   Result<ChangedConfig> changed = applyChange(current, command);
//   if (!changed)
//       return changed.as_failure();

#ifndef FIREFLYROUTE_CORE_COMMON_ERRORS_H
#define FIREFLYROUTE_CORE_COMMON_ERRORS_H

#include "core/common/enum_names.h"

#include <array>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace fireflyroute::core {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

enum class CoreError {
    InvalidArgument,
    UnknownAccount,
    UnknownModel,
    NotAllowed,
    Withdrawn,
    NoEndpoint,
    Overloaded,
    DeadlineExceeded,
    RevisionConflict,
    ReasonMissing,
    NotFound,
    AlreadyExists,
    NotLeader,
    LeaseExpired,
    Quarantined,
    KeyReused,
    OutcomeUnknown,
};

template<>
struct EnumNames<CoreError>
{
    static constexpr std::array table{
            EnumName{CoreError::InvalidArgument, "invalid_argument"},
            EnumName{CoreError::UnknownAccount, "unknown_account"},
            EnumName{CoreError::UnknownModel, "unknown_model"},
            EnumName{CoreError::NotAllowed, "not_allowed"},
            EnumName{CoreError::Withdrawn, "withdrawn"},
            EnumName{CoreError::NoEndpoint, "no_endpoint"},
            EnumName{CoreError::Overloaded, "overloaded"},
            EnumName{CoreError::DeadlineExceeded, "deadline_exceeded"},
            EnumName{CoreError::RevisionConflict, "revision_conflict"},
            EnumName{CoreError::ReasonMissing, "reason_missing"},
            EnumName{CoreError::NotFound, "not_found"},
            EnumName{CoreError::AlreadyExists, "already_exists"},
            EnumName{CoreError::NotLeader, "not_leader"},
            EnumName{CoreError::LeaseExpired, "lease_expired"},
            EnumName{CoreError::Quarantined, "quarantined"},
            EnumName{CoreError::KeyReused, "key_reused"},
            EnumName{CoreError::OutcomeUnknown, "outcome_unknown"},
    };
};

// A failure: its code, and a message that names the field or state concerned.
struct CoreFailure
{
    CoreError code;
    std::string detail;

    bool operator==(const CoreFailure &) const = default;
};

// The value of a core call, or its failure. Accessing the wrong alternative terminates the process.
template<typename T>
using Result = outcome::result<T, CoreFailure, outcome::policy::terminate>;

} // namespace fireflyroute::core

#endif

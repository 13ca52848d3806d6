// Whether a request is a call or a stream. Decided here only, by the kind of its route; whether its
// service has models makes no difference.
//
//   const RequestForm form = requestForm(route);

#ifndef FIREFLYROUTE_CORE_CALLS_REQUEST_FORM_H
#define FIREFLYROUTE_CORE_CALLS_REQUEST_FORM_H

#include "core/common/enum_names.h"
#include "core/config/site_config.h"

#include <array>

namespace fireflyroute::core {

enum class RequestForm {
    Call, // the answer is forwarded when it is complete
    Stream, // the answer is forwarded event by event, and may be continued on another endpoint
};

template<>
struct EnumNames<RequestForm>
{
    static constexpr std::array table{
            EnumName{RequestForm::Call, "call"},
            EnumName{RequestForm::Stream, "stream"},
    };
};

[[nodiscard]] inline RequestForm requestForm(const Route &route)
{
    return route.isStream() ? RequestForm::Stream : RequestForm::Call;
}

} // namespace fireflyroute::core

#endif

// Fuzz target: decoder of the bodies of chat and text completion requests.

#include "net/chat_json.h"
#include "net/text_json.h"

#include <cstdlib>

namespace fireflyroute::net {

namespace {

// The attempt that is encoded from an accepted call must be valid JSON.
void checkCall(core::CallKind kind, const std::string &text)
{
    const Result<CompletionCall> call = readCompletionCall(kind, text);
    if (!call)
        return;
    const std::string attempt =
            encodeAttempt(call.value(), core::StartAttempt(), core::Rank::Normal);
    if (!parseJson(attempt))
        std::abort();
}

} // namespace

} // namespace fireflyroute::net

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace fireflyroute;
    const std::string text(reinterpret_cast<const char *>(data), size);
    net::checkCall(core::CallKind::Chat, text);
    net::checkCall(core::CallKind::Completion, text);
    return 0;
}

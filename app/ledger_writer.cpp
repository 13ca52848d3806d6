// Batching of ledger operations.

#include "app/ledger_writer.h"

#include "net/http_listener.h"

#include <fmt/format.h>
#include <iterator>

namespace fireflyroute::app {

void LedgerWriter::put(core::LedgerOperation operation, OutcomeCallback callback)
{
    {
        const std::scoped_lock lock(mutex_);
        queue_.push_back(PendingOperation{std::move(operation), std::move(callback)});
        if (batchInFlight_)
            return;
        batchInFlight_ = true;
    }
    sendNext();
}

void LedgerWriter::sendNext()
{
    auto batch = std::make_shared<Batch>();
    core::LedgerCommand command;
    {
        const std::scoped_lock lock(mutex_);
        if (queue_.empty()) {
            batchInFlight_ = false;
            return;
        }
        const std::size_t count = std::min(queue_.size(), kBatchLimit);
        const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
        std::move(queue_.begin(), end, std::back_inserter(*batch));
        queue_.erase(queue_.begin(), end);
        command.id = core::CommandId(
                fmt::format("{}/{}/{}", vm_.value(), core::toNumber(incarnation_), ++batchCount_));
    }
    for (const PendingOperation &pending : *batch)
        command.operations.push_back(pending.operation);
    core::SubmitRequest request;
    request.command = std::move(command);
    send(request, batch, clock_.now() + kRetryWindow);
}

void LedgerWriter::send(const core::SubmitRequest &request, const std::shared_ptr<Batch> &batch,
                        core::Instant deadline)
{
    link_->submit(request, [self = shared_from_this(), request, batch,
                            deadline](const net::Result<core::SubmitReply> &answer) {
        const core::LedgerReply *reply =
                answer && answer.value().reply
                        ? std::get_if<core::LedgerReply>(&*answer.value().reply)
                        : nullptr;
        const core::Instant retryAt = self->clock_.now() + kRetryInterval;
        if (!reply && retryAt < deadline) {
            self->loop_.postAt(retryAt, [self, request, batch, deadline] {
                self->send(request, batch, deadline);
            });
            return;
        }
        self->completeBatch(batch, reply);
        self->sendNext();
    });
}

void LedgerWriter::completeBatch(const std::shared_ptr<Batch> &batch,
                                 const core::LedgerReply *reply)
{
    const bool isComplete = reply && reply->outcomes.size() == batch->size();
    for (std::size_t i = 0; i < batch->size(); ++i) {
        std::optional<core::LedgerOutcome> outcome;
        if (isComplete)
            outcome = reply->outcomes[i];
        net::runOnTrafficThread([callback = (*batch)[i].callback, outcome] { callback(outcome); });
    }
}

} // namespace fireflyroute::app

// Sends the ledger operations of all requests of an entry to the control leader in batches.
// Operations queue up while a batch is in flight, so the batch size adapts to the load.

#ifndef FIREFLYROUTE_APP_LEDGER_WRITER_H
#define FIREFLYROUTE_APP_LEDGER_WRITER_H

#include "app/control_link.h"
#include "app/control_loop.h"
#include "core/ledger/ledger_types.h"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace fireflyroute::app {

class LedgerWriter : public std::enable_shared_from_this<LedgerWriter>
{
public:
    // No outcome means that the ledger did not answer; the record may or may not have been written.
    using OutcomeCallback = std::function<void(std::optional<core::LedgerOutcome>)>;

    // Maximum number of operations per batch.
    static constexpr std::size_t kBatchLimit = 512;
    // How long a batch is retried while no leader answers. Long enough for an election. Operations
    // are idempotent, so retries are safe.
    static constexpr std::chrono::milliseconds kRetryWindow{5000};
    static constexpr std::chrono::milliseconds kRetryInterval{50};

    LedgerWriter(const SystemClock &clock, ControlLoop &loop, std::shared_ptr<ControlLink> link,
                 core::VmId vm, core::Incarnation incarnation)
        : clock_(clock)
        , loop_(loop)
        , link_(std::move(link))
        , vm_(std::move(vm))
        , incarnation_(incarnation)
    {}

    // Queues an operation. May be called from any thread. The callback runs on a traffic thread.
    void put(core::LedgerOperation operation, OutcomeCallback callback);

private:
    struct PendingOperation
    {
        core::LedgerOperation operation;
        OutcomeCallback callback;
    };

    using Batch = std::vector<PendingOperation>;

    void sendNext();
    void send(const core::SubmitRequest &request, const std::shared_ptr<Batch> &batch,
              core::Instant deadline);
    void completeBatch(const std::shared_ptr<Batch> &batch, const core::LedgerReply *reply);

    const SystemClock &clock_;
    ControlLoop &loop_; // runs the delayed retries
    std::shared_ptr<ControlLink> link_;
    core::VmId vm_;
    core::Incarnation incarnation_;

    std::mutex mutex_; // guards the fields below
    Batch queue_;
    bool batchInFlight_ = false; // a batch was sent and not yet answered
    std::uint64_t batchCount_ = 0;
};

} // namespace fireflyroute::app

#endif

// The control role: a member of the replication group that keeps the durable state. If it is the
// leader, it also serves the entries. All members run on the control thread.
//
// A command is appended to the replicated log; the reply is sent once the command is committed and
// applied. Only a leader with a valid leader lease grants configuration leases to entries.

#ifndef FIREFLYROUTE_APP_CONTROL_VM_H
#define FIREFLYROUTE_APP_CONTROL_VM_H

#include "app/control_loop.h"
#include "app/errors.h"
#include "app/event_recorder.h"
#include "app/settings.h"
#include "core/config/control_messages.h"
#include "core/config/control_state.h"
#include "core/group/replica.h"
#include "core/leases/entry_registry.h"
#include "core/leases/lease_grant.h"
#include "net/rpc_peer.h"
#include "store/replica_store.h"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fireflyroute::app {

class ControlVm
{
public:
    using SubmitCallback = std::function<void(core::SubmitReply)>;

    // Opens the data folder and joins the group, or creates a new group. Must be called before the
    // loop starts.
    static Result<std::unique_ptr<ControlVm>> open(const ServeSettings &settings,
                                                   const SystemClock &clock, ControlLoop &loop,
                                                   EventRecorder &events);

    // Proposes a command. The callback runs once the outcome is known.
    void submit(const core::SubmitRequest &request, SubmitCallback callback);

    // Handles a message from another control VM.
    void receive(const core::ReplicaMessage &message);

    // Handles an entry's heartbeat and grants it a lease if this VM holds the leader lease.
    core::FollowReply follow(const core::FollowRequest &request);

    // Syncs the writes made since the last call and continues with the actions that depend on them.
    // Runs after each batch of the control loop.
    void commitBatch();

    // Transfers leadership to another control VM before a graceful shutdown.
    void transferLeadership();

    [[nodiscard]] core::InForceReport inForce();
    [[nodiscard]] const core::ControlState &state() const { return state_; }
    [[nodiscard]] const core::ReplicaId &self() const { return replica_.self(); }
    [[nodiscard]] const core::Membership &membership() const { return replica_.membership(); }
    [[nodiscard]] bool isLeader() const;
    [[nodiscard]] std::string leaderAddress() const;

private:
    struct PendingSubmit
    {
        core::SubmitRequest request;
        SubmitCallback callback;
        std::optional<core::ControlReply> reply; // set once the command is applied
    };

    ControlVm(const ServeSettings &settings, const SystemClock &clock, ControlLoop &loop,
              EventRecorder &events, store::ReplicaStore store, core::ReplicaConfig config,
              core::RecoveredReplica recovered);

    void step(const core::ReplicaInput &input);
    void perform(const core::SendMessage &action);
    void perform(const core::WriteHardState &action);
    void perform(const core::WriteEntries &action);
    void perform(const core::InstallSnapshot &action);
    void perform(const core::ApplyEntries &action);
    void perform(const core::TakeSnapshot &action);
    void perform(const core::RoleChanged &action);
    void perform(const core::ProposalDone &action);
    void perform(const core::ReadDone &action);
    void perform(const core::InvariantViolated &action);

    void applyCommand(const std::string &payload);
    void recordChange(const core::ControlCommand &command, const core::ControlReply &reply);
    void scheduleTick();
    void expireEntries();
    void recordClaimants(const core::ControlCommand &command);
    void abandonClaims();
    [[nodiscard]] core::LeaderAuthority authority() const;
    [[nodiscard]] core::ClockReading readClock() const;

    const ServeSettings settings_;
    const SystemClock &clock_;
    ControlLoop &loop_;
    EventRecorder &events_;
    store::ReplicaStore store_;
    core::Replica replica_;
    core::ControlState state_; // result of all applied log entries
    core::WriteToken unsyncedToken_ = 0; // newest write not yet synced; 0 if none
    std::optional<core::Instant> tickAt_; // due time of the pending timer

    std::uint64_t lastProposalId_ = 0;
    std::map<core::ProposalId, PendingSubmit> pendingSubmits_; // not yet completed
    std::map<core::CommandId, core::ProposalId>
            proposalByCommand_; // latest proposal of each command

    core::LeaseGranter leaseGranter_;
    core::EntryRegistry entryRegistry_;
    std::map<core::VmId, core::VmAddress> entryAddresses_; // of the entries that send heartbeats
    std::map<core::VmId, std::unique_ptr<net::RpcPeer>> peers_; // the other control VMs
};

} // namespace fireflyroute::app

#endif

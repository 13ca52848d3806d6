// Runs one replica. Steps the state machine on the control thread, writes its data folder on a
// separate disk thread, and passes its outputs to hooks. A slow disk delays commits only.
//
//   Result<std::unique_ptr<ReplicaDriver>> driver = ReplicaDriver::open(io, settings, hooks);
//   driver.value()->propose(payload, [](core::ProposalOutcome outcome) { ... });
//   driver.value()->receive(message);
//
// All calls and hooks run on the thread of the io_context.

#ifndef FIREFLYROUTE_APP_REPLICA_DRIVER_H
#define FIREFLYROUTE_APP_REPLICA_DRIVER_H

#include "app/disk_thread.h"
#include "app/errors.h"
#include "app/system_clock.h"
#include "core/group/replica.h"
#include "store/replica_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflyroute::app {

struct ReplicaSettings
{
    std::filesystem::path folder;
    core::VmId self;
    std::vector<core::VmId> seeds;
    bool mayCreateGroup = false; // true at the first start of the site
    std::size_t toleratedLosses = 2; // number of control VMs that may fail at once
};

struct ReplicaHooks
{
    std::function<void(const std::string &payload)> apply;
    std::function<void(const std::string &state)> load; // replaces the state by a snapshot
    std::function<std::string()> save;
    std::function<void(const core::ReplicaMessage &)> send;
    std::function<void(const core::RoleChanged &)> roleChanged;
    std::function<void(const core::Membership &)> membershipChanged;
    // The storage failed or an invariant was violated. Must end the process.
    std::function<void(const std::string &detail)> failed;
};

class ReplicaDriver
{
public:
    using ProposalCallback = std::function<void(core::ProposalOutcome)>;

    static Result<std::unique_ptr<ReplicaDriver>>
    open(boost::asio::io_context &io, const ReplicaSettings &settings, ReplicaHooks hooks);

    // Starts the timers. Hooks are only called after this.
    void start();

    void propose(std::string payload, ProposalCallback callback);
    void receive(const core::ReplicaMessage &message);
    void transferLeadership();
    void setSeeds(std::vector<core::VmId> seeds) { replica_.setSeeds(std::move(seeds)); }

    [[nodiscard]] const core::Replica &replica() const { return replica_; }
    // Size of the snapshot and of the payload of the entries that were recovered from the disk.
    [[nodiscard]] std::uint64_t recoveredBytes() const { return recoveredBytes_; }
    [[nodiscard]] bool isLeader() const;

    // Whether this VM holds the leader lease, so that no other VM can be leader.
    [[nodiscard]] bool hasLease() const;

private:
    ReplicaDriver(boost::asio::io_context &io, ReplicaHooks hooks, store::ReplicaStore store,
                  const core::ReplicaConfig &config, core::RecoveredReplica recovered);

    void step(core::ReplicaInput input);
    void stepReplica(const core::ReplicaInput &input);
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

    void flush();
    void scheduleTick();
    void reportMembershipChange();

    using DiskWrite = std::function<store::Result<void>(store::ReplicaStore &)>;

    boost::asio::io_context &io_;
    boost::asio::steady_timer timer_;
    const ReplicaHooks hooks_;
    BootClock clock_;
    store::ReplicaStore store_; // after open(), used by the disk thread only
    const std::uint64_t recoveredBytes_;
    core::Replica replica_;
    core::Membership membership_; // last reported to hooks_
    std::deque<core::ReplicaInput> inputs_; // inputs received while isStepping_
    bool isStepping_ = false; // actions are being performed
    std::map<core::ProposalId, ProposalCallback> proposals_;
    std::uint64_t lastProposal_ = 0;
    std::vector<DiskWrite> pendingWrites_; // next batch for the disk thread, in order
    core::WriteToken lastWriteToken_ = 0; // newest token of all writes so far
    std::vector<core::SnapshotPtr> pendingSnapshots_; // snapshots in pendingWrites_
    bool isWriteInFlight_ = false; // the disk thread is writing a batch
    DiskThread disk_; // declared last: stops before the fields that it uses are destroyed
};

} // namespace fireflyroute::app

#endif

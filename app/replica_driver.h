// Runs one replica: steps it on the control thread, writes to its data folder on a thread of its
// own, and hands out what it says. A slow disk delays commits and nothing else.
//
//   Result<std::unique_ptr<ReplicaDriver>> driver = ReplicaDriver::open(io, settings, hooks);
//   driver->propose(payload, [](core::ProposalOutcome outcome) { ... });
//   driver->receive(message);
//
// All calls and hooks run on the io_context's thread.

#ifndef FIREFLYROUTE_APP_REPLICA_DRIVER_H
#define FIREFLYROUTE_APP_REPLICA_DRIVER_H

#include "app/disk_thread.h"
#include "app/errors.h"
#include "app/system_clock.h"
#include "core/replica.h"
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
    bool mayFound = false; // the whole system starts for the first time
    std::size_t tolerated = 2; // control VMs that may be lost at once
};

struct ReplicaHooks
{
    std::function<void(const std::string &payload)> apply;
    std::function<void(const std::string &state)> load; // a snapshot in place of the state
    std::function<std::string()> save;
    std::function<void(const core::ReplicaMessage &)> send;
    std::function<void(const core::RoleChanged &)> roleChanged;
    std::function<void(const core::Membership &)> membershipChanged;
    std::function<void(const std::string &detail)> failed; // storage is lost; ends the process
};

class ReplicaDriver
{
public:
    using Done = std::function<void(core::ProposalOutcome)>;

    static Result<std::unique_ptr<ReplicaDriver>>
    open(boost::asio::io_context &io, const ReplicaSettings &settings, ReplicaHooks hooks);

    // Starts the timers. Hooks are called from here on.
    void start();

    void propose(std::string payload, Done done);
    void receive(const core::ReplicaMessage &message);
    void transferLeadership();

    [[nodiscard]] const core::Replica &replica() const { return replica_; }
    [[nodiscard]] bool isLeader() const;

    // Whether no other VM can be leader at present.
    [[nodiscard]] bool hasLease() const;

private:
    ReplicaDriver(boost::asio::io_context &io, ReplicaHooks hooks, store::ReplicaStore store,
                  const core::ReplicaConfig &config, core::RecoveredReplica recovered);

    void step(core::ReplicaInput input);
    void stepNow(const core::ReplicaInput &input);
    void perform(const core::SendMessage &action);
    void perform(const core::WriteHardState &action);
    void perform(const core::WriteEntries &action);
    void perform(const core::InstallSnapshot &action);
    void perform(const core::ApplyEntries &action);
    void perform(const core::TakeSnapshot &action);
    void perform(const core::RoleChanged &action);
    void perform(const core::ProposalDone &action);
    void perform(const core::ReadDone &action);
    void perform(const core::InvariantBroken &action);

    void flush();
    void scheduleTick();
    void noteMembership();

    using DiskWrite = std::function<store::Result<void>(store::ReplicaStore &)>;

    boost::asio::io_context &io_;
    boost::asio::steady_timer timer_;
    const ReplicaHooks hooks_;
    BootClock clock_;
    store::ReplicaStore store_; // used by the disk thread only
    core::Replica replica_;
    core::SnapshotPtr recovered_; // loaded by start()
    core::Membership membership_; // as last told
    std::deque<core::ReplicaInput> inputs_; // those that came while stepping_
    bool stepping_ = false; // actions are being carried out
    std::map<core::ProposalId, Done> proposals_;
    std::uint64_t lastProposal_ = 0;
    std::vector<DiskWrite> writes_; // for the next turn of the disk thread, in order
    core::WriteToken written_ = 0; // newest token among writes_
    std::vector<core::SnapshotPtr> saved_; // snapshots among writes_
    bool writing_ = false; // the disk thread has a batch
    DiskThread disk_; // last, so that it ends before what it uses
};

} // namespace fireflyroute::app

#endif

// Chooses for each entry the entries that serve it as relays while it is isolated, that is, while
// it has lost its path to the endpoints. Fed on all control VMs, so that a new leader knows the
// reports; lists are chosen on the leader.
//
//   RelayDirectory directory(regions, reportLifetime);
//   directory.recordConnected(entry, dataCentre);
//   directory.recordProbe(entry, probe.isolated, now);
//   for (const VmId &lost : directory.expire(now))        // periodically
//       log(lost);
//   for (const VmId &changed : directory.update())        // periodically, on the leader
//       link.send(RelayList{directory.relaysOf(changed)});
//
// Relays are entries with a recent report that they are not isolated: those of the entry's data
// centre first, then those of its region, then all others. Within such a class a rendezvous hash of
// both entries orders them, so that many isolated entries spread evenly over the relays, and so
// that a change of one relay leaves the lists without it as they are.

#ifndef FIREFLYROUTE_CORE_PATHS_RELAY_DIRECTORY_H
#define FIREFLYROUTE_CORE_PATHS_RELAY_DIRECTORY_H

#include "core/common/clock.h"
#include "core/places/regions.h"
#include "core/site/site_messages.h"

#include <array>
#include <map>
#include <vector>

namespace fireflyroute::core {

// An entry's path to the endpoints, according to its last report. Unknown before the first report
// and after the last one has expired.
enum class EntryPath { Unknown, Connected, Isolated };

template<>
struct EnumNames<EntryPath>
{
    static constexpr std::array table{
            EnumName{EntryPath::Unknown, "unknown"},
            EnumName{EntryPath::Connected, "connected"},
            EnumName{EntryPath::Isolated, "isolated"},
    };
};

class RelayDirectory
{
public:
    // `reportLifetime`: how long a report of an entry is valid. Covers several probes.
    RelayDirectory(Regions regions, Duration reportLifetime)
        : regions_(std::move(regions))
        , reportLifetime_(reportLifetime)
    {}

    // Records a new connection of an entry. The entry may have missed changes, so the next update()
    // returns it.
    void recordConnected(const VmId &entry, const DataCentreId &dataCentre);

    // Return whether the entry became isolated, recovered, or was lost while it was isolated.
    bool recordDisconnected(const VmId &entry);
    bool recordProbe(const VmId &entry, bool isolated, Instant now);

    // Drops reports that are too old. Reports don't expire during a pause of the process, since
    // newer ones may wait to be read. Returns the entries that were isolated by their last report.
    std::vector<VmId> expire(Instant now);

    // Makes the next update() return all entries: a new leader doesn't know what was sent.
    void forgetLists();

    // Chooses the relays of all entries if anything changed since the last call. Returns the
    // entries whose lists changed.
    [[nodiscard]] std::vector<VmId> update();

    // As of the last update().
    [[nodiscard]] std::vector<VmId> relaysOf(const VmId &entry) const;

    [[nodiscard]] EntryPath pathOf(const VmId &entry) const;
    [[nodiscard]] std::size_t isolatedCount() const { return isolatedCount_; }

private:
    struct Entry
    {
        DataCentreId dataCentre;
        std::uint64_t hash = 0;
        EntryPath path = EntryPath::Unknown;
        Instant reportedAt;
        bool hasList = false; // the last update() knew the entry
        std::vector<VmId> relays;
    };

    // An eligible relay.
    struct Candidate
    {
        const VmId *vm = nullptr;
        std::uint64_t hash = 0;
    };

    // Candidates of the data centre, of its region, and of other regions.
    using Classes = std::array<std::vector<Candidate>, 3>;

    void setPath(Entry &entry, EntryPath path);
    [[nodiscard]] Classes classesFor(const DataCentreId &dataCentre) const;
    [[nodiscard]] static std::vector<VmId> choose(const VmId &vm, const Entry &entry,
                                                  const Classes &classes);

    Regions regions_;
    Duration reportLifetime_;
    std::map<VmId, Entry> entries_; // connected entries
    std::size_t isolatedCount_ = 0; // of entries_
    Instant expiredAt_; // last call of expire()
    bool hasChanged_ = false; // since the last update()
};

} // namespace fireflyroute::core

#endif

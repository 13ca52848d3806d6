// Reports of the entries, and the choice of their relays.

#include "core/paths/relay_directory.h"

#include "core/common/stable_hash.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::core {

void RelayDirectory::recordConnected(const VmId &entry, const DataCentreId &dataCentre)
{
    Entry &record = entries_[entry];
    record.dataCentre = dataCentre;
    record.hash = hashText(entry.value());
    record.hasList = false;
    hasChanged_ = true;
}

bool RelayDirectory::recordDisconnected(const VmId &entry)
{
    const auto found = entries_.find(entry);
    if (found == entries_.end())
        return false;
    const bool wasIsolated = found->second.path == EntryPath::Isolated;
    setPath(found->second, EntryPath::Unknown);
    entries_.erase(found);
    return wasIsolated;
}

bool RelayDirectory::recordProbe(const VmId &entry, bool isolated, Instant now)
{
    const auto found = entries_.find(entry);
    if (found == entries_.end())
        return false;
    const bool wasIsolated = found->second.path == EntryPath::Isolated;
    found->second.reportedAt = now;
    setPath(found->second, isolated ? EntryPath::Isolated : EntryPath::Connected);
    return isolated != wasIsolated;
}

std::vector<VmId> RelayDirectory::expire(Instant now)
{
    std::vector<VmId> lost;
    const bool wasPaused = now - std::exchange(expiredAt_, now) > reportLifetime_ / 2;
    for (auto &[vm, entry] : entries_) {
        if (wasPaused)
            entry.reportedAt = now;
        if (now - entry.reportedAt <= reportLifetime_)
            continue;
        if (entry.path == EntryPath::Isolated)
            lost.push_back(vm);
        setPath(entry, EntryPath::Unknown);
    }
    return lost;
}

void RelayDirectory::forgetLists()
{
    for (auto &[vm, entry] : entries_)
        entry.hasList = false;
    hasChanged_ = true;
}

std::vector<VmId> RelayDirectory::update()
{
    std::vector<VmId> changed;
    if (!std::exchange(hasChanged_, false))
        return changed;
    std::map<DataCentreId, Classes> classesByDataCentre;
    for (auto &[vm, entry] : entries_) {
        auto classes = classesByDataCentre.find(entry.dataCentre);
        if (classes == classesByDataCentre.end())
            classes = classesByDataCentre.emplace(entry.dataCentre, classesFor(entry.dataCentre))
                              .first;
        std::vector<VmId> relays = choose(vm, entry, classes->second);
        if (std::exchange(entry.hasList, true) && relays == entry.relays)
            continue;
        entry.relays = std::move(relays);
        changed.push_back(vm);
    }
    return changed;
}

std::vector<VmId> RelayDirectory::relaysOf(const VmId &entry) const
{
    const auto found = entries_.find(entry);
    return found == entries_.end() ? std::vector<VmId>() : found->second.relays;
}

EntryPath RelayDirectory::pathOf(const VmId &entry) const
{
    const auto found = entries_.find(entry);
    return found == entries_.end() ? EntryPath::Unknown : found->second.path;
}

void RelayDirectory::setPath(Entry &entry, EntryPath path)
{
    if (entry.path == path)
        return;
    if (entry.path == EntryPath::Isolated)
        --isolatedCount_;
    if (path == EntryPath::Isolated)
        ++isolatedCount_;
    // Only connected entries are relays.
    if (entry.path == EntryPath::Connected || path == EntryPath::Connected)
        hasChanged_ = true;
    entry.path = path;
}

RelayDirectory::Classes RelayDirectory::classesFor(const DataCentreId &dataCentre) const
{
    Classes classes;
    for (const auto &[vm, entry] : entries_) {
        if (entry.path != EntryPath::Connected)
            continue;
        std::size_t index = 2;
        if (entry.dataCentre == dataCentre)
            index = 0;
        else if (isSameRegion(regions_, entry.dataCentre, dataCentre))
            index = 1;
        classes[index].push_back({&vm, entry.hash});
    }
    return classes;
}

std::vector<VmId> RelayDirectory::choose(const VmId &vm, const Entry &entry, const Classes &classes)
{
    using Scored = std::pair<std::uint64_t, const VmId *>;
    const auto isBetter = [](const Scored &a, const Scored &b) {
        return a.first < b.first || (a.first == b.first && *a.second < *b.second);
    };
    std::vector<VmId> relays;
    std::vector<Scored> best; // of one class, sorted
    for (const std::vector<Candidate> &candidates : classes) {
        const std::size_t room = kMaxRelays - relays.size();
        if (room == 0)
            break;
        best.clear();
        for (const Candidate &candidate : candidates) {
            const Scored scored(mixBits(entry.hash ^ candidate.hash), candidate.vm);
            const bool isFull = best.size() == room;
            if ((isFull && !isBetter(scored, best.back())) || *candidate.vm == vm)
                continue;
            if (isFull)
                best.pop_back();
            best.insert(std::upper_bound(best.begin(), best.end(), scored, isBetter), scored);
        }
        for (const auto &[score, relay] : best)
            relays.push_back(*relay);
    }
    return relays;
}

} // namespace fireflyroute::core

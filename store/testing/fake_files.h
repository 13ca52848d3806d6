// In-memory files for tests. They simulate what remains after a crash, and fail or stop at a chosen
// call.
//
//   FakeFiles files;
//   files.state->stopAt = 7;            // the seventh change and all later ones fail
//   ... use files ...
//   files.state->crash(rng);            // keeps synced data and a random part of the unsynced data

#ifndef FIREFLYROUTE_STORE_TESTING_FAKE_FILES_H
#define FIREFLYROUTE_STORE_TESTING_FAKE_FILES_H

#include "store/files.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>

namespace fireflyroute::store {

// The disk that all copies of one FakeFiles share.
struct FakeFilesState
{
    struct File
    {
        std::string content;
        std::size_t syncedBytes = 0; // prefix of the content that is guaranteed to survive a crash
    };
    using Names = std::map<std::string, std::shared_ptr<File>>;

    static constexpr std::uint64_t kNever = std::numeric_limits<std::uint64_t>::max();

    // Counts a call that changes the disk. Returns false if the call must fail.
    bool countChange()
    {
        ++changes;
        return changes < stopAt && changes != failAt;
    }

    // Changes the names immediately. The change becomes durable with the next sync of the folder,
    // or earlier by chance in crash().
    void changeNames(const std::function<void(Names &)> &change)
    {
        change(names);
        unsyncedNameChanges.push_back(change);
    }

    // Applies a machine crash: synced bytes and names remain, and a random part of the unsynced
    // ones. In some cases one byte of the unsynced data is damaged.
    void crash(std::mt19937_64 &rng)
    {
        const std::size_t survivingChanges = rng() % (unsyncedNameChanges.size() + 1);
        for (std::size_t i = 0; i < survivingChanges; ++i)
            unsyncedNameChanges[i](durableNames);
        unsyncedNameChanges.clear();
        names = durableNames;
        for (auto &[name, file] : names) {
            const std::size_t unsynced = file->content.size() - file->syncedBytes;
            if (unsynced == 0)
                continue;
            file->content.resize(file->syncedBytes + rng() % (unsynced + 1));
            if (file->content.size() > file->syncedBytes && rng() % 2 == 0)
                file->content[file->syncedBytes] ^= 0x5A;
            file->syncedBytes = file->content.size();
        }
        stopAt = kNever;
        failAt = kNever;
    }

    Names names;
    Names durableNames;
    std::vector<std::function<void(Names &)>> unsyncedNameChanges; // in order
    std::uint64_t changes = 0;
    std::uint64_t stopAt = kNever; // number of the first change that fails, as do all later ones
    std::uint64_t failAt = kNever; // number of the only change that fails
};

class FakeFiles
{
public:
    struct Handle
    {
        std::shared_ptr<FakeFilesState::File> file;
    };

    Result<Handle> open(const Path &path) const
    {
        const auto found = state->names.find(path.string());
        if (found != state->names.end())
            return Handle{found->second};
        if (!state->countChange())
            return StoreFailure{StoreError::CannotOpen, path.string()};
        const auto file = std::make_shared<FakeFilesState::File>();
        state->changeNames([=](FakeFilesState::Names &names) { names[path.string()] = file; });
        return Handle{file};
    }

    Result<std::string> readAll(const Path &path) const
    {
        const auto found = state->names.find(path.string());
        if (found == state->names.end())
            return StoreFailure{StoreError::CannotOpen, path.string()};
        return found->second->content;
    }

    Result<void> append(Handle &handle, std::string_view bytes) const
    {
        const bool succeeds = state->countChange();
        // A failed write may have written a part of its bytes.
        handle.file->content += bytes.substr(0, succeeds ? bytes.size() : bytes.size() / 2);
        return resultOf(succeeds, StoreError::WriteFailed);
    }

    Result<void> sync(Handle &handle) const
    {
        const bool succeeds = state->countChange();
        if (succeeds)
            handle.file->syncedBytes = handle.file->content.size();
        return resultOf(succeeds, StoreError::SyncFailed);
    }

    Result<void> truncate(Handle &handle, std::uint64_t size) const
    {
        const bool succeeds = state->countChange();
        if (succeeds) {
            handle.file->content.resize(size);
            handle.file->syncedBytes = std::min<std::size_t>(handle.file->syncedBytes, size);
        }
        return resultOf(succeeds, StoreError::WriteFailed);
    }

    Result<void> rename(const Path &from, const Path &to) const
    {
        const bool succeeds = state->countChange();
        if (succeeds) {
            state->changeNames([=](FakeFilesState::Names &names) {
                const auto moved = names.extract(from.string());
                if (!moved.empty())
                    names[to.string()] = moved.mapped();
            });
        }
        return resultOf(succeeds, StoreError::WriteFailed);
    }

    Result<void> remove(const Path &path) const
    {
        if (!state->names.contains(path.string()))
            return core::outcome::success();
        const bool succeeds = state->countChange();
        if (succeeds) {
            state->changeNames([=](FakeFilesState::Names &names) { names.erase(path.string()); });
        }
        return resultOf(succeeds, StoreError::WriteFailed);
    }

    Result<std::vector<std::string>> list(const Path & /*folder*/) const
    {
        std::vector<std::string> names;
        for (const auto &[name, file] : state->names)
            names.push_back(Path(name).filename().string());
        return names;
    }

    Result<void> syncFolder(const Path & /*folder*/) const
    {
        const bool succeeds = state->countChange();
        if (succeeds) {
            state->durableNames = state->names;
            state->unsyncedNameChanges.clear();
        }
        return resultOf(succeeds, StoreError::SyncFailed);
    }

    static Result<void> lock(Handle & /*handle*/) { return core::outcome::success(); }

    std::shared_ptr<FakeFilesState> state = std::make_shared<FakeFilesState>();

private:
    static Result<void> resultOf(bool succeeds, StoreError error)
    {
        if (!succeeds)
            return StoreFailure{error, "injected"};
        return core::outcome::success();
    }
};

static_assert(Files<FakeFiles>);

} // namespace fireflyroute::store

#endif

// The journal: an append-only file of checksummed records. A record is durable once sync() has
// returned.
//
//   Result<Journal> journal = Journal::open(folder / "journal", [](JournalRecord record) { ... });
//   journal.value().append(JournalRecord{RecordType::Command, bytes});
//   journal.value().sync();
//
// Appended records stay in memory until sync() writes them as one frame. Opening the file truncates
// an incomplete frame at its end, which a crash during a sync leaves behind. Damage to synced data
// is a Corrupt failure. After a failed write or sync the content of the disk is unknown: every
// later call fails, and the process has to stop.

#ifndef FIREFLYROUTE_STORE_JOURNAL_H
#define FIREFLYROUTE_STORE_JOURNAL_H

#include "store/files.h"
#include "store/journal_format.h"

#include <random>
#include <utility>

namespace fireflyroute::store {

template<Files F>
class BasicJournal
{
public:
    using Handler = RecordHandler;

    // Opens or creates the file, locks it, and passes every intact record to `onRecord` in order.
    static Result<BasicJournal> open(const Path &path, const Handler &onRecord, F files = F())
    {
        BOOST_OUTCOME_TRY(handle, files.open(path));
        BOOST_OUTCOME_TRYV(files.lock(handle));
        BasicJournal journal(std::move(files), std::move(handle));
        BOOST_OUTCOME_TRYV(journal.recover(path, onRecord));
        BOOST_OUTCOME_TRYV(journal.files_.syncFolder(path.parent_path()));
        return journal;
    }

    // Reads a file that was completely synced and is no longer appended to. An incomplete frame at
    // its end is damage.
    static Result<void> replaySealed(const Path &path, const Handler &onRecord, F files = F())
    {
        BOOST_OUTCOME_TRY(bytes, files.readAll(path));
        BOOST_OUTCOME_TRY(scan, scanJournal(bytes, path.string(), onRecord));
        if (scan.intactBytes != bytes.size())
            return StoreFailure{StoreError::Corrupt,
                                path.string()
                                        + ": sealed segment is incomplete or damaged at its end"};
        return core::outcome::success();
    }

    // Appends a record, which is durable only after sync().
    Result<void> append(const JournalRecord &record)
    {
        BOOST_OUTCOME_TRYV(requireNotFailed());
        const std::string encoded = encodeRecord(record);
        if (encoded.size() > kMaxFrameBodyBytes)
            return StoreFailure{StoreError::WriteFailed, "record exceeds the frame limit"};
        if (unsynced_.size() + encoded.size() > kMaxFrameBodyBytes) {
            BOOST_OUTCOME_TRYV(sync());
        }
        unsynced_ += encoded;
        return core::outcome::success();
    }

    // Writes the appended records and waits until they are on disk.
    Result<void> sync()
    {
        BOOST_OUTCOME_TRYV(requireNotFailed());
        if (unsynced_.empty())
            return core::outcome::success();
        const std::string frame = encodeFrame(salt_, nextSequence_, unsynced_);
        failed_ = true;
        BOOST_OUTCOME_TRYV(files_.append(handle_, frame));
        BOOST_OUTCOME_TRYV(files_.sync(handle_));
        failed_ = false;
        unsynced_.clear();
        ++nextSequence_;
        syncedBytes_ += frame.size();
        return core::outcome::success();
    }

    // Size of the records that are not synced yet.
    [[nodiscard]] std::uint64_t unsyncedBytes() const { return unsynced_.size(); }

    // Size of the file, without records that are not synced yet.
    [[nodiscard]] std::uint64_t syncedBytes() const { return syncedBytes_; }

private:
    BasicJournal(F files, typename F::Handle handle)
        : files_(std::move(files))
        , handle_(std::move(handle))
    {}

    [[nodiscard]] Result<void> requireNotFailed() const
    {
        if (failed_)
            return StoreFailure{StoreError::SyncFailed, "an earlier journal write or sync failed"};
        return core::outcome::success();
    }

    Result<void> recover(const Path &path, const Handler &onRecord)
    {
        BOOST_OUTCOME_TRY(bytes, files_.readAll(path));
        BOOST_OUTCOME_TRY(scan, scanJournal(bytes, path.string(), onRecord));
        syncedBytes_ = scan.intactBytes;
        salt_ = scan.salt;
        nextSequence_ = scan.nextSequence;
        if (syncedBytes_ < bytes.size()) {
            BOOST_OUTCOME_TRYV(files_.truncate(handle_, syncedBytes_));
        }
        if (syncedBytes_ == 0) {
            salt_ = generateSalt();
            syncedBytes_ = kJournalHeaderBytes;
            BOOST_OUTCOME_TRYV(files_.append(handle_, encodeJournalHeader(salt_)));
        }
        return files_.sync(handle_);
    }

    static std::uint64_t generateSalt()
    {
        std::random_device device;
        return std::uniform_int_distribution<std::uint64_t>()(device);
    }

    F files_;
    typename F::Handle handle_;
    std::string unsynced_; // encoded records that are not written yet
    std::uint64_t salt_ = 0;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t syncedBytes_ = 0; // written and synced
    bool failed_ = false; // set permanently by a failed write or sync
};

using Journal = BasicJournal<PosixFiles>;

} // namespace fireflyroute::store

#endif

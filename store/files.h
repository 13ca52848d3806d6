// The file operations that the store uses: a concept, and its implementation for the real file
// system. Tests use an implementation that fails or stops at a chosen call
// (store/testing/fake_files.h).
//
//   template<Files F> class BasicJournal ...;
//   using Journal = BasicJournal<PosixFiles>;
//
// Written bytes are durable after sync(). Created, renamed and removed names are durable after
// syncFolder().

#ifndef FIREFLYROUTE_STORE_FILES_H
#define FIREFLYROUTE_STORE_FILES_H

#include "store/errors.h"

#include <concepts>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::store {

using Path = std::filesystem::path;

// Owns an open file. Closing it releases its lock.
class FileHandle
{
public:
    explicit FileHandle(int fd)
        : fd_(fd)
    {}
    FileHandle(FileHandle &&other) noexcept;
    FileHandle &operator=(FileHandle &&other) noexcept;
    FileHandle(const FileHandle &) = delete;
    FileHandle &operator=(const FileHandle &) = delete;
    ~FileHandle();

    [[nodiscard]] int fd() const { return fd_; }

private:
    int fd_; // -1 only after a move
};

// File operations that the store requires. Handles are movable and close their file.
template<typename T>
concept Files = std::copyable<T> && requires(T files, typename T::Handle &handle, const Path &path,
                                             std::string_view bytes, std::uint64_t size)
{
    {
        files.open(path) // creates the file if it is missing; writes append
        } -> std::same_as<Result<typename T::Handle>>;
    {
        files.readAll(path)
        } -> std::same_as<Result<std::string>>;
    {
        files.append(handle, bytes)
        } -> std::same_as<Result<void>>;
    {
        files.sync(handle)
        } -> std::same_as<Result<void>>;
    {
        files.truncate(handle, size)
        } -> std::same_as<Result<void>>;
    {
        files.lock(handle) // fails with Locked if another process holds the lock
        } -> std::same_as<Result<void>>;
    {
        files.rename(path, path)
        } -> std::same_as<Result<void>>;
    {
        files.remove(path) // a missing file is no error
        } -> std::same_as<Result<void>>;
    {
        files.list(path) // names of the files in a folder
        } -> std::same_as<Result<std::vector<std::string>>>;
    {
        files.syncFolder(path)
        } -> std::same_as<Result<void>>;
};

// The real file system.
class PosixFiles
{
public:
    using Handle = FileHandle;

    static Result<FileHandle> open(const Path &path);
    static Result<std::string> readAll(const Path &path);
    static Result<void> append(FileHandle &handle, std::string_view bytes);
    static Result<void> sync(FileHandle &handle);
    static Result<void> truncate(FileHandle &handle, std::uint64_t size);
    static Result<void> lock(FileHandle &handle);
    static Result<void> rename(const Path &from, const Path &to);
    static Result<void> remove(const Path &path);
    static Result<std::vector<std::string>> list(const Path &folder);
    static Result<void> syncFolder(const Path &folder);
};

static_assert(Files<PosixFiles>);

} // namespace fireflyroute::store

#endif

// File access with POSIX calls.

#include "store/files.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace fireflyroute::store {

namespace {

StoreFailure failure(StoreError code, const std::string &context)
{
    return StoreFailure{code, fmt::format("{}: {}", context, std::strerror(errno))};
}

} // namespace

FileHandle::FileHandle(FileHandle &&other) noexcept
    : fd_(std::exchange(other.fd_, -1))
{}

FileHandle &FileHandle::operator=(FileHandle &&other) noexcept
{
    std::swap(fd_, other.fd_);
    return *this;
}

FileHandle::~FileHandle()
{
    if (fd_ >= 0)
        ::close(fd_);
}

Result<FileHandle> PosixFiles::open(const Path &path)
{
    constexpr int kOwnerOnly = 0600;
    const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, kOwnerOnly);
    if (fd < 0)
        return failure(StoreError::CannotOpen, path.string());
    return FileHandle(fd);
}

Result<std::string> PosixFiles::readAll(const Path &path)
{
    const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return failure(StoreError::CannotOpen, path.string());
    const FileHandle handle(fd);
    std::string bytes;
    struct stat status = {};
    if (::fstat(fd, &status) == 0)
        bytes.reserve(static_cast<std::size_t>(status.st_size));
    std::array<char, 65536> chunk{};
    while (true) {
        const ssize_t count = ::read(fd, chunk.data(), chunk.size());
        if (count < 0)
            return failure(StoreError::CannotOpen, path.string());
        if (count == 0)
            return bytes;
        bytes.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

Result<void> PosixFiles::append(FileHandle &handle, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::write(handle.fd(), bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return failure(StoreError::WriteFailed, "write");
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return core::outcome::success();
}

Result<void> PosixFiles::sync(FileHandle &handle)
{
    if (::fdatasync(handle.fd()) != 0)
        return failure(StoreError::SyncFailed, "fdatasync");
    return core::outcome::success();
}

Result<void> PosixFiles::truncate(FileHandle &handle, std::uint64_t size)
{
    if (::ftruncate(handle.fd(), static_cast<off_t>(size)) != 0)
        return failure(StoreError::WriteFailed, "ftruncate");
    return core::outcome::success();
}

Result<void> PosixFiles::lock(FileHandle &handle)
{
    if (::flock(handle.fd(), LOCK_EX | LOCK_NB) != 0)
        return failure(StoreError::Locked, "flock");
    return core::outcome::success();
}

Result<void> PosixFiles::rename(const Path &from, const Path &to)
{
    if (::rename(from.c_str(), to.c_str()) != 0)
        return failure(StoreError::WriteFailed, from.string());
    return core::outcome::success();
}

Result<void> PosixFiles::remove(const Path &path)
{
    if (::unlink(path.c_str()) != 0 && errno != ENOENT)
        return failure(StoreError::WriteFailed, path.string());
    return core::outcome::success();
}

Result<std::vector<std::string>> PosixFiles::list(const Path &folder)
{
    std::vector<std::string> names;
    std::error_code problem;
    for (const auto &item : std::filesystem::directory_iterator(folder, problem))
        names.push_back(item.path().filename().string());
    if (problem)
        return StoreFailure{StoreError::CannotOpen, folder.string() + ": " + problem.message()};
    return names;
}

Result<void> PosixFiles::syncFolder(const Path &folder)
{
    const Path existing = folder.empty() ? Path(".") : folder;
    const int fd = ::open(existing.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return failure(StoreError::CannotOpen, folder.string());
    const FileHandle handle(fd);
    if (::fsync(fd) != 0)
        return failure(StoreError::SyncFailed, folder.string());
    return core::outcome::success();
}

} // namespace fireflyroute::store

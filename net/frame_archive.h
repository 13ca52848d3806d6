// Input archive for cereal that reads what cereal::PortableBinaryOutputArchive wrote, from bytes in
// memory. A length is checked against the bytes that are left before anything is allocated for it,
// so the memory that a frame takes is bounded by a multiple of its size.
//
//   FrameInputArchive archive(bytes);
//   archive(value);                     // throws cereal::Exception if the bytes are malformed

#ifndef FIREFLYROUTE_NET_FRAME_ARCHIVE_H
#define FIREFLYROUTE_NET_FRAME_ARCHIVE_H

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <memory>
#include <string_view>
#include <type_traits>

namespace fireflyroute::net {

class FrameInputArchive
    : public cereal::InputArchive<FrameInputArchive, cereal::AllowEmptyClassElision>
{
public:
    static_assert(std::endian::native == std::endian::little, "frames are little-endian");

    // `bytes` must outlive the archive.
    explicit FrameInputArchive(std::string_view bytes)
        : InputArchive(this)
        , bytes_(bytes)
    {
        std::uint8_t isLittleEndian = 0;
        read(&isLittleEndian, sizeof isLittleEndian);
        if (isLittleEndian != 1)
            throw cereal::Exception("unsupported byte order");
    }

    void read(void *data, std::size_t size)
    {
        requireBytes(size);
        if (size != 0)
            std::memcpy(data, bytes_.data(), size);
        bytes_.remove_prefix(size);
    }

    // Throws if fewer than `size` bytes are left.
    void requireBytes(std::uint64_t size) const
    {
        if (size > bytes_.size())
            throw cereal::Exception("length exceeds the frame");
    }

    [[nodiscard]] bool isAtEnd() const { return bytes_.empty(); }

    // Skips a number if it is what comes next. Returns whether it was.
    bool skipNumber(std::uint64_t number)
    {
        std::uint64_t next = 0;
        if (bytes_.size() < sizeof next)
            return false;
        std::memcpy(&next, bytes_.data(), sizeof next);
        if (next != number)
            return false;
        bytes_.remove_prefix(sizeof next);
        return true;
    }

private:
    std::string_view bytes_; // not read yet
};

} // namespace fireflyroute::net

// cereal finds these functions in its own namespace.
namespace cereal {

template<typename T>
std::enable_if_t<std::is_arithmetic_v<T>> load(fireflyroute::net::FrameInputArchive &archive,
                                               T &value)
{
    archive.read(std::addressof(value), sizeof value);
}

// A byte other than 0 and 1 is no valid representation of a bool.
inline void load(fireflyroute::net::FrameInputArchive &archive, bool &value)
{
    std::uint8_t byte = 0;
    archive.read(&byte, sizeof byte);
    value = byte != 0;
}

template<typename T>
void load(fireflyroute::net::FrameInputArchive &archive, NameValuePair<T> &pair)
{
    archive(pair.value);
}

// Every element of a container takes at least one byte.
template<typename T>
void load(fireflyroute::net::FrameInputArchive &archive, SizeTag<T> &tag)
{
    archive(tag.size);
    archive.requireBytes(tag.size);
}

template<typename T>
void load(fireflyroute::net::FrameInputArchive &archive, BinaryData<T> &data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

namespace traits::detail {

template<>
// NOLINTNEXTLINE(readability-identifier-naming): the library's name
struct get_output_from_input<fireflyroute::net::FrameInputArchive>
{
    using type = PortableBinaryOutputArchive;
};

} // namespace traits::detail

} // namespace cereal

#endif

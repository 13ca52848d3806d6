// Encoding and decoding of little-endian fields in the files of the store.
//
//   ByteWriter writer;
//   writer.u64(index);
//   writer.text(payload);
//
//   ByteReader reader(bytes);
//   const std::uint64_t index = reader.u64();
//   if (!reader.isValid()) ...           // input too short; affected fields read as 0 or ""

#ifndef FIREFLYROUTE_STORE_BYTES_H
#define FIREFLYROUTE_STORE_BYTES_H

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace fireflyroute::store {

class ByteWriter
{
public:
    void u8(std::uint8_t value) { number(value); }
    void u32(std::uint32_t value) { number(value); }
    void u64(std::uint64_t value) { number(value); }

    // Writes a 4-byte length and the bytes.
    void text(std::string_view value)
    {
        u32(static_cast<std::uint32_t>(value.size()));
        bytes_ += value;
    }

    [[nodiscard]] std::string release() { return std::move(bytes_); }

private:
    template<typename Number>
    void number(Number value)
    {
        boost::endian::native_to_little_inplace(value);
        bytes_.append(reinterpret_cast<const char *>(&value), sizeof value);
    }

    std::string bytes_;
};

class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : bytes_(bytes)
    {}

    std::uint8_t u8() { return number<std::uint8_t>(); }
    std::uint32_t u32() { return number<std::uint32_t>(); }
    std::uint64_t u64() { return number<std::uint64_t>(); }
    std::string_view text() { return readBytes(u32()); }

    [[nodiscard]] bool isValid() const { return valid_; }
    [[nodiscard]] bool isAtEnd() const { return bytes_.empty(); }

private:
    std::string_view readBytes(std::size_t size)
    {
        valid_ = valid_ && size <= bytes_.size();
        if (!valid_)
            return {};
        const std::string_view field = bytes_.substr(0, size);
        bytes_.remove_prefix(size);
        return field;
    }

    template<typename Number>
    Number number()
    {
        const std::string_view field = readBytes(sizeof(Number));
        if (!valid_)
            return 0;
        return boost::endian::endian_load<Number, sizeof(Number), boost::endian::order::little>(
                reinterpret_cast<const unsigned char *>(field.data()));
    }

    std::string_view bytes_; // remaining input
    bool valid_ = true; // stays false after the first field that exceeds the input
};

} // namespace fireflyroute::store

#endif

// Immutable bytes that all copies of an object share. A large value stands in a log, in pending
// writes and in messages to several receivers at once; it is in memory once.
//
//   SharedBytes payload(std::move(text));
//   entry.payload = payload;                  // no copy of the bytes
//   write(payload.value());

#ifndef FIREFLYROUTE_CORE_COMMON_SHARED_BYTES_H
#define FIREFLYROUTE_CORE_COMMON_SHARED_BYTES_H

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace fireflyroute::core {

class SharedBytes
{
public:
    SharedBytes() = default;

    // Implicit, so that it takes the place of a string. Unused capacity of `bytes` is released.
    SharedBytes(std::string bytes)
    {
        bytes.shrink_to_fit();
        if (!bytes.empty())
            bytes_ = std::make_shared<const std::string>(std::move(bytes));
    }
    SharedBytes(const char *bytes)
        : SharedBytes(std::string(bytes))
    {}

    [[nodiscard]] const std::string &value() const
    {
        static const std::string kEmpty;
        return bytes_ ? *bytes_ : kEmpty;
    }

    [[nodiscard]] std::size_t size() const { return value().size(); }
    [[nodiscard]] bool empty() const { return !bytes_; }

    friend bool operator==(const SharedBytes &left, const SharedBytes &right)
    {
        return left.bytes_ == right.bytes_ || left.value() == right.value();
    }

private:
    std::shared_ptr<const std::string> bytes_; // null if empty
};

} // namespace fireflyroute::core

#endif

// Structured log on standard output: one JSON line for each decision on a request or change of
// belief. Bounded by kind of line, and never blocking: lines above the bound, or that the reader of
// the output does not take in time, are left out and counted.
//
//   LogLine(log, LogKind::Request).add("id", id).add("status", 503).add("cause", "not_ready");
//
// The line is written when the LogLine goes out of scope. Keys of client accounts are never logged.

#ifndef FIREFLYROUTE_APP_STRUCTURED_LOG_H
#define FIREFLYROUTE_APP_STRUCTURED_LOG_H

#include "app/system_clock.h"
#include "core/enum_names.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace fireflyroute::app {

// What a line is about.
enum class LogKind {
    Process, // start, stop, reload
    Link, // a connection to another process of the site, lost or regained
    Group, // role and membership of the replicated group
    Config, // a configuration taken in or refused
    Rollout,
    Endpoint, // what is believed of an endpoint
    Request, // the outcome of a request
    Attempt, // a request that goes to another endpoint, or ends early
    Currency, // whether the entry may serve
};

} // namespace fireflyroute::app

namespace fireflyroute::core {

template<>
struct EnumNames<app::LogKind>
{
    static constexpr std::array table{
            EnumName{app::LogKind::Process, "process"},
            EnumName{app::LogKind::Link, "link"},
            EnumName{app::LogKind::Group, "group"},
            EnumName{app::LogKind::Config, "config"},
            EnumName{app::LogKind::Rollout, "rollout"},
            EnumName{app::LogKind::Endpoint, "endpoint"},
            EnumName{app::LogKind::Request, "request"},
            EnumName{app::LogKind::Attempt, "attempt"},
            EnumName{app::LogKind::Currency, "currency"},
    };
};

} // namespace fireflyroute::core

namespace fireflyroute::app {

class StructuredLog
{
public:
    explicit StructuredLog(std::string vm);

    // Whether a line of that kind may be written now; counts it if not. Any thread.
    [[nodiscard]] bool admit(LogKind kind);

    // Writes the line, with a note on those that were left out before. Any thread.
    void write(const std::string &line);

    [[nodiscard]] const std::string &vm() const { return vm_; }
    [[nodiscard]] std::uint64_t dropped() const { return droppedTotal_; }

private:
    static constexpr std::size_t kKinds = core::EnumNames<LogKind>::table.size();

    struct Bucket
    {
        double tokens = 0;
        core::Instant filledAt;
    };

    const std::string vm_;
    BootClock clock_;
    std::mutex mutex_; // guards the fields below
    std::array<Bucket, kKinds> buckets_;
    std::uint64_t dropped_ = 0; // since the last line
    std::uint64_t droppedTotal_ = 0;
};

class LogLine
{
public:
    LogLine(StructuredLog &log, LogKind kind);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    LogLine &add(std::string_view name, std::string_view value);
    LogLine &add(std::string_view name, std::int64_t value);

private:
    StructuredLog &log_;
    const bool admitted_;
    std::string text_; // an unfinished JSON object
};

} // namespace fireflyroute::app

#endif

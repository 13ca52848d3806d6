// Structured log on standard output: one JSON line for each decision on a request or change of
// state. Rate-limited by kind and non-blocking: lines above the limit, or that can't be written
// without blocking, are dropped and counted.
//
//   LogLine(log, LogKind::Request).add("id", id).add("status", 503).add("cause", "not_ready");
//
// The line is written when the LogLine is destroyed. Account keys are never logged.

#ifndef FIREFLYROUTE_APP_STRUCTURED_LOG_H
#define FIREFLYROUTE_APP_STRUCTURED_LOG_H

#include "app/system_clock.h"
#include "core/common/enum_names.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace fireflyroute::app {

// Subject of a line.
enum class LogKind {
    Process, // start, stop, reload
    Link, // connection to another process of the site lost or restored
    Group, // role and membership of the replicated group
    Config, // configuration accepted or refused
    Rollout,
    Evacuation, // orders to evacuate data centres, and their withdrawal
    Endpoint, // state of an endpoint according to the reports received by this process
    Request, // the outcome of a request
    Attempt, // a retry, an escalation or a failed attempt
    Freshness, // whether the entry's state is fresh enough to serve
    Quarantine, // crashes of endpoints, and the requests that are refused because of them
    Relay, // entries that lost or regained their path to the endpoints
    Connection, // connections that were closed, or requests rejected, for the sake of others
    Region, // requests that are refused because of a restriction to regions
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
            EnumName{app::LogKind::Evacuation, "evacuation"},
            EnumName{app::LogKind::Endpoint, "endpoint"},
            EnumName{app::LogKind::Request, "request"},
            EnumName{app::LogKind::Attempt, "attempt"},
            EnumName{app::LogKind::Freshness, "currency"},
            EnumName{app::LogKind::Quarantine, "quarantine"},
            EnumName{app::LogKind::Relay, "relay"},
            EnumName{app::LogKind::Connection, "connection"},
            EnumName{app::LogKind::Region, "region"},
    };
};

} // namespace fireflyroute::core

namespace fireflyroute::app {

class StructuredLog
{
public:
    explicit StructuredLog(std::string vm);

    // Whether a line of this kind may be written now. Counts it as dropped if not. Thread-safe.
    [[nodiscard]] bool admit(LogKind kind);

    // Writes the line, with the number of lines dropped since the last one. Thread-safe.
    void write(const std::string &line);

    [[nodiscard]] const std::string &vm() const { return vm_; }
    [[nodiscard]] std::uint64_t droppedTotal() const { return droppedTotal_; }

private:
    static constexpr std::size_t kKindCount = core::EnumNames<LogKind>::table.size();

    struct Bucket
    {
        double tokens = 0;
        core::Instant filledAt;
    };

    const std::string vm_;
    BootClock clock_;
    std::mutex mutex_; // guards the fields below
    std::array<Bucket, kKindCount> buckets_;
    std::uint64_t droppedSinceLastWrite_ = 0; // reported in the next written line
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
    std::string text_; // JSON object without its closing brace
};

} // namespace fireflyroute::app

#endif

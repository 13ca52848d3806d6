// Formatting, rate limits and non-blocking output of log lines.

#include "app/structured_log.h"

#include <algorithm>
#include <fcntl.h>
#include <fmt/format.h>
#include <iterator>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

namespace fireflyroute::app {

namespace {

// Rate and burst limit of each kind, in lines. A small VM serves some tens of requests per second;
// a line takes about 10 us of CPU time.
constexpr double kLinesPerSecond = 60;
constexpr double kBurstLines = 200;

std::string jsonString(std::string_view text)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return {buffer.GetString(), buffer.GetSize()};
}

} // namespace

StructuredLog::StructuredLog(std::string vm)
    : vm_(std::move(vm))
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    for (Bucket &bucket : buckets_)
        bucket = Bucket{kBurstLines, clock_.now()};
}

bool StructuredLog::admit(LogKind kind)
{
    const std::scoped_lock lock(mutex_);
    Bucket &bucket = buckets_[static_cast<std::size_t>(kind)];
    const core::Instant now = clock_.now();
    const std::chrono::duration<double> elapsed = now - bucket.filledAt;
    bucket.tokens = std::min(kBurstLines, bucket.tokens + elapsed.count() * kLinesPerSecond);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        ++droppedSinceLastWrite_;
        ++droppedTotal_;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void StructuredLog::write(const std::string &line)
{
    const std::scoped_lock lock(mutex_);
    const std::string completeLine =
            droppedSinceLastWrite_ == 0
                    ? line + "}\n"
                    : fmt::format("{},\"left_out\":{}}}\n", line, droppedSinceLastWrite_);
    const ssize_t written = ::write(STDOUT_FILENO, completeLine.data(), completeLine.size());
    if (written == static_cast<ssize_t>(completeLine.size())) {
        droppedSinceLastWrite_ = 0;
        return;
    }
    ++droppedSinceLastWrite_;
    ++droppedTotal_;
}

LogLine::LogLine(StructuredLog &log, LogKind kind)
    : log_(log)
    , admitted_(log.admit(kind))
{
    if (!admitted_)
        return;
    const auto now = BootClock().wallNow().time_since_epoch().count();
    text_ = fmt::format("{{\"ms\":{},\"vm\":\"{}\",\"kind\":\"{}\"", now, log.vm(),
                        core::nameOf(kind));
}

LogLine::~LogLine()
{
    if (admitted_)
        log_.write(text_);
}

LogLine &LogLine::add(std::string_view name, std::string_view value)
{
    if (admitted_)
        fmt::format_to(std::back_inserter(text_), ",\"{}\":{}", name, jsonString(value));
    return *this;
}

LogLine &LogLine::add(std::string_view name, std::int64_t value)
{
    if (admitted_)
        fmt::format_to(std::back_inserter(text_), ",\"{}\":{}", name, value);
    return *this;
}

} // namespace fireflyroute::app

// What one entry has seen of the endpoints: requests that it has outstanding there, load that they
// reported, how fast they answer, and failures. It tells which ones may be used and how busy each
// is.
//
//   monitor.sent(id, unreadTokens);
//   monitor.began(id, unreadTokens);               // the first part of an answer came
//   monitor.ended(id);
//   if (monitor.isUsable(id, now)) ...
//
// Other entries' work is taken in as the leader tells it (core/work_exchange.h).
//
// After a failure an endpoint rests; the rest doubles with each failure in a row. When it ends, one
// request at a time tries the endpoint again.

#ifndef FIREFLYROUTE_CORE_ENDPOINT_MONITOR_H
#define FIREFLYROUTE_CORE_ENDPOINT_MONITOR_H

#include "core/clock.h"
#include "core/site_calls.h"
#include "core/site_messages.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

struct MonitorPolicy
{
    Duration firstRest = std::chrono::milliseconds(400);
    Duration longestRest = std::chrono::seconds(5);
    Duration loadLifetime = std::chrono::milliseconds(1500); // a report counts for so long
    Duration othersLifetime = std::chrono::milliseconds(700); // of what other entries sent
    double failureLimit = 0.5; // share of recent answers that failed, above which it rests
    double memory = 0.15; // weight of the newest answer in averages
};

class EndpointMonitor
{
public:
    explicit EndpointMonitor(const MonitorPolicy &policy = {})
        : policy_(policy)
    {}

    // A request was sent, of whose prompt the endpoint has so many tokens to read.
    void sent(const EndpointId &id, std::uint32_t unreadTokens);

    // It has read them, or the request ended before that.
    void began(const EndpointId &id, std::uint32_t unreadTokens);

    // The request ended there, in whatever way.
    void ended(const EndpointId &id);

    // What this entry has sent, and what all others have.
    [[nodiscard]] WorkReport ownWork() const;
    void heardOthers(const WorkReport &report, Instant now);

    // Prompt tokens that it has yet to read, from all entries.
    [[nodiscard]] double unreadTokens(const EndpointId &id, Instant now) const;

    // The first part of a sound answer came.
    void answered(const EndpointId &id, Instant now);

    // It took so many times as long as others for the same work.
    void paced(const EndpointId &id, double ratio);

    void reported(const EndpointId &id, const EndpointLoad &load, Instant now);

    // A request failed there. Severe: the endpoint did not even accept it.
    void failed(const EndpointId &id, bool severe, Instant now);

    // It refused a connection, as nothing runs there: the other entries are told.
    void refused(const EndpointId &id) { refusals_.push_back(id); }
    [[nodiscard]] std::vector<EndpointId> takeRefusals();

    // Other entries were refused.
    void heardRefusals(const std::vector<EndpointId> &endpoints, Instant now);

    // Another endpoint answered at its address: it has ended, or lives on under another id.
    void wasReplaced(const EndpointId &id, Instant now);

    // It said that it is full.
    void wasFull(const EndpointId &id, Instant now);

    void forget(const EndpointId &id) { seen_.erase(id); }

    [[nodiscard]] bool isUsable(const EndpointId &id, Instant now) const;

    // Requests that it is believed to work on or keep waiting.
    [[nodiscard]] double busy(const EndpointId &id, Instant now) const;

    // How many times as long as others it takes, 1 for the usual.
    [[nodiscard]] double slowness(const EndpointId &id) const;

    [[nodiscard]] std::optional<Instant> lastGood(const EndpointId &id) const;

private:
    struct Seen
    {
        std::uint32_t outstanding = 0; // of this entry
        std::uint64_t unreadTokens = 0; // of those requests
        EndpointLoad load; // as last reported
        std::uint32_t outstandingThen = 0; // of this entry when the load was reported
        std::optional<Instant> loadAt;
        double slowness = 1;
        double failures = 0; // moving share of answers that failed
        unsigned failedInRow = 0;
        std::optional<Instant> restsUntil;
        std::optional<Instant> fullUntil;
        std::optional<Instant> lastGood;
    };

    void rest(Seen &seen, Instant now) const;

    [[nodiscard]] const EndpointWork *othersAt(const EndpointId &id, Instant now) const;

    MonitorPolicy policy_;
    std::unordered_map<EndpointId, Seen> seen_;
    std::unordered_map<EndpointId, EndpointWork> others_; // as last told
    std::optional<Instant> othersAt_; // when it was told
    std::vector<EndpointId> refusals_; // not told yet
};

} // namespace fireflyroute::core

#endif

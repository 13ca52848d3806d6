// The directory of endpoints on one entry. It keeps the newest announcement of each endpoint,
// excludes endpoints that have stopped announcing, and indexes the endpoints by the versions and
// services that they serve.
//
//   Directory directory(std::chrono::seconds(3));
//   directory.announce(announcement, std::chrono::milliseconds(0), now);
//   std::shared_ptr<const DirectoryView> view = directory.view(now);
//
// An announcement arrives either directly from the endpoint (age zero) or through another entry,
// together with the age that it had there. Processes exchange ages and never points in time,
// because their clocks are not synchronised.

#ifndef FIREFLYROUTE_CORE_ENDPOINTS_DIRECTORY_H
#define FIREFLYROUTE_CORE_ENDPOINTS_DIRECTORY_H

#include "core/endpoints/endpoint.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

// How an announcement changed the directory.
enum class DirectoryChange { None, Refreshed, Joined, Changed, Leaving };

template<>
struct EnumNames<DirectoryChange>
{
    static constexpr std::array table{
            EnumName{DirectoryChange::None, "none"},
            EnumName{DirectoryChange::Refreshed, "refreshed"},
            EnumName{DirectoryChange::Joined, "joined"},
            EnumName{DirectoryChange::Changed, "changed"},
            EnumName{DirectoryChange::Leaving, "leaving"},
    };
};

// Whether an endpoint may receive requests and, if not, why. Failed: no announcement within the
// expiry, and the endpoint did not announce that it is leaving.
enum class EndpointLiveness { Unknown, Starting, Ready, Leaving, Failed };

template<>
struct EnumNames<EndpointLiveness>
{
    static constexpr std::array table{
            EnumName{EndpointLiveness::Unknown, "unknown"},
            EnumName{EndpointLiveness::Starting, "starting"},
            EnumName{EndpointLiveness::Ready, "ready"},
            EnumName{EndpointLiveness::Leaving, "leaving"},
            EnumName{EndpointLiveness::Failed, "dead"},
    };
};

// An immutable snapshot of the endpoints that may receive new requests, indexed by what they serve.
struct DirectoryView
{
    std::vector<EndpointState> endpoints;
    // Indexes into `endpoints`.
    std::unordered_map<ModelVersion, std::vector<std::uint32_t>> byVersion;
    std::unordered_map<ServiceName, std::vector<std::uint32_t>> byService;
};

class Directory
{
public:
    // An endpoint without an announcement for `expiry` receives no new requests.
    explicit Directory(Duration expiry)
        : expiry_(expiry)
    {}

    // Applies an announcement that was made `age` ago. An announcement that is not newer than the
    // recorded one is ignored.
    DirectoryChange announce(const EndpointAnnouncement &announcement, Duration age, Instant now);

    // Removes expired endpoints and returns their ids.
    std::vector<EndpointId> expire(Instant now);

    // All endpoints that are ready and have announced within the expiry.
    [[nodiscard]] std::shared_ptr<const DirectoryView> view(Instant now) const;

    // The newest announcement of an endpoint; null for an unknown endpoint.
    [[nodiscard]] const EndpointState *find(const EndpointId &id) const;

    [[nodiscard]] EndpointLiveness liveness(const EndpointId &id, Instant now) const;

    // All recorded endpoints, ready or not, for exchange with other entries and for operators.
    [[nodiscard]] std::vector<EndpointState> all() const;

private:
    Duration expiry_;
    std::map<EndpointId, EndpointState> endpoints_; // incarnation and sequence never decrease
};

} // namespace fireflyroute::core

#endif

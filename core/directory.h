// The directory of endpoints on one entry. It keeps the newest announcement of each endpoint,
// leaves out those that stopped announcing, and answers which ones serve a version or a service.
//
//   Directory directory(std::chrono::seconds(3));
//   directory.announce(announcement, std::chrono::milliseconds(0), now);
//   std::shared_ptr<const DirectoryView> view = directory.view(now);
//
// An announcement may arrive from the endpoint itself (age zero) or by way of another entry, with
// the age that it had there. Ages travel between processes, points in time never do.

#ifndef FIREFLYROUTE_CORE_DIRECTORY_H
#define FIREFLYROUTE_CORE_DIRECTORY_H

#include "core/endpoint.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

// What an announcement changed in the directory.
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

// Whether an endpoint may get work and, if not, why. Dead: silent for the expiry without having
// said that it leaves.
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

// An immutable picture of the endpoints that may get new work, with indexes by what they serve.
struct DirectoryView
{
    std::vector<EndpointState> endpoints;
    // Positions in `endpoints`.
    std::unordered_map<ModelVersion, std::vector<std::uint32_t>> byVersion;
    std::unordered_map<ServiceName, std::vector<std::uint32_t>> byService;
};

class Directory
{
public:
    // An endpoint that was not heard of for `expiry` gets no new work.
    explicit Directory(Duration expiry)
        : expiry_(expiry)
    {}

    // Takes in an announcement that was made `age` ago. Older ones than the known are ignored.
    DirectoryChange announce(const EndpointAnnouncement &announcement, Duration age, Instant now);

    // Forgets endpoints that are long expired and returns those it forgot.
    std::vector<EndpointId> expire(Instant now);

    // All endpoints that are ready and heard of within the expiry.
    [[nodiscard]] std::shared_ptr<const DirectoryView> view(Instant now) const;

    // The newest announcement of an endpoint; null when it is not known.
    [[nodiscard]] const EndpointState *find(const EndpointId &id) const;

    [[nodiscard]] EndpointLiveness liveness(const EndpointId &id, Instant now) const;

    // Every known endpoint, ready or not, for exchange with other entries and for operators.
    [[nodiscard]] std::vector<EndpointState> all() const;

private:
    Duration expiry_;
    std::map<EndpointId, EndpointState> endpoints_; // incarnation and sequence never go back
};

} // namespace fireflyroute::core

#endif

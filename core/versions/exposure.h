// Limits the exposure of new sessions to a version in roll-out. The stable hash in version choice
// only approximates a share; the gate enforces it as an upper limit, also over short runs and with
// an uneven hash.
//
//   ExposureGate gate;                                // one per traffic thread
//   if (gate.admits(version, limitPermille))
//       ...                                           // version choice may assign the version
//   gate.record(plan.steps[0].version);               // every new session or single request
//
// Each gate enforces the limit over its own assignments, so the limit also holds for the sum over
// all threads and entries without communication between gates. A version that a caller or an
// exception requests by name is neither counted nor limited; sessions keep the version that they
// were assigned.

#ifndef FIREFLYROUTE_CORE_VERSIONS_EXPOSURE_H
#define FIREFLYROUTE_CORE_VERSIONS_EXPOSURE_H

#include "core/common/types.h"

#include <cstdint>
#include <unordered_map>

namespace fireflyroute::core {

// Numbers of assignments within one model.
struct ExposureCounts
{
    std::uint64_t total = 0; // assignments of the model since the version was first offered
    std::uint64_t exposed = 0; // assignments to the version; never more than total
};

class ExposureGate
{
public:
    // Whether one more assignment keeps the share of the version within `limitPermille` of its
    // model.
    [[nodiscard]] bool admits(const ModelVersion &version, std::uint32_t limitPermille) const;

    // Starts counting for a version in roll-out; no effect if it is counted already.
    void watch(const ModelVersion &version);

    // Stops counting when the roll-out has ended.
    void unwatch(const ModelVersion &version);

    // Counts an assignment to a version of a watched model.
    void record(const ModelVersion &assigned);

    [[nodiscard]] ExposureCounts counts(const ModelVersion &version) const;

private:
    std::unordered_map<ModelVersion, ExposureCounts> watched_;
};

} // namespace fireflyroute::core

#endif

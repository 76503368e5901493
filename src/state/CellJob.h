#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Outcome.h"
#include "state/JobSpec.h"
#include "state/RequestTime.h"
#include "table/Row.h"

namespace hickoryknot {

enum class CellJobPhase : uint8_t {
    Queued, // Waits for a zone.
    Assigned, // Belongs to `zone` at `epoch`.
    Cancelling, // Belongs to `zone` until the zone reports that no task runs any more.
    Ended, // The outcome is final; kept for the retention time.
};

/// A job without a home zone, as the cell records it.
struct CellJob {
    uint32_t number { 0 };
    JobSpec spec {};
    RequestId request {};
    CellJobPhase phase { CellJobPhase::Queued };
    ZoneId zone {};
    /// Incremented by each assignment to a zone; 0 before the first.
    uint64_t epoch { 0 };
    /// The rule that the zone has confirmed for this job.
    CutOffRule cutOff { CutOffRule::Stop };
    UnixMs submittedMs { 0 };
    /// When `phase` and `zone` last changed.
    UnixMs sinceMs { 0 };
    /// Code of the last change: submitted, assigned, zone_lease_expired, or the reason that the zone reported.
    std::string reason {};
    /// Zones that reported that they can never run the job.
    std::vector<ZoneId> refusedBy {};
    Outcome outcome {};
};

} // namespace hickoryknot

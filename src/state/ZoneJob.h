#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Outcome.h"
#include "state/JobNumber.h"
#include "state/JobSpec.h"
#include "state/TaskRecord.h"
#include "table/Row.h"

namespace hickoryknot {

enum class ZoneJobPhase : uint8_t {
    Active,
    Cancelling, // Waits for its assigned tasks to stop, then ends as cancelled.
    Superseded, // Reassigned by the cell: waits for its assigned tasks to stop, then is removed.
    Returned, // No task runs or will run here at this epoch; waits for the cell to record that.
    Ended, // The outcome is final.
};

/// A job in a zone, as the zone records it.
struct ZoneJob {
    JobNumber number {};
    JobSpec spec {};
    /// Set only for jobs with this home zone.
    RequestId request {};
    /// Epoch of the cell's assignment; 0 for jobs with this home zone.
    uint64_t epoch { 0 };
    ZoneJobPhase phase { ZoneJobPhase::Active };
    CutOffRule cutOff { CutOffRule::Stop };
    UnixMs submittedMs { 0 };
    UnixMs sinceMs { 0 };
    /// Empty once the job has ended.
    std::vector<TaskRecord> tasks {};
    /// Number of `tasks` in each phase.
    uint32_t queued { 0 };
    uint32_t assigned { 0 };
    uint32_t finished { 0 };
    uint32_t failed { 0 };
    /// A task that is not repeatable may have run without a known result: the job ends as unknown.
    bool isOutcomeUnknown { false };
    /// No worker of the zone is large enough. Meaningful in phase Returned.
    bool canNeverRun { false };
    /// Code of the last change of `phase`.
    std::string reason {};
    Outcome outcome {};

    bool isOpen() const { return phase != ZoneJobPhase::Ended && phase != ZoneJobPhase::Returned; }
};

} // namespace hickoryknot

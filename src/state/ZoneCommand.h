#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/Error.h"
#include "core/Resources.h"
#include "state/JobNumber.h"
#include "state/JobSpec.h"
#include "state/RequestCommands.h"
#include "state/TaskRecord.h"
#include "table/Row.h"

namespace hickoryknot {

/// Records a job with this home zone. Result: JobAccepted, RequestKnown or an error.
struct SubmitZoneJob {
    RequestId request {};
    uint64_t contentHash { 0 };
    JobSpec spec {};
    UnixMs atMs { 0 };
};

/// Admits jobs that the cell assigned to this zone. Skips jobs already recorded at this epoch or a higher one, and jobs
/// that are still open here at an older epoch. Skipped as a whole if the table version is older than the recorded
/// cut-off version, because the cell already relies on the newer rules. Result: BatchDone.
struct AdmitCellJobs {
    struct Entry {
        uint32_t job { 0 };
        uint64_t epoch { 0 };
        CutOffRule cutOff { CutOffRule::Stop };
        JobSpec spec {};
        /// When the cell recorded the job.
        UnixMs submittedMs { 0 };
    };
    std::vector<Entry> entries {};
    /// Table version of the cut-off rules.
    uint64_t tableVersion { 0 };
    /// CellState::revision() of the proposer's replica. Skipped as a whole if the zone has removed jobs at a newer
    /// revision, because an older one may still show them as assigned here.
    uint64_t cellRevision { 0 };
    UnixMs atMs { 0 };
};

/// Workers that joined, restarted or changed capacity. Older incarnations than recorded are skipped. Tasks assigned to
/// an earlier incarnation end as Lost. Result: BatchDone with incarnations.
struct RecordWorkers {
    struct Entry {
        WorkerId worker {};
        uint64_t incarnation { 0 };
        RackId rack {};
        Resources capacity {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// Removes workers whose heartbeat timeout has long passed; those with assigned tasks are skipped. Result: CommandDone.
struct ForgetWorkers {
    std::vector<WorkerId> workers {};
};

/// Assigns queued tasks to workers. A task is skipped if it is not queued or it does not fit into the recorded
/// free capacity of the worker. The queued tasks of a gang are placed all together or not at all. Result: BatchDone
/// with assignment epochs.
struct PlaceTasks {
    struct Entry {
        JobNumber job {};
        uint32_t task { 0 };
        WorkerId worker {};
        uint64_t incarnation { 0 };
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// Ends assignments. Entries of another assignment epoch are skipped. Result: BatchDone.
struct EndTasks {
    struct Entry {
        JobNumber job {};
        uint32_t task { 0 };
        uint64_t epoch { 0 };
        TaskResult result { TaskResult::Finished };
        int32_t exitCode { 0 };
        Duration runTime { 0 };
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// Cancels any number of jobs with one log entry. Result: BatchDone.
struct CancelZoneJobs {
    std::vector<JobNumber> jobs {};
    UnixMs atMs { 0 };
};

/// The cell has reassigned these cell jobs: drops their queued tasks, waits until the assigned ones have stopped, then
/// removes the jobs. Result: BatchDone.
struct SupersedeJobs {
    std::vector<uint32_t> jobs {};
    uint64_t cellRevision { 0 };
    UnixMs atMs { 0 };
};

/// Stops placing tasks of these cell jobs so that they can be returned to the cell. Skips jobs with assigned tasks and
/// jobs that are not repeatable and may have run. Result: BatchDone.
struct ReturnJobs {
    struct Entry {
        uint32_t job { 0 };
        /// No worker of the zone is large enough.
        bool canNeverRun { false };
        std::string reason {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// Ends jobs with this home zone that can never run; jobs with a task that may have started are skipped. Result:
/// BatchDone.
struct RefuseJobs {
    struct Entry {
        JobNumber job {};
        std::string reason {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// Removes ended and returned cell jobs once the cell has recorded the result. Result: CommandDone.
struct ForgetCellJobs {
    std::vector<uint32_t> jobs {};
    uint64_t cellRevision { 0 };
};

/// Sets the cut-off rules of the zone's jobs as of one table version. Result: CommandDone.
struct RecordCutOff {
    struct Entry {
        JobNumber job {};
        CutOffRule cutOff { CutOffRule::Stop };
    };
    std::vector<Entry> entries {};
    uint64_t tableVersion { 0 };
};

using ZoneCommand = std::variant<SubmitZoneJob, AdmitCellJobs, RecordWorkers, ForgetWorkers, PlaceTasks, EndTasks,
    CancelZoneJobs, SupersedeJobs, ReturnJobs, RefuseJobs, ForgetCellJobs, RecordCutOff, StartRequest, EndRequest,
    AbandonRequests, Expire>;

std::string encodeZoneCommand(const ZoneCommand&);
/// Corrupt: not an encoded command.
Expected<ZoneCommand> decodeZoneCommand(std::string_view);

} // namespace hickoryknot

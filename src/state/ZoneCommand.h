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

/// Takes over cell jobs that the cell assigned to this zone. Jobs already known at this epoch or a higher one are
/// skipped, and jobs whose older epoch still runs here. Skipped as a whole if the rules come from a table older than
/// the recorded cut-off version, because the cell already counts on the newer rules. Result: BatchDone.
struct AdmitCellJobs {
    struct Entry {
        uint32_t job { 0 };
        uint64_t epoch { 0 };
        CutOffRule cutOff { CutOffRule::Stop };
        JobSpec spec {};
        /// When the cell recorded it.
        UnixMs submittedMs { 0 };
    };
    std::vector<Entry> entries {};
    /// Version of the table that gave the cut-off rules.
    uint64_t tableVersion { 0 };
    /// CellState::revision() of the proposer's copy. Skipped as a whole if the zone has forgotten jobs by a newer copy,
    /// because an older one may still show them as assigned here.
    uint64_t cellRevision { 0 };
    UnixMs atMs { 0 };
};

/// Workers that joined, restarted or changed size. Older incarnations than recorded are skipped. Tasks assigned to an
/// earlier incarnation end as Lost. Result: BatchDone with incarnations.
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

/// Workers silent for so long that nobody waits for them; those with tasks are skipped. Result: CommandDone.
struct ForgetWorkers {
    std::vector<WorkerId> workers {};
};

/// Assigns queued tasks to workers. A task is skipped if it is not queued or the worker has no room by its recorded
/// capacity; of a gang, all queued tasks are placed together or all skipped. Result: BatchDone with assignment epochs.
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

/// Cancels many jobs with one record. Result: BatchDone.
struct CancelZoneJobs {
    std::vector<JobNumber> jobs {};
    UnixMs atMs { 0 };
};

/// The cell has moved these cell jobs on: drop their queued tasks, stop the others, then forget them. Result:
/// BatchDone.
struct SupersedeJobs {
    std::vector<uint32_t> jobs {};
    uint64_t cellRevision { 0 };
    UnixMs atMs { 0 };
};

/// Stops trying to run these cell jobs so that they can be given back to the cell. Jobs with assigned tasks are
/// skipped, and jobs that are not repeatable and may have run. Result: BatchDone.
struct GiveBackJobs {
    struct Entry {
        uint32_t job { 0 };
        /// No worker of the zone can ever run it.
        bool canNeverRun { false };
        std::string reason {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// Ends jobs with this home zone that can never run; jobs of which a task has started are skipped. Result: BatchDone.
struct RefuseJobs {
    struct Entry {
        JobNumber job {};
        std::string reason {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// Forgets ended, given back and superseded cell jobs that the cell has recorded too. Result: CommandDone.
struct ForgetCellJobs {
    std::vector<uint32_t> jobs {};
    uint64_t cellRevision { 0 };
};

/// The cut-off rules that hold for the zone's jobs from now on, as of one table version. Result: CommandDone.
struct RecordCutOff {
    struct Entry {
        JobNumber job {};
        CutOffRule cutOff { CutOffRule::Stop };
    };
    std::vector<Entry> entries {};
    uint64_t tableVersion { 0 };
};

using ZoneCommand = std::variant<SubmitZoneJob, AdmitCellJobs, RecordWorkers, ForgetWorkers, PlaceTasks, EndTasks,
    CancelZoneJobs, SupersedeJobs, GiveBackJobs, RefuseJobs, ForgetCellJobs, RecordCutOff, StartRequest, EndRequest,
    AbandonRequests, Expire>;

std::string encodeZoneCommand(const ZoneCommand&);
/// Corrupt: not an encoded command.
Expected<ZoneCommand> decodeZoneCommand(std::string_view);

} // namespace hickoryknot

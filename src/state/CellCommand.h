#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/Error.h"
#include "core/Outcome.h"
#include "state/JobSpec.h"
#include "state/RequestCommands.h"
#include "state/RequestTime.h"
#include "table/TableChange.h"

namespace hickoryknot {

/// Changes the table. Result: TableChangeResult.
struct SetTable {
    TableChange change {};
    UnixMs atMs { 0 };
};

/// A host joined, restarted or has a new store. Result: CommandDone, or Conflict if the store is the same and the
/// incarnation is older than the recorded one.
struct RecordHost {
    HostId host {};
    ZoneId zone {};
    uint64_t storeId { 0 };
    uint64_t incarnation { 0 };
    UnixMs atMs { 0 };
};

/// Removes hosts whose heartbeat timeout has long passed. Result: CommandDone.
struct ForgetHosts {
    std::vector<HostId> hosts {};
};

/// Sets the voters of a zone's consensus group, by compare-and-set on the generation. Result: CommandDone or Conflict.
struct SetZoneGroup {
    ZoneId zone {};
    uint64_t expectedGeneration { 0 };
    std::vector<HostId> members {};
    /// The state of the old group is lost and the zone starts empty: increments the zone's epoch. Its jobs end as
    /// unknown if they are not repeatable; the others are queued again.
    bool startsEmpty { false };
    UnixMs atMs { 0 };
};

/// Records a job without a home zone. Result: JobAccepted, RequestKnown or an error.
struct SubmitCellJob {
    RequestId request {};
    uint64_t contentHash { 0 };
    JobSpec spec {};
    UnixMs atMs { 0 };
};

/// Assigns queued jobs to zones and increments their epochs. Jobs that are not queued at `epoch` are skipped. Result:
/// BatchDone.
struct AssignCellJobs {
    struct Entry {
        uint32_t job { 0 };
        uint64_t epoch { 0 };
        ZoneId zone {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// A zone returns jobs that have no running task there and will start none at this epoch. Result: BatchDone.
struct ReturnCellJobs {
    struct Entry {
        uint32_t job { 0 };
        uint64_t epoch { 0 };
        /// No worker of the zone is large enough. Once all zones report this, the job ends as refused.
        bool canNeverRun { false };
        std::string reason {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// The zone's lease has expired, including the allowed clock drift: increments the zone's epoch. Jobs with cutOff=stop
/// are queued again, or end as unknown if they are not repeatable. Jobs with cutOff=keep are skipped. Result:
/// BatchDone, or Conflict if the zone is at another epoch, so that a duplicate command cannot release jobs under a new
/// lease.
struct ReleaseZone {
    ZoneId zone {};
    uint64_t epoch { 0 };
    UnixMs atMs { 0 };
};

/// Records the outcomes of jobs that a zone reports. Entries of another epoch are skipped. Result: BatchDone.
struct FinishCellJobs {
    struct Entry {
        uint32_t job { 0 };
        uint64_t epoch { 0 };
        Outcome outcome {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// Cancels any number of jobs with one log entry. Result: BatchDone.
struct CancelCellJobs {
    std::vector<uint32_t> jobs {};
    UnixMs atMs { 0 };
};

/// The zone has recorded the cut-off rules of this table version for all its jobs, so jobs whose rule changed to stop
/// may be released from now on. Result: CommandDone.
struct ConfirmCutOff {
    ZoneId zone {};
    uint64_t tableVersion { 0 };
};

using CellCommand
    = std::variant<SetTable, RecordHost, ForgetHosts, SetZoneGroup, SubmitCellJob, AssignCellJobs, ReturnCellJobs,
        ReleaseZone, FinishCellJobs, CancelCellJobs, ConfirmCutOff, StartRequest, EndRequest, AbandonRequests, Expire>;

std::string encodeCellCommand(const CellCommand&);
/// Corrupt: not an encoded command.
Expected<CellCommand> decodeCellCommand(std::string_view);

} // namespace hickoryknot

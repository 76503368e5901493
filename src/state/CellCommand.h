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

/// A host joined, restarted or came with another disk. Result: CommandDone, or Conflict if the incarnation of the same
/// disk is older than the recorded one.
struct RecordHost {
    HostId host {};
    ZoneId zone {};
    uint64_t storeId { 0 };
    uint64_t incarnation { 0 };
    UnixMs atMs { 0 };
};

/// Hosts silent for so long that nobody waits for them. Result: CommandDone.
struct ForgetHosts {
    std::vector<HostId> hosts {};
};

/// Names the voters of a zone's group, by compare-and-set on the generation. Result: CommandDone or Conflict.
struct SetZoneGroup {
    ZoneId zone {};
    uint64_t expectedGeneration { 0 };
    std::vector<HostId> members {};
    /// The old group's state is lost and the zone starts empty: raises the zone's epoch. Jobs that it had end as
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

/// Names a zone for queued jobs; each gets epoch + 1. Jobs that are not queued at `epoch` are skipped. Result:
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

/// A zone gives jobs back that do not run there (any more) and never will at this epoch. Result: BatchDone.
struct ReturnCellJobs {
    struct Entry {
        uint32_t job { 0 };
        uint64_t epoch { 0 };
        /// No worker of the zone can ever run it; once all zones say so the job ends as refused.
        bool canNeverRun { false };
        std::string reason {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// The zone's lease with its drift has passed: raises the zone's epoch; jobs there with cutOff=stop are queued again;
/// jobs that are not repeatable end as unknown. Jobs with cutOff=keep are skipped. Result: BatchDone, or Conflict if
/// the zone's epoch is another one, so that a repeated command cannot take jobs away under a new lease.
struct ReleaseZone {
    ZoneId zone {};
    uint64_t epoch { 0 };
    UnixMs atMs { 0 };
};

/// A zone reports the outcome of jobs. Entries of another epoch are skipped. Result: BatchDone.
struct FinishCellJobs {
    struct Entry {
        uint32_t job { 0 };
        uint64_t epoch { 0 };
        Outcome outcome {};
    };
    std::vector<Entry> entries {};
    UnixMs atMs { 0 };
};

/// Cancels many jobs with one record. Result: BatchDone.
struct CancelCellJobs {
    std::vector<uint32_t> jobs {};
    UnixMs atMs { 0 };
};

/// The zone has recorded the cut-off rules of this table version for all its jobs, so that jobs may be released by the
/// stricter rule. Result: CommandDone.
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

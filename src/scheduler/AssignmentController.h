#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "lease/HeldLease.h"
#include "lease/LeaseTable.h"
#include "membership/WorkerRegistry.h"
#include "protocol/WorkerHeartbeat.h"
#include "protocol/WorkerInstructions.h"
#include "scheduler/TrackedAssignment.h"
#include "state/CellState.h"
#include "state/ZoneState.h"

namespace hickoryknot {

/// Upper bounds on the end of task leases.
struct LeaseLimits {
    /// Start of the latest round in which a majority acknowledged this leader; no other leader existed at that time.
    TimePoint confirmedAt { TimePoint::min() };
    /// End of the zone's lease from the cell.
    TimePoint zoneLeaseEnd { TimePoint::min() };
};

/// Tracks the assignments of a zone on its leader: processes worker heartbeats, grants task leases, sends the start and
/// stop commands of committed assignments, and detects which assignments have ended. Soft state of one leadership.
class AssignmentController {
public:
    AssignmentController(const LeaseTimes&, const ZoneState&, const CellState&);

    /// Takes over all recorded assignments. An earlier leader may have renewed the lease of each up to `now`.
    void becomeLeader(uint64_t term, TimePoint now);
    void clear();

    /// Updates the tracked assignments of one job from the zone state.
    void sync(JobNumber, TimePoint now);
    void syncAll(TimePoint now);
    /// Asks the worker to end a task early.
    void requestStop(uint64_t epoch, bool checkpoint, TaskResult, TimePoint now);
    /// The worker's registry entry must be up to date.
    void onHeartbeat(const WorkerHeartbeat&);
    WorkerInstructions buildInstructions(const TrackedWorker&, const LeaseLimits&, TimePoint now);
    bool hasInstructions(const WorkerId&) const;
    std::vector<WorkerId> drainWorkersToNotify();

    /// Ends assignments whose leases have expired, as far as that is safe, and those whose start command was never sent
    /// to a worker that is now silent, leaving or restarted.
    void endExpiredAssignments(const WorkerRegistry&, TimePoint now);
    /// Ends to propose. Each is returned once, and again after requeueEnd().
    std::vector<EndTasks::Entry> drainPendingEnds();
    /// The end was not committed and must be proposed again.
    void requeueEnd(const EndTasks::Entry&);

    const TrackedAssignment* find(uint64_t epoch) const;

private:
    // Per-worker state of this leadership.
    struct Session {
        uint64_t sequence { 0 };
        std::vector<uint64_t> assignments;
        std::vector<TaskId> acknowledged;
        std::vector<StopTask> orphans;
        std::optional<TimePoint> orphanStopsSentAt;
        bool hasInstructions { false };
    };

    void track(uint64_t epoch, const TaskKey&, bool isInherited, TimePoint now);
    void untrack(uint64_t epoch);
    void notifyWorker(const WorkerId&);
    void queueEnd(uint64_t epoch, TrackedAssignment&, TaskResult, int exitCode, Duration runTime);
    void processRunningTasks(const WorkerHeartbeat&, Session&);
    void processEndedTasks(const WorkerHeartbeat&, Session&);
    void processUnlistedTasks(const WorkerHeartbeat&, Session&);
    void cancelUnsentStarts(const WorkerRegistry&);
    void handleExpiredLease(uint64_t epoch, TrackedAssignment&, TimePoint now);
    bool isStartable(const TrackedAssignment&, const TrackedWorker&) const;
    Duration leaseFor(const ZoneJob&, const LeaseLimits&, TimePoint now) const;
    bool isRenewable(const TrackedAssignment&, const ZoneJob&, TimePoint now) const;
    void addStart(
        uint64_t epoch, TrackedAssignment&, const ZoneJob&, Duration lease, TimePoint now, WorkerInstructions&);
    void addStop(uint64_t epoch, TrackedAssignment&, TimePoint now, WorkerInstructions&);
    void addOrphanStops(Session&, TimePoint now, WorkerInstructions&);
    TaskId taskId(const TrackedAssignment&) const;

    LeaseTimes m_times;
    LeaseCalculator m_leaseCalculator;
    const ZoneState& m_state;
    const CellState& m_cell;
    uint64_t m_term { 0 };
    LeaseTable m_leases;
    std::unordered_map<uint64_t, TrackedAssignment> m_assignments;
    std::map<JobNumber, std::vector<uint64_t>> m_assignmentsOfJob;
    std::map<WorkerId, Session> m_sessions;
    std::vector<WorkerId> m_workersToNotify;
    // Assignments whose start command waits for the next response to the worker.
    std::vector<uint64_t> m_unsent;
    std::vector<EndTasks::Entry> m_pendingEnds;
};

/// True if the cell has ended the job, queued it again or assigned it anew since the zone admitted it, according to
/// this copy of the cell state. A copy that lags behind may return false.
bool isSupersededInCell(const ZoneJob&, const CellState&);

} // namespace hickoryknot

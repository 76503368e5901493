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
#include "scheduler/AssignmentView.h"
#include "state/CellState.h"
#include "state/ZoneState.h"

namespace hickoryknot {

/// How far leases may reach.
struct LeaseLimits {
    /// Latest moment at which this leader was surely the only one.
    TimePoint confirmedAt { TimePoint::min() };
    /// End of the zone's lease from the cell.
    TimePoint zoneLeaseEnd { TimePoint::min() };
};

/// The zone leader's dealings with workers: follows their reports, grants leases, hands out start and stop commands of
/// committed assignments, and finds out which assignments have ended. Soft state of one leadership.
class WorkerDesk {
public:
    WorkerDesk(const LeaseTimes&, const ZoneState&, const CellState&);

    /// Takes over all assignments; each may have been renewed by an earlier leader up to `now`.
    void begin(uint64_t term, TimePoint now);
    void clear();

    /// Brings the assignments of one job in step with the state.
    void sync(JobNumber, TimePoint now);
    void syncAll(TimePoint now);
    /// Asks the worker to end a task early.
    void requestStop(uint64_t epoch, bool checkpoint, TaskResult, TimePoint now);
    /// Takes a worker's report. The worker's registry entry must be up to date.
    void report(const WorkerHeartbeat&);
    WorkerInstructions answer(const TrackedWorker&, const LeaseLimits&, TimePoint now);
    bool hasNews(const WorkerId&) const;
    std::vector<WorkerId> takeWoken();

    /// Ends assignments whose leases have run out, as far as that is safe, and those that were never handed out to a
    /// worker that is silent, leaving or restarted.
    void checkLeases(const WorkerRegistry&, TimePoint now);
    /// Ends to record, each once until proposalFailed().
    std::vector<EndTasks::Entry> takeEndings();
    /// The end was not recorded and is due again.
    void endingFailed(const EndTasks::Entry&);

    const AssignmentView* find(uint64_t epoch) const;

private:
    // What the leader remembers per worker.
    struct Session {
        uint64_t sequence { 0 };
        std::vector<uint64_t> assignments;
        std::vector<TaskId> acknowledged;
        std::vector<StopTask> strays;
        std::optional<TimePoint> straysToldAt;
        bool hasNews { false };
    };

    void adopt(uint64_t epoch, const TaskKey&, bool isInherited, TimePoint now);
    void remove(uint64_t epoch);
    void wake(const WorkerId&);
    void end(uint64_t epoch, AssignmentView&, TaskResult, int exitCode, Duration runTime);
    void reportRunning(const WorkerHeartbeat&, Session&);
    void reportEnded(const WorkerHeartbeat&, Session&);
    void judgeUnlisted(const WorkerHeartbeat&, Session&);
    void recallUnsent(const WorkerRegistry&);
    void checkExpired(uint64_t epoch, AssignmentView&, TimePoint now);
    bool isStartable(const AssignmentView&, const TrackedWorker&) const;
    Duration leaseFor(const ZoneJob&, const LeaseLimits&, TimePoint now) const;
    bool isRenewable(const AssignmentView&, const ZoneJob&, TimePoint now) const;
    void addStart(uint64_t epoch, AssignmentView&, const ZoneJob&, Duration lease, TimePoint now, WorkerInstructions&);
    void addStop(uint64_t epoch, AssignmentView&, TimePoint now, WorkerInstructions&);
    void addStrays(Session&, TimePoint now, WorkerInstructions&);
    TaskId taskId(const AssignmentView&) const;

    LeaseTimes m_times;
    LeaseBound m_bound;
    const ZoneState& m_state;
    const CellState& m_cell;
    uint64_t m_term { 0 };
    LeaseTable m_leases;
    std::unordered_map<uint64_t, AssignmentView> m_views;
    std::map<JobNumber, std::vector<uint64_t>> m_viewsOfJob;
    std::map<WorkerId, Session> m_sessions;
    std::vector<WorkerId> m_woken;
    // Assignments whose start command waits for the worker's next answer.
    std::vector<uint64_t> m_unsent;
    std::vector<EndTasks::Entry> m_endings;
};

/// True if the cell has given the job to someone else since the zone admitted it, as far as this copy of the cell's
/// state knows. A copy that lags behind says no.
bool isMovedOn(const ZoneJob&, const CellState&);

} // namespace hickoryknot

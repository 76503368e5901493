#pragma once

#include <vector>

#include "placement/EngineState.h"
#include "placement/FirstFitChooser.h"
#include "placement/PackChooser.h"
#include "placement/PlacementEngine.h"
#include "placement/PreemptionPlanner.h"
#include "placement/RefusalCheck.h"
#include "placement/ReservationController.h"
#include "placement/SpreadChooser.h"
#include "placement/TaskAllocator.h"
#include "placement/TaskEndHandler.h"

namespace hickoryknot {

/// Executes the steps of a decide() call in order: requeue jobs whose delay is over, refuse unschedulable jobs, stop
/// incomplete gangs, start ready reservations, schedule the rows, preempt for urgent rows. The work per call is
/// bounded.
class SchedulingCycle {
public:
    SchedulingCycle(EngineState&, TaskAllocator&, ReservationController&, TaskEndHandler&);

    void run(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>& decisions);

private:
    enum class Attempt : uint8_t {
        Started,
        Blocked,
        // A work limit of this call is reached.
        LimitReached,
    };

    // Steps before the rows.
    void requeueAfterDelay();
    void refuseUnschedulableJobs();
    void stopIncompleteGangs();
    void startReservedTasks();
    void collectProbeWorkers();

    // Scheduling of rows.
    void scheduleRows(size_t maxDecisions);
    RowIndex selectRow() const;
    /// Submission order of the row's first job; used when `ordersRows` is off.
    uint64_t lowestSequence(const RowRecord&) const;
    bool hasPrecedence(const RowRecord&, const RowRecord&) const;
    Attempt tryRow(RowIndex);
    Attempt tryQueue(QueueIndex, RowRecord&);
    bool tryJob(JobIndex);
    bool tryBackfill(JobIndex);
    /// True if maxRunning and the quota allow this many more tasks of the job; otherwise records the wait cause.
    bool checkLimits(JobRecord&, uint32_t tasks);
    bool tryTask(JobIndex);
    bool tryGang(JobIndex);
    WorkerChoice chooseWorker(const JobRecord&);
    WorkerChoice chooseProbeWorker(const JobRecord&);
    /// Finds capacity that is reserved for other jobs or for accelerator tasks but isn't needed yet.
    WorkerChoice chooseBackfillWorker(const JobRecord&);
    WorkerChoice chooseAcceleratorWorker(const JobRecord&) const;

    // Overdue rows.
    bool isOverdue(const RowRecord&) const;
    bool tryOverdueRows();
    JobIndex oldestEligibleJob(const RowRecord&);

    // Preemption.
    void preemptForUrgentRows();
    bool hasUrgentDelayElapsed(const JobRecord&) const;
    void preemptForJob(JobIndex, uint32_t& scansLeft);
    bool canPreemptForGang(JobIndex);
    bool preemptForTask(JobIndex);
    /// Tries a gang again after `gangRetryDelay`.
    void scheduleRetry(JobIndex);

    // Output.
    void place(JobIndex, const WorkerChoice&);
    void preempt(RunIndex, const char* reason);
    void emitPlacement(RunIndex);

    const WorkerChooser& chooserFor(const JobRecord&) const;

    EngineState& m_state;
    TaskAllocator& m_allocator;
    ReservationController& m_reservations;
    TaskEndHandler& m_taskEndHandler;
    PreemptionPlanner m_preemptionPlanner;
    RefusalCheck m_refusalCheck;
    PackChooser m_packChooser;
    SpreadChooser m_spreadChooser;
    FirstFitChooser m_firstFitChooser;

    // State of the current call.
    TimePoint m_now;
    uint32_t m_minuteOfDay { 0 };
    std::vector<Decision>* m_decisions { nullptr };
    uint32_t m_queueVisitsLeft { 0 };
    uint32_t m_extraSearchesLeft { 0 };
    uint32_t m_backfillAttemptsLeft { 0 };
    bool m_mayTryOverdue { true };

    // State kept between calls.
    uint32_t m_lastMinuteOfDay { UINT32_MAX };
    TimePoint m_nextOverdueReservation;

    // Scratch buffers, reused to avoid allocations.
    std::vector<WorkerIndex> m_probeWorkers;
    std::vector<RunIndex> m_started;
};

} // namespace hickoryknot

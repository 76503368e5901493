#pragma once

#include "placement/EngineState.h"
#include "placement/TaskAllocator.h"

namespace hickoryknot {

/// Plans reservations and starts their tasks. A reservation is made for all tasks or not at all, so that two gangs
/// don't deadlock on partial reservations. Gangs and overdue tasks together reserve at most half of the cell, unless a
/// single one needs more.
class ReservationController {
public:
    ReservationController(EngineState& state, TaskAllocator& allocator)
        : m_state(state)
        , m_allocator(allocator)
    {
    }

    /// Workers on which all queued tasks of the job fit now; empty if they don't fit. Valid until the next call.
    const std::vector<WorkerAllocation>& findAllocations(const JobRecord&);
    /// Reserves capacity for `tasks` tasks where it becomes free first. Returns false if there is none or the limit is
    /// reached.
    bool reserve(JobIndex, ReservationKind, uint32_t tasks, TimePoint now);
    /// Reserves capacity for one urgent task on the worker. Returns false if no reservation slot is free.
    bool reserveUrgent(JobIndex, WorkerIndex, TimePoint now);
    /// Starts the tasks of ready reservations, appending them to `started`, and replans late reservations.
    void startAndReplan(TimePoint now, uint32_t minuteOfDay, std::vector<RunIndex>& started);
    /// A worker with reserved capacity on which the job is expected to end before the reservation needs it.
    WorkerChoice chooseBackfillWorker(const JobRecord&, TimePoint now) const;

    /// Cancels the reservation of a job, if any.
    void cancelForJob(JobIndex, TimePoint now);
    /// Cancels the reservation of a job that has fewer queued tasks than reserved ones.
    void cancelIfExcess(JobIndex, TimePoint now);
    /// Cancels the reservations that include the worker.
    void cancelForWorker(WorkerIndex, TimePoint now);
    const Reservation* find(JobIndex) const;
    /// The urgent gang with reserved capacity for only some of its tasks; noIndex if there is none.
    JobIndex partlyReservedGang() const;
    bool isReady(const Reservation&) const;

private:
    /// Number of additional tasks that fit on a worker from a point in time on.
    struct FutureCapacity {
        TimePoint at;
        WorkerIndex worker { noIndex };
        uint32_t tasks { 0 };
    };

    Reservation* findUnused(ReservationKind);
    bool isWithinLimit(const Resources& more) const;
    bool plan(Reservation&, const JobRecord&, uint32_t tasks, TimePoint now);
    void collectFutureCapacity(const Resources& need, uint32_t tasks, TimePoint now);
    void collectFutureCapacityOn(WorkerIndex, const Resources& need, uint32_t tasks, TimePoint now);
    void addAllocation(Reservation&, WorkerIndex, uint32_t tasks);
    void releaseAllocations(Reservation&);
    /// Backfilled tasks must end by this time.
    static TimePoint backfillDeadlineOf(const Reservation&);
    void updateBackfillDeadline(WorkerIndex);
    void cancel(Reservation&, TimePoint now);
    bool mayStart(const Reservation&, uint32_t minuteOfDay) const;
    bool startIfReady(Reservation&, TimePoint now, std::vector<RunIndex>& started);
    void startAllTasks(Reservation&, TimePoint now, std::vector<RunIndex>& started);
    void startUrgentTasks(Reservation&, TimePoint now, std::vector<RunIndex>& started);
    RunIndex startTask(JobIndex, WorkerIndex, const char* reason, TimePoint now);

    EngineState& m_state;
    TaskAllocator& m_allocator;
    uint64_t m_checkedReleaseGeneration { 0 };

    // Scratch buffers, reused to avoid allocations.
    std::vector<WorkerAllocation> m_allocations;
    std::vector<FutureCapacity> m_futureCapacities;
    std::vector<RunIndex> m_runs;
};

} // namespace hickoryknot

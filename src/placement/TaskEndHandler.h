#pragma once

#include "placement/EngineState.h"
#include "placement/PlacementEngine.h"
#include "placement/ReservationController.h"
#include "placement/TaskAllocator.h"

namespace hickoryknot {

/// Handles the end of a task: whether and when it is retried, and how the failure scores of its job and worker change.
class TaskEndHandler {
public:
    TaskEndHandler(EngineState& state, TaskAllocator& allocator, ReservationController& reservations)
        : m_state(state)
        , m_allocator(allocator)
        , m_reservations(reservations)
    {
    }

    void handle(JobIndex, uint32_t task, TaskEndReason, Duration runTime, TimePoint now);
    /// Queues an incomplete gang again once none of its tasks is running.
    void requeueStoppedGang(JobIndex, TimePoint now);
    /// Removes the queued tasks of a job without counting them as failed.
    void dropQueued(JobIndex, TimePoint now);

private:
    void handleFinish(JobIndex, uint32_t task, WorkerIndex, Duration runTime);
    void handleFailure(JobIndex, uint32_t task, WorkerIndex, TimePoint startedAt, TimePoint now);
    void updateFailureScores(JobIndex, WorkerIndex, TimePoint startedAt, TimePoint now);
    void recordRunTime(JobRecord&, Duration runTime);
    void startProbation(WorkerIndex, TimePoint now);
    void endProbationIfRecovered(WorkerIndex);
    void requeueTask(JobIndex, uint32_t task, bool mayHaveRun);

    EngineState& m_state;
    TaskAllocator& m_allocator;
    ReservationController& m_reservations;
};

} // namespace hickoryknot

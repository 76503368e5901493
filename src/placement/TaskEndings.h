#pragma once

#include "placement/EngineState.h"
#include "placement/PlacementEngine.h"
#include "placement/ReservationBook.h"
#include "placement/TaskLedger.h"

namespace hickoryknot {

/// Decides what follows from the end of a task: tried again or not, when, and whom the failure speaks against.
class TaskEndings {
public:
    TaskEndings(EngineState& state, TaskLedger& ledger, ReservationBook& reservations)
        : m_state(state)
        , m_ledger(ledger)
        , m_reservations(reservations)
    {
    }

    void end(JobIndex, uint32_t task, TaskEndReason, Duration runTime, TimePoint now);
    /// Queues a broken gang again once none of its tasks runs.
    void restartIfEmpty(JobIndex, TimePoint now);
    /// Drops the queued tasks of a job without counting them.
    void dropQueued(JobIndex, TimePoint now);

private:
    void finish(JobIndex, uint32_t task, WorkerIndex, Duration runTime);
    void fail(JobIndex, uint32_t task, WorkerIndex, TimePoint startedAt, TimePoint now);
    void blame(JobIndex, WorkerIndex, TimePoint startedAt, TimePoint now);
    void learn(JobRecord&, Duration runTime);
    void startProbation(WorkerIndex, TimePoint now);
    void endProbationIfProven(WorkerIndex);
    void queueAgain(JobIndex, uint32_t task, bool mayHaveRun);

    EngineState& m_state;
    TaskLedger& m_ledger;
    ReservationBook& m_reservations;
};

} // namespace hickoryknot

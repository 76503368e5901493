#pragma once

#include "placement/Choice.h"
#include "placement/EngineState.h"
#include "placement/PlacementEngine.h"

namespace hickoryknot {

/// Starts and ends tasks in the books of workers, rows, teams and jobs, and keeps the queues in line with them.
class TaskLedger {
public:
    explicit TaskLedger(EngineState& state)
        : m_state(state)
    {
    }

    /// Takes a queued task off the job's stack and books it on the worker.
    void start(JobIndex, const Choice&, TimePoint now);
    /// Books a given queued task on a worker as running since `startedAt`.
    void adopt(JobIndex, uint32_t task, WorkerIndex, TimePoint startedAt);
    /// Frees what the run holds; the task is neither queued nor counted as ended by this.
    void release(RunIndex);

    /// Puts the job into or out of its queue, or sets a timer, by what it may do now.
    void requeue(JobIndex, TimePoint now);
    /// Recounts the tasks per rack after a worker changed its rack.
    void moveRack(WorkerIndex, RackIndex from);
    /// Notes that a worker has more free capacity or takes tasks again.
    void noteGain(WorkerIndex);

private:
    int64_t rankOf(const JobRecord&) const;
    void book(JobIndex, uint32_t task, Run, TimePoint startedAt);
    void link(RunIndex);
    void unlink(RunIndex);

    EngineState& m_state;
};

} // namespace hickoryknot

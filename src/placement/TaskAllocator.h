#pragma once

#include "placement/EngineState.h"
#include "placement/PlacementEngine.h"
#include "placement/WorkerChoice.h"

namespace hickoryknot {

/// Allocates and releases capacity for tasks, updates the counters of workers, rows, teams and jobs, and keeps the
/// queues consistent with them.
class TaskAllocator {
public:
    explicit TaskAllocator(EngineState& state)
        : m_state(state)
    {
    }

    /// Starts the job's next queued task on the chosen worker.
    void start(JobIndex, const WorkerChoice&, TimePoint now);
    /// Allocates capacity for the given task, which has been running on the worker since `startedAt`.
    void adopt(JobIndex, uint32_t task, WorkerIndex, TimePoint startedAt);
    /// Releases the capacity of the run. Neither queues the task nor counts it as ended.
    void release(RunIndex);

    /// Adds the job to its queue, removes it or sets a timer, depending on its state.
    void requeue(JobIndex, TimePoint now);
    /// Updates the per-rack task counts after a worker changed its rack.
    void updateRack(WorkerIndex, RackIndex from);
    /// Unblocks shapes after a worker got more free capacity or accepts tasks again.
    void markCapacityGain(WorkerIndex);

private:
    int64_t rankOf(const JobRecord&) const;
    void allocate(JobIndex, uint32_t task, Run, TimePoint startedAt);
    void link(RunIndex);
    void unlink(RunIndex);

    EngineState& m_state;
};

} // namespace hickoryknot

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/WorkerRegistry.h"
#include "scheduler/Placer.h"
#include "state/ZoneState.h"
#include "table/Table.h"

namespace hickoryknot {

/// Decisions of the placement engine, in terms of the zone state.
struct PlacementDecisions {
    struct Refusal {
        JobNumber job;
        std::string reason;
    };
    /// Sorted by job, so that the tasks of a gang stay together.
    std::vector<PlaceTasks::Entry> place;
    /// Assignment epochs of tasks to preempt.
    std::vector<uint64_t> preempt;
    std::vector<Refusal> refuse;
};

/// Keeps a placement engine synchronised with the committed zone state. The engine is soft state and is created anew
/// with each leadership and whenever the zone is cut off from the cell or connected again.
class PlacementSync {
public:
    using PlacerFactory = std::function<std::unique_ptr<Placer>()>;

    PlacementSync(const ZoneState&, PlacerFactory);

    /// Creates a new engine and loads the table, the workers and all open jobs. Without `canPlaceStopRows` queued tasks
    /// of rows with cutOff=stop are left out.
    void reset(const Table&, const WorkerRegistry&, bool canPlaceStopRows, TimePoint now);
    void clear();
    bool isActive() const { return m_placer != nullptr; }

    /// Loads the newest table version if the engine does not have it yet.
    void updateTable(const Table&, TimePoint now);
    /// Updates a recorded worker in the engine. Silent and leaving workers get no new tasks.
    void updateWorker(const TrackedWorker&, TimePoint now);
    void removeWorker(const WorkerId&);

    /// Updates one job in the engine from the zone state.
    void sync(JobNumber, TimePoint now);
    void syncAll(TimePoint now);
    /// Records how an assignment ends; reported to the engine when the end is committed.
    void recordEnd(uint64_t epoch, TaskResult, Duration runTime);
    void onUsageReport(const TaskKey&, const Resources& used, TimePoint now);

    PlacementDecisions decide(TimePoint now, WallTime wall, size_t maxDecisions);
    /// The placement was not committed; the engine may place the task again.
    void onPlacementFailed(const PlaceTasks::Entry&, TimePoint now);

    std::string explain(JobNumber, TimePoint now, WallTime wall) const;
    Resources freeCapacity() const;

private:
    // State of a task in the engine.
    enum class EngineTaskState : uint8_t {
        Queued,
        Pending, // Placed by the engine, not committed yet.
        Running,
        Ended,
    };
    struct TrackedJob {
        JobHandle handle;
        std::vector<EngineTaskState> tasks;
        // Epoch of each running task.
        std::vector<uint64_t> epochs;
        // Worker of each pending task.
        std::map<uint32_t, WorkerId> pending;
        bool isCancelled { false };
        bool isRefused { false };
    };
    struct PendingEnd {
        TaskEndReason end { TaskEndReason::Lost };
        Duration runTime { 0 };
    };

    void setRows(const Table&);
    void upsertWorker(const WorkerRecord&, bool isLeaving, TimePoint now);
    TrackedJob* submitJob(const ZoneJob&, TimePoint now);
    void syncTask(TrackedJob&, const ZoneJob&, uint32_t task, TimePoint now);
    void adoptInEngine(TrackedJob&, const TaskRecord&, uint32_t task, TimePoint now);
    void place(const Decision&, JobNumber, PlacementDecisions&);
    void collectPreemptions(PlacementDecisions&);
    void endInEngine(TrackedJob&, uint32_t task, TimePoint now);
    void removeJob(JobNumber, TimePoint now);
    bool isWithheld(const ZoneJob&) const;
    const JobNumber* findByHandle(JobHandle) const;
    TimePoint toLocalTime(UnixMs, TimePoint now) const;

    const ZoneState& m_state;
    PlacerFactory m_factory;
    std::unique_ptr<Placer> m_placer;
    const Table* m_table { nullptr };
    uint64_t m_tableVersion { 0 };
    std::set<RowName> m_removedRows; // Rows of open jobs that the engine knows but the table does not.
    bool m_canPlaceStopRows { true };
    std::map<JobNumber, TrackedJob> m_jobs;
    std::unordered_map<uint64_t, JobNumber> m_jobOfHandle;
    std::unordered_map<uint64_t, PendingEnd> m_pendingEnds;
    std::vector<PlacementDecisions::Refusal> m_refusals;
    // Tasks to preempt whose assignment is not committed yet.
    std::vector<TaskKey> m_deferredPreemptions;
    // Reused between calls to avoid allocations.
    std::vector<Decision> m_decisions;
};

} // namespace hickoryknot

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/WorkerRegistry.h"
#include "scheduler/Placer.h"
#include "state/ZoneState.h"
#include "table/Table.h"

namespace hickoryknot {

/// What the placement engine wants, in terms of the zone's state.
struct MirrorDecisions {
    struct Refusal {
        JobNumber job;
        std::string sentence;
    };
    /// Sorted by job, so that a gang stays together.
    std::vector<PlaceTasks::Entry> place;
    /// Assignment epochs of tasks to stop for other work.
    std::vector<uint64_t> preempt;
    std::vector<Refusal> refuse;
};

/// Keeps a placement engine in step with the committed zone state. The engine is soft state and is made anew with each
/// leadership and whenever the zone is cut off or comes back.
class EngineMirror {
public:
    using PlacerFactory = std::function<std::unique_ptr<Placer>()>;

    EngineMirror(const ZoneState&, PlacerFactory);

    /// Makes a new engine and tells it the table, the workers and all open jobs. Without `mayPlaceStopRows` queued
    /// tasks of cutOff=stop rows are left out.
    void reset(const Table&, const WorkerRegistry&, bool mayPlaceStopRows, TimePoint now);
    void clear();
    bool isActive() const { return m_placer != nullptr; }

    /// Puts the newest table version in force if the engine does not have it yet.
    void updateTable(const Table&, TimePoint now);
    /// Tells the engine of a worker that is recorded; silent and leaving ones get no new tasks.
    void updateWorker(const TrackedWorker&, TimePoint now);
    void removeWorker(const WorkerId&);

    /// Brings one job in step with the state.
    void sync(JobNumber, TimePoint now);
    void syncAll(TimePoint now);
    /// Remembers how an assignment ends, for the moment at which its end is committed.
    void noteEnd(uint64_t epoch, TaskResult, Duration runTime);
    void onUsageReport(const TaskKey&, const Resources& used, TimePoint now);

    MirrorDecisions decide(TimePoint now, WallTime wall, size_t maxDecisions);
    /// A placement was not recorded: the engine may decide again.
    void placementFailed(const PlaceTasks::Entry&, TimePoint now);

    std::string explain(JobNumber, TimePoint now, WallTime wall) const;
    Resources freeCapacity() const;

private:
    // What the engine believes of a task.
    enum class TaskView : uint8_t {
        Queued,
        Pending, // Placed by the engine, not committed yet.
        Running,
        Over,
    };
    struct JobView {
        JobHandle handle;
        std::vector<TaskView> tasks;
        // Epoch of each running task.
        std::vector<uint64_t> epochs;
        // Worker of each pending task.
        std::map<uint32_t, WorkerId> pending;
        bool isCancelled { false };
        bool isRefused { false };
    };
    struct NotedEnd {
        TaskEndReason end { TaskEndReason::Lost };
        Duration runTime { 0 };
    };

    void announce(const WorkerRecord&, bool isLeaving, TimePoint now);
    JobView* enroll(const ZoneJob&, TimePoint now);
    void syncTask(JobView&, const ZoneJob&, uint32_t task, TimePoint now);
    void adoptInEngine(JobView&, const TaskRecord&, uint32_t task, TimePoint now);
    void place(const Decision&, JobNumber, MirrorDecisions&);
    void collectPreempts(MirrorDecisions&);
    void endInEngine(JobView&, uint32_t task, TimePoint now);
    void drop(JobNumber, TimePoint now);
    bool isWithheld(const ZoneJob&) const;
    const JobNumber* findByHandle(JobHandle) const;
    TimePoint momentOf(UnixMs, TimePoint now) const;

    const ZoneState& m_state;
    PlacerFactory m_factory;
    std::unique_ptr<Placer> m_placer;
    const Table* m_table { nullptr };
    uint64_t m_tableVersion { 0 };
    bool m_mayPlaceStopRows { true };
    std::map<JobNumber, JobView> m_jobs;
    std::unordered_map<uint64_t, JobNumber> m_jobOfHandle;
    std::unordered_map<uint64_t, NotedEnd> m_notedEnds;
    std::vector<MirrorDecisions::Refusal> m_refusals;
    // Tasks to stop whose assignment is not committed yet.
    std::vector<TaskKey> m_latePreempts;
    // Reused between calls, so that deciding does not allocate.
    std::vector<Decision> m_decisions;
};

} // namespace hickoryknot

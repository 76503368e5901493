#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "placement/JobProgress.h"
#include "placement/PlacementSettings.h"
#include "placement/PlacementStatistics.h"
#include "protocol/JobSubmission.h"
#include "table/Row.h"

namespace hickoryknot {

/// Names a job inside the engine: slot number and reuse count, so that a stale handle is recognised.
struct JobHandle {
    uint32_t slot { 0 };
    uint32_t generation { 0 };

    friend bool operator==(const JobHandle&, const JobHandle&) = default;
};

/// What the engine knows of a worker from its announcement.
struct WorkerDescription {
    WorkerId worker;
    ZoneId zone;
    RackId rack;
    Resources capacity;
    /// A leaving worker keeps its tasks and gets no new ones.
    bool isLeaving { false };
};

/// What the engine knows of a job.
struct JobDescription {
    JobId job;
    RowName row;
    TeamId team;
    JobKind kind { JobKind::Batch };
    uint32_t tasks { 1 };
    Resources perTask;
    Duration expectedRun { 0 };
    TimePoint submittedAt;
    /// Missing: the row decides. A task that is not repeatable is never started again after it may have run.
    std::optional<bool> repeatable;
};

enum class DecisionKind : uint8_t {
    Place, // Start the task on the worker. Capacity is reserved from here on.
    Preempt, // Checkpoint and stop the task on the worker; it is queued again once onTaskEnd() is told.
    Refuse, // The whole job can never run; explain() says why. `worker` is empty and removeJob() may follow.
};

/// One decision; `reason` is a static text that explain() spells out. Copying the id of a worker allocates when the id
/// has more than 15 characters; nothing else in a decision does.
struct Decision {
    DecisionKind kind { DecisionKind::Place };
    JobHandle job;
    uint32_t taskIndex { 0 };
    WorkerId worker;
    const char* reason { "" };
};

/// How a placed task left its worker. "Queued again" holds for repeatable tasks; others count as failed, except after
/// NeverStarted. When a gang loses a member, the engine stops the others and starts all unfinished members together.
enum class TaskEndReason : uint8_t {
    Finished, // Exit code 0. A service task is queued again.
    Failed, // Any other exit code; queued again after a back-off until it failed PlacementSettings::maxTaskFailures
            // times.
    Lost, // The lease ran out or the worker restarted; the task is queued again.
    Preempted, // Stopped for other work; the task is queued again.
    NeverStarted, // The decision was not carried out; the task is queued again.
};

/// Decides which task starts where, over one availability zone's workers. Not thread safe; deterministic: the same
/// calls with the same arguments give the same decisions.
class PlacementEngine {
public:
    explicit PlacementEngine(PlacementSettings);
    ~PlacementEngine();

    /// Puts a new table version in force. Jobs of a row that is gone keep its last values.
    void setTable(const std::vector<Row>&);

    /// Takes over the announcement of a worker; cheap when nothing changed.
    void upsertWorker(const WorkerDescription&, TimePoint now);
    /// Forgets a worker; its tasks must have been ended before.
    void removeWorker(const WorkerId&);

    /// Queues a job. InvalidArgument: can never run; the message names the constraint and the numbers compared.
    Expected<JobHandle> submitJob(const JobDescription&, TimePoint now);
    /// Drops the queued tasks of a job; running ones stay until onTaskEnd() and are then not queued again.
    void cancelJob(JobHandle);
    /// Forgets a job without running tasks; queued ones are dropped.
    void removeJob(JobHandle);

    /// Takes over a task that is already assigned, after a change of leader. The worker need not have been announced
    /// yet.
    void adoptTask(JobHandle, uint32_t taskIndex, const WorkerId&, TimePoint startedAt);

    /// Appends up to `maxDecisions` decisions to `decisions`; a gang starts whole and may pass the limit. The work per
    /// call is bounded, so a call may return fewer decisions than are possible; call again after each change and every
    /// 50 ms.
    void decide(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>& decisions);

    /// Frees the capacity of a task. For a task that does not run, `Finished` marks it as done (after a change of
    /// leader) and every other end is ignored. Stale handles are ignored.
    void onTaskEnd(JobHandle, uint32_t taskIndex, TaskEndReason, Duration runTime, TimePoint now);
    /// Feeds the learned sizes, which order and pack; declared sizes stay the limit.
    void onUsageReport(JobHandle, uint32_t taskIndex, const Resources& used, TimePoint now);

    /// Why here, why now or why not yet: sentences with row, column, numbers compared and what would have to change.
    std::string explain(JobHandle, TimePoint now, WallTime wall) const;

    /// Counts of the job's tasks; all zero for a stale handle.
    JobProgress progress(JobHandle) const;
    PlacementStatistics statistics() const;
    /// True if the worker failed so much that it gets one probe task at a time.
    bool isOnProbation(const WorkerId&) const;

    /// Free capacity summed over workers that take new tasks.
    Resources freeCapacity() const;
    Resources totalCapacity() const;
    /// Hash over the whole state.
    uint64_t digest() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot

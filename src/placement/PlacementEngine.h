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

/// Identifies a job in the engine by slot and generation, so that stale handles are detected.
struct JobHandle {
    uint32_t slot { 0 };
    uint32_t generation { 0 };

    friend bool operator==(const JobHandle&, const JobHandle&) = default;
};

/// A worker as registered with the engine.
struct WorkerDescription {
    WorkerId worker;
    ZoneId zone;
    RackId rack;
    Resources capacity;
    /// A leaving worker keeps its running tasks and gets no new ones.
    bool isLeaving { false };
};

/// A job as submitted to the engine.
struct JobDescription {
    JobId job;
    RowName row;
    TeamId team;
    JobKind kind { JobKind::Batch };
    uint32_t tasks { 1 };
    Resources perTask;
    Duration expectedRun { 0 };
    TimePoint submittedAt;
    /// Defaults to the row's setting. A task that is not repeatable is never started again after it may have run.
    std::optional<bool> repeatable;
};

enum class DecisionKind : uint8_t {
    Place, // Start the task on the worker. Its capacity is allocated from now on.
    Preempt, // Checkpoint and stop the task on the worker. It is queued again on onTaskEnd().
    Refuse, // The whole job can never run; explain() has the reason. `worker` is empty; removeJob() may follow.
};

/// One decision. `reason` is a static string that explain() expands. Copying a worker id of more than 15 characters
/// allocates; the other members don't allocate.
struct Decision {
    DecisionKind kind { DecisionKind::Place };
    JobHandle job;
    uint32_t taskIndex { 0 };
    WorkerId worker;
    const char* reason { "" };
};

/// Why a placed task ended. Requeueing applies to repeatable tasks; others count as failed, except after NeverStarted.
/// When a gang loses a member, the engine stops the others and restarts all unfinished members together.
enum class TaskEndReason : uint8_t {
    Finished, // Exit code 0. A service task is queued again.
    Failed, // Nonzero exit code. Queued again after a backoff, until PlacementSettings::maxTaskFailures is reached.
    Lost, // The lease expired or the worker restarted. Queued again.
    Preempted, // Stopped in favour of other work. Queued again.
    NeverStarted, // The decision was not carried out. Queued again.
};

/// Decides which task starts on which worker, for the workers of one availability zone. Not thread-safe. Deterministic:
/// the same calls with the same arguments give the same decisions.
class PlacementEngine {
public:
    explicit PlacementEngine(PlacementSettings);
    ~PlacementEngine();

    /// Applies a new version of the table. Jobs of a removed row keep the row's last values.
    void setTable(const std::vector<Row>&);

    /// Registers or updates a worker; cheap if nothing changed.
    void upsertWorker(const WorkerDescription&, TimePoint now);
    /// Unregisters a worker. Its tasks must have ended before.
    void removeWorker(const WorkerId&);

    /// Queues a job. Returns InvalidArgument if it can never run; the message names the constraint and the compared
    /// numbers.
    Expected<JobHandle> submitJob(const JobDescription&, TimePoint now);
    /// Drops the queued tasks of a job. Running tasks continue until onTaskEnd() and are not queued again.
    void cancelJob(JobHandle);
    /// Removes a job that has no running tasks; its queued tasks are dropped.
    void removeJob(JobHandle);

    /// Records a task that was already assigned before a change of leader. Its worker need not be registered yet.
    void adoptTask(JobHandle, uint32_t taskIndex, const WorkerId&, TimePoint startedAt);

    /// Appends up to `maxDecisions` decisions to `decisions`; a gang starts as a whole and may exceed the limit. The
    /// work per call is bounded, so a call may return fewer decisions than possible. Call it after each change and
    /// every 50 ms.
    void decide(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>& decisions);

    /// Frees the capacity of a task. For a task that is not running, `Finished` marks it as finished (after a change of
    /// leader) and every other value is ignored. Stale handles are ignored.
    void onTaskEnd(JobHandle, uint32_t taskIndex, TaskEndReason, Duration runTime, TimePoint now);
    /// Updates the measured usage, which affects ordering and packing. Declared sizes remain the limit.
    void onUsageReport(JobHandle, uint32_t taskIndex, const Resources& used, TimePoint now);

    /// Why the tasks run where they do, why they started when they did or why they still wait, with the row, the
    /// column, the compared numbers and what would have to change.
    std::string explain(JobHandle, TimePoint now, WallTime wall) const;

    /// Task counts of the job; all zero for a stale handle.
    JobProgress progress(JobHandle) const;
    PlacementStatistics statistics() const;
    /// True if the worker failed so often that it only gets one probe task at a time.
    bool isOnProbation(const WorkerId&) const;

    /// Sum of the free capacity of workers that accept new tasks.
    Resources freeCapacity() const;
    Resources totalCapacity() const;
    /// Hash of the placement state, to compare engines.
    uint64_t digest() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot

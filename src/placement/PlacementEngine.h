#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "protocol/JobSubmission.h"
#include "table/Row.h"

namespace hickoryknot {

struct PlacementSettings {
    uint64_t seed { 1 };
    /// Urgent work that would start later than this makes room by stopping preemptible work.
    Duration urgentBound { 8s };
};

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
};

enum class DecisionKind : uint8_t {
    Place, // Start the task on the worker. Capacity is reserved from here on.
    Preempt, // Checkpoint and stop the task on the worker; it is queued again once taskEnded() is told.
};

/// One decision; `reason` is a static text that explain() spells out.
struct Decision {
    DecisionKind kind { DecisionKind::Place };
    JobHandle job;
    uint32_t taskIndex { 0 };
    WorkerId worker;
    const char* reason { "" };
};

/// How a placed task left its worker.
enum class TaskEnd : uint8_t {
    Finished, // Exit code 0.
    Failed, // Any other exit code.
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

    /// Puts a new table version in force.
    void setTable(const std::vector<Row>&);

    void upsertWorker(const WorkerDescription&, TimePoint now);
    /// Forgets a worker; its tasks must have been ended before.
    void removeWorker(const WorkerId&);

    /// Queues a job. InvalidArgument: can never run; the message names the constraint and the numbers compared.
    Expected<JobHandle> submitJob(const JobDescription&, TimePoint now);
    /// Drops the queued tasks of a job; running ones stay until taskEnded().
    void cancelJob(JobHandle);
    /// Forgets a job whose tasks have all ended.
    void removeJob(JobHandle);

    /// Takes over a task that is already assigned, after a change of leader.
    void adoptTask(JobHandle, uint32_t taskIndex, const WorkerId&, TimePoint startedAt);

    /// Appends up to `maxDecisions` decisions to `decisions`.
    void decide(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>& decisions);

    void taskEnded(JobHandle, uint32_t taskIndex, TaskEnd, Duration runTime, TimePoint now);
    void usageReported(JobHandle, uint32_t taskIndex, const Resources& used, TimePoint now);

    /// Why here, why now or why not yet: sentences with row, column, numbers compared and what would have to change.
    std::string explain(JobHandle, TimePoint now, WallTime wall) const;

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

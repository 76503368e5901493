#pragma once

#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "placement/Indices.h"
#include "placement/MovingAverage.h"
#include "placement/PlacementFailureScore.h"
#include "placement/WaitCause.h"
#include "protocol/JobSubmission.h"

namespace hickoryknot {

/// Placement state of one job.
struct JobRecord {
    // Identity and request.
    JobId id;
    uint32_t generation { 0 };
    bool isUsed { false };
    RowIndex row { noIndex };
    TeamIndex team { noIndex };
    QueueIndex queue { noIndex };
    ShapeIndex shape { noIndex };
    JobKind kind { JobKind::Batch };
    bool isRepeatable { true };
    Resources perTask;
    Duration expectedRun { 0 };
    TimePoint submittedAt;
    uint64_t sequence { 0 };

    // Tasks. `taskRuns` has the run of each running task; `queuedTasks` is a stack.
    std::vector<RunIndex> taskRuns;
    std::vector<uint32_t> queuedTasks;
    std::vector<uint8_t> taskFailures;
    std::vector<uint32_t> tasksPerRack;
    uint32_t running { 0 };
    uint32_t finished { 0 };
    uint32_t failed { 0 };
    bool hasStarted { false };
    bool isCancelled { false };
    bool isRefused { false };
    /// Only some members of the gang are running. They are stopped, then all unfinished members restart together.
    bool isIncompleteGang { false };

    // Queueing.
    bool isWaiting { false };
    /// Order within the queue, lowest first. Doesn't change while the job is queued.
    int64_t rank { 0 };
    /// Last start of one of its tasks, or when the job was queued. The row's waitBoundMs counts from here.
    TimePoint waitingSince;
    /// When the job was queued.
    TimePoint queuedSince;
    JobIndex olderInRow { noIndex };
    JobIndex newerInRow { noIndex };
    /// No task starts before this time; set by backoff and retry delays.
    TimePoint notBefore { TimePoint::min() };
    WaitCause waitCause { WaitCause::QueueOrder };
    /// Number of tasks with reserved capacity.
    uint32_t reservedTasks { 0 };
    bool needsRefusalCheck { false };

    // Failures and measured usage.
    PlacementFailureScore failureScore;
    uint32_t consecutiveFailures { 0 };
    /// Worker of the last failure; avoided while another one fits.
    WorkerIndex avoidedWorker { noIndex };
    MovingAverage runSeconds;
    MovingAverage usedMillicores;
    std::string refusalReason;

    uint32_t tasks() const { return static_cast<uint32_t>(taskRuns.size()); }
    bool mayStart() const { return !isCancelled && !isRefused && !queuedTasks.empty(); }
};

} // namespace hickoryknot

#pragma once

#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "placement/Indices.h"
#include "placement/PlacementFailureScore.h"
#include "placement/RunEstimate.h"
#include "placement/WaitCause.h"
#include "protocol/JobSubmission.h"

namespace hickoryknot {

/// State of one job inside the engine.
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

    // Tasks. `taskRuns` holds the run of each running task; `queuedTasks` is a stack.
    std::vector<RunIndex> taskRuns;
    std::vector<uint32_t> queuedTasks;
    std::vector<uint8_t> taskFailures;
    std::vector<uint32_t> rackCounts;
    uint32_t running { 0 };
    uint32_t finished { 0 };
    uint32_t failed { 0 };
    bool hasStarted { false };
    bool isCancelled { false };
    bool isRefused { false };
    /// A gang that lost a member: the others are stopped and all start again together.
    bool isBroken { false };

    // Waiting.
    bool isWaiting { false };
    /// Order within the queue; lower goes first. Fixed while waiting.
    int64_t rank { 0 };
    /// Last start of one of its tasks, or when it began to wait.
    TimePoint waitingSince;
    /// When it began to wait.
    TimePoint queuedSince;
    JobIndex olderInRow { noIndex };
    JobIndex newerInRow { noIndex };
    /// No task starts before this; set after failures.
    TimePoint notBefore { TimePoint::min() };
    WaitCause waitedFor { WaitCause::Turn };
    /// Tasks for which capacity is reserved.
    uint32_t heldTasks { 0 };
    bool needsFitCheck { false };

    // Failures and measurements.
    PlacementFailureScore failures;
    uint32_t failuresInRow { 0 };
    /// The worker of the last failure; avoided while another one fits.
    WorkerIndex avoidedWorker { noIndex };
    RunEstimate runSeconds;
    RunEstimate usedMillicores;
    std::string refusal;

    uint32_t tasks() const { return static_cast<uint32_t>(taskRuns.size()); }
    bool mayStart() const { return !isCancelled && !isRefused && !queuedTasks.empty(); }
};

} // namespace hickoryknot

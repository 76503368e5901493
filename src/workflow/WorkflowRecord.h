#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "workflow/WorkflowIds.h"
#include "workflow/WorkflowSpec.h"

namespace hickoryknot::workflow {

enum class TaskOutcome : uint8_t {
    Open,
    Done,
    Failed, // All attempts failed.
};

/// The recorded state of one task.
struct TaskRecord {
    TaskOutcome outcome { TaskOutcome::Open };
    /// Latest run number; 0 before the first.
    uint32_t run { 0 };
    uint32_t failures { 0 };
    /// Workers that crashed while a run of the task was there, and those that crashed before they acknowledged a start.
    uint32_t crashes { 0 };
    uint32_t unconfirmedCrashes { 0 };
    /// Run with which the third crash of either kind was counted; 0: fewer.
    uint32_t thirdCrashRun { 0 };
    /// True between the recorded start and the recorded end: the run may occupy its worker.
    bool isPlaced { false };
    /// Index for WorkflowState::incarnation() while placed.
    uint32_t incarnationIndex { 0 };
    std::string checkpoint;

    /// A worker has crashed while a run of the task was, or may have been, there.
    bool isSuspect() const { return crashes + unconfirmedCrashes > 0; }
    bool isWaiting() const { return outcome == TaskOutcome::Open && !isPlaced; }
    friend bool operator==(const TaskRecord&, const TaskRecord&) = default;
};

struct StepRecord {
    std::vector<TaskRecord> tasks;
    uint32_t open { 0 }; // Tasks without an outcome.
    uint32_t placed { 0 };
    /// For gangs: the number of failed runs, and the last run that was counted, since each member may report the same
    /// failure.
    uint32_t gangFailures { 0 };
    uint32_t lastFailedRun { 0 };

    bool isDone() const { return open == 0; }
    friend bool operator==(const StepRecord&, const StepRecord&) = default;
};

/// One execution of all steps.
struct OccurrenceRecord {
    uint32_t number { 0 };
    bool isFinished { false }; // All tasks are done.
    std::vector<StepRecord> steps;

    friend bool operator==(const OccurrenceRecord&, const OccurrenceRecord&) = default;
};

enum class WorkflowPhase : uint8_t {
    Active,
    Completed,
    Failed, // A task or gang has used all its attempts or crashed its workers; nothing more starts.
    Cancelled,
};

const char* workflowPhaseName(WorkflowPhase);

/// Why a workflow is in WorkflowPhase::Failed.
enum class FailureCause : uint8_t {
    None,
    AttemptsUsed,
    WorkerCrashes, // Too many workers crashed while they ran one of its tasks.
};

const char* failureCauseName(FailureCause);

/// The recorded state of one workflow.
struct WorkflowRecord {
    WorkflowId id;
    QueueName queue;
    OrganisationName organisation; // Whose key submitted it; empty: none.
    PoolName pool; // Pool at acceptance, used if the queue is no longer known.
    uint32_t maxAttempts { 1 };
    WorkflowSpec spec;
    WorkflowPhase phase { WorkflowPhase::Active };
    FailureCause failureCause { FailureCause::None };
    /// Wall-clock time of the acceptance in milliseconds; only for ordering and age.
    int64_t acceptedMs { 0 };
    bool hasStarted { false }; // A worker has executed a start of one of its tasks.
    /// Begun occurrences with open tasks or placed runs, ascending.
    std::vector<OccurrenceRecord> occurrences;
    /// Occurrences with numbers below this have begun.
    uint32_t begunOccurrences { 0 };
    uint32_t finishedOccurrences { 0 };
    uint32_t placed { 0 }; // Runs that may occupy a worker.

    bool isActive() const { return phase == WorkflowPhase::Active; }
    const OccurrenceRecord* find(uint32_t occurrence) const;
    OccurrenceRecord* find(uint32_t occurrence);
    const TaskRecord* find(const TaskRef&) const;

    friend bool operator==(const WorkflowRecord&, const WorkflowRecord&) = default;
};

} // namespace hickoryknot::workflow

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
    Failed, // All attempts are used up.
};

/// The recorded state of one task.
struct TaskRecord {
    TaskOutcome outcome { TaskOutcome::Open };
    /// Latest run number; 0 before the first.
    uint32_t run { 0 };
    uint32_t failures { 0 };
    /// True from the record of a start until the record of its end: the run may occupy its worker.
    bool isPlaced { false };
    /// Index into WorkflowState::lives() while placed.
    uint32_t life { 0 };
    std::string checkpoint;

    bool isWaiting() const { return outcome == TaskOutcome::Open && !isPlaced; }
    friend bool operator==(const TaskRecord&, const TaskRecord&) = default;
};

struct StepRecord {
    std::vector<TaskRecord> tasks;
    uint32_t open { 0 }; // Tasks without an outcome.
    uint32_t placed { 0 };
    /// Gangs: failed runs, and the last run that was counted, since each member may report the same failure.
    uint32_t gangFailures { 0 };
    uint32_t lastFailedRun { 0 };

    bool isDone() const { return open == 0; }
    friend bool operator==(const StepRecord&, const StepRecord&) = default;
};

/// One time that the steps run.
struct OccurrenceRecord {
    uint32_t number { 0 };
    bool isFinished { false }; // All its tasks are done.
    std::vector<StepRecord> steps;

    friend bool operator==(const OccurrenceRecord&, const OccurrenceRecord&) = default;
};

enum class WorkflowPhase : uint8_t {
    Active,
    Completed,
    Failed, // A task or gang has used up its attempts; nothing more starts.
    Cancelled,
};

const char* workflowPhaseName(WorkflowPhase);

/// The recorded state of one workflow.
struct WorkflowRecord {
    WorkflowId id;
    QueueName queue;
    PoolName pool; // As of the acceptance, for a queue that was removed since.
    uint32_t maxAttempts { 1 };
    WorkflowSpec spec;
    WorkflowPhase phase { WorkflowPhase::Active };
    /// Calendar time of the acceptance, for ordering only.
    int64_t acceptedMs { 0 };
    bool hasStarted { false };
    /// Occurrences that have begun and still have open tasks or placed runs, ascending.
    std::vector<OccurrenceRecord> occurrences;
    /// Occurrences below this number have begun.
    uint32_t begun { 0 };
    uint32_t finished { 0 };
    uint32_t placed { 0 }; // Runs that may occupy a worker.

    bool isActive() const { return phase == WorkflowPhase::Active; }
    const OccurrenceRecord* find(uint32_t occurrence) const;
    OccurrenceRecord* find(uint32_t occurrence);
    const TaskRecord* find(const TaskRef&) const;

    friend bool operator==(const WorkflowRecord&, const WorkflowRecord&) = default;
};

} // namespace hickoryknot::workflow

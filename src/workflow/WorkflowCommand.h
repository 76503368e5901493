#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/Error.h"
#include "workflow/EarlyCancellation.h"
#include "workflow/QueueTable.h"
#include "workflow/RunOutcome.h"
#include "workflow/WorkerProfile.h"
#include "workflow/WorkflowIds.h"
#include "workflow/WorkflowSpec.h"

namespace hickoryknot::workflow {

/// Replaces the queue table if the version is higher than the recorded one.
struct ReplaceTable {
    QueueTable table;
};

/// Adds a workflow. Idempotent: does nothing if the id is known. Does nothing either if the workflow was cancelled
/// before; see EarlyCancellations.
struct AcceptWorkflow {
    WorkflowId id;
    QueueName queue;
    PoolName pool;
    uint32_t maxAttempts { 1 };
    WorkflowSpec spec;
    int64_t acceptedMs { 0 };
    OrganisationName organisation; // Empty: none.
};

struct CancelWorkflow {
    WorkflowId id;
};

/// Cancels a workflow that the leader does not know. Does the same as CancelWorkflow if it is known by now and the
/// caller may access it. Otherwise it is recorded, unless the organisation's part of the records is used up.
struct CancelUnknownWorkflow {
    WorkflowId id;
    QueueName queue; // Whose path the caller used.
    OrganisationName organisation; // The caller's; empty: none.
};

/// Removes records of cancellations that no submission can follow any more.
struct RemoveEarlyCancellations {
    std::vector<EarlyCancellation::Key> keys;
};

/// Removes the records of ended workflows without placed runs.
struct RemoveWorkflows {
    std::vector<WorkflowId> ids;
};

/// Begins the occurrences up to and including `occurrence`, whose scheduled time has been reached.
struct BeginOccurrence {
    WorkflowId id;
    uint32_t occurrence { 0 };
};

/// Records starts before they are sent. Entries that no longer apply are skipped; the scheduler checks the state
/// afterwards.
struct PlaceRuns {
    struct Entry {
        RunRef run;
        uint32_t incarnationIndex { 0 }; // Index into `incarnations`.
    };
    std::vector<WorkerIncarnation> incarnations;
    std::vector<Entry> entries;
};

/// Records the ends of runs. Ends of runs that are not placed have no effect.
struct EndRuns {
    struct Entry {
        RunRef run;
        RunOutcome outcome { RunOutcome::Lost };
        std::string checkpoint; // Empty: keeps the task's previous checkpoint.
    };
    std::vector<Entry> entries;
};

/// Adds workers or updates their profiles.
struct RecordWorkers {
    std::vector<WorkerProfile> profiles;
};

struct RemoveWorkers {
    std::vector<WorkerIncarnation> incarnations;
};

/// Records that a worker has executed a start of each of these workflows.
struct RecordStarts {
    std::vector<WorkflowId> ids;
};

/// Records the summary of the run time model, from which a new leader continues; see RunTimeModel::summary().
struct RecordRunTimes {
    std::string summary;
};

using WorkflowCommand
    = std::variant<ReplaceTable, AcceptWorkflow, CancelWorkflow, RemoveWorkflows, BeginOccurrence, PlaceRuns, EndRuns,
        RecordWorkers, RemoveWorkers, RecordStarts, RecordRunTimes, CancelUnknownWorkflow, RemoveEarlyCancellations>;

/// Payload of one log entry: commands that are applied together, in order.
std::string encodeCommands(const std::vector<WorkflowCommand>&);

/// Corrupt: the bytes are not a valid list of commands.
Expected<std::vector<WorkflowCommand>> decodeCommands(std::string_view);

} // namespace hickoryknot::workflow

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/Error.h"
#include "workflow/QueueTable.h"
#include "workflow/RunOutcome.h"
#include "workflow/WorkerProfile.h"
#include "workflow/WorkflowIds.h"
#include "workflow/WorkflowSpec.h"

namespace hickoryknot::workflow {

/// Puts a table in force if its version is higher than the recorded one.
struct ReplaceTable {
    QueueTable table;
};

/// Records a workflow; a known id changes nothing.
struct AcceptWorkflow {
    WorkflowId id;
    QueueName queue;
    PoolName pool;
    uint32_t maxAttempts { 1 };
    WorkflowSpec spec;
    int64_t acceptedMs { 0 };
};

struct CancelWorkflow {
    WorkflowId id;
};

/// Drops the records of ended workflows without placed runs.
struct ForgetWorkflows {
    std::vector<WorkflowId> ids;
};

/// Opens occurrences up to and including `occurrence`, whose time has come.
struct BeginOccurrence {
    WorkflowId id;
    uint32_t occurrence { 0 };
};

/// Records starts before they are sent. Entries that no longer apply are left out; the starter looks at the record.
struct PlaceRuns {
    struct Entry {
        RunRef run;
        uint32_t life { 0 }; // Index into `lives`.
    };
    std::vector<WorkerIncarnation> lives;
    std::vector<Entry> entries;
};

/// Records ends. Ends of runs that are not placed change nothing.
struct EndRuns {
    struct Entry {
        RunRef run;
        RunOutcome end { RunOutcome::Lost };
        std::string checkpoint; // Empty: the task's last one stays.
    };
    std::vector<Entry> entries;
};

/// Records workers as they announce themselves.
struct RecordWorkers {
    std::vector<WorkerProfile> profiles;
};

struct ForgetWorkers {
    std::vector<WorkerIncarnation> lives;
};

using WorkflowCommand = std::variant<ReplaceTable, AcceptWorkflow, CancelWorkflow, ForgetWorkflows, BeginOccurrence,
    PlaceRuns, EndRuns, RecordWorkers, ForgetWorkers>;

/// One entry of the log: commands that are recorded together, in order.
std::string encodeCommands(const std::vector<WorkflowCommand>&);

/// Corrupt: the bytes are no list of commands.
Expected<std::vector<WorkflowCommand>> decodeCommands(std::string_view);

} // namespace hickoryknot::workflow

#include "workflow/WorkflowRecord.h"

#include <algorithm>
#include <array>

namespace hickoryknot::workflow {

const char* workflowPhaseName(WorkflowPhase phase)
{
    constexpr std::array names { "active", "completed", "failed", "cancelled" };
    return names[static_cast<size_t>(phase)];
}

const char* failureCauseName(FailureCause cause)
{
    constexpr std::array names { "none", "attemptsUsed", "workerCrashes" };
    return names[static_cast<size_t>(cause)];
}

const OccurrenceRecord* WorkflowRecord::find(uint32_t occurrence) const
{
    const auto found = std::find_if(occurrences.begin(), occurrences.end(),
        [&](const OccurrenceRecord& record) { return record.number == occurrence; });
    return found == occurrences.end() ? nullptr : &*found;
}

OccurrenceRecord* WorkflowRecord::find(uint32_t occurrence)
{
    return const_cast<OccurrenceRecord*>(std::as_const(*this).find(occurrence)); // NOLINT: both find the same record
}

const TaskRecord* WorkflowRecord::find(const TaskRef& task) const
{
    const auto* occurrence = find(task.step.occurrence);
    if (!occurrence || task.step.step >= occurrence->steps.size())
        return nullptr;
    const auto& tasks = occurrence->steps[task.step.step].tasks;
    return task.index < tasks.size() ? &tasks[task.index] : nullptr;
}

} // namespace hickoryknot::workflow

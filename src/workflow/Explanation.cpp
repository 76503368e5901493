#include <algorithm>
#include <fmt/format.h>

#include "workflow/WorkflowScheduler.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

namespace {

const char* describePhase(const WorkflowRecord& record)
{
    switch (record.phase) {
    case WorkflowPhase::Active:
        return "is not finished";
    case WorkflowPhase::Completed:
        return "is finished: all its tasks are done";
    case WorkflowPhase::Failed:
        return record.failureCause == FailureCause::WorkerCrashes
            ? "has failed: too many workers crashed while they ran one of its tasks"
            : "has failed: one of its tasks has used up its attempts";
    case WorkflowPhase::Cancelled:
        return "was cancelled";
    }
    return "";
}

} // namespace

// The first sentence states the phase; waiting tasks of a step are described together.
std::string WorkflowScheduler::explain(const WorkflowId& id, TimePoint now, WallTime) const
{
    const WorkflowRecord* record = m_state.find(id);
    if (!record)
        return {};
    std::string text = fmt::format("Workflow {} {}.", id.value(), describePhase(*record));
    if (!record->organisation.isEmpty())
        text += fmt::format(" It belongs to organisation {}.", record->organisation.value());
    if (!record->isActive()) {
        if (record->placed)
            text += fmt::format(" {} of its runs still occupy workers until they report their end.", record->placed);
        return text;
    }
    const auto tracked = m_trackedWorkflows.find(id);
    const Queue queue = queueOf(*record);
    for (const auto& occurrence : record->occurrences) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const StepRecord& steps = occurrence.steps[step];
            const StepSpec& spec = record->spec.steps[step];
            const StepRef ref { id, occurrence.number, step };
            if (steps.isDone())
                continue;
            const auto waitingTasks = steps.open - std::min(steps.open, steps.placed);
            text += fmt::format(" Step {}: {} of {} tasks are done, {} run, {} wait", step, spec.count - steps.open,
                spec.count, steps.placed, waitingTasks);
            const auto blocking = std::find_if(spec.dependencies.begin(), spec.dependencies.end(),
                [&](uint32_t earlier) { return !occurrence.steps[earlier].isDone(); });
            if (!waitingTasks)
                text += ".";
            else if (blocking != spec.dependencies.end())
                text += fmt::format(" for step {} to finish.", *blocking);
            else if (m_permissionTracker.isRequestPending(ref))
                text += " for the answer of the permission service, which says where they may run.";
            else if (spec.isGang && steps.placed)
                text += " for the other tasks of their gang to end before all start again.";
            else
                text += fmt::format(" for a worker of pool {} with {} thousandths of a core and {} MiB free{}.",
                    queue.pool.value(), spec.perTask.millicores.count(), spec.perTask.mebibytes.count(),
                    spec.isGang ? ", for all tasks at the same time" : "");
        }
    }
    if (tracked != m_trackedWorkflows.end()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - tracked->second.acceptedAt);
        text += fmt::format(" It was accepted {} ms ago in queue {} with priority {}{}.", age.count(),
            record->queue.value(), queue.priority,
            m_state.table().find(record->queue) ? ""
                                                : "; the queue was removed since, and the workflow goes on as before");
    }
    return text;
}

} // namespace hickoryknot::workflow

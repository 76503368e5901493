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

/// Running tasks of a step that an explanation describes; the others are usually like them.
constexpr size_t maxDescribedRuns = 3;

std::string seconds(Duration time) { return fmt::format("{:.1f} s", std::chrono::duration<double>(time).count()); }

} // namespace

std::string WorkflowScheduler::explainOrganisation(
    const WorkflowRecord& record, const Queue& queue, const StepSpec& spec, uint32_t waitingTasks) const
{
    const Organisation* organisation
        = record.organisation.isEmpty() ? nullptr : m_state.table().findOrganisation(record.organisation);
    if (!organisation)
        return {};
    const Resources& used = m_runController.organisationUsage().usedBy(record.organisation);
    if (auto reason = explainLimit(*organisation, used, spec, waitingTasks); !reason.empty())
        return reason;
    if (!m_planner.isBehindForShare(record.organisation, queue.pool))
        return {};
    const auto position = static_cast<size_t>(organisation - m_state.table().organisations.data());
    const auto& uses = m_planner.shares().uses();
    if (position >= uses.size())
        return {};
    double total = 0;
    for (const auto& use : uses)
        total += use.used;
    constexpr double percent = 100;
    return fmt::format("because capacity is short and your organisation has {:.1f}% of what is in use, with a share of "
                       "{:.1f}%",
        total > 0 ? percent * uses[position].used / total : 0, percent * uses[position].share);
}

std::string WorkflowScheduler::describeRuns(const StepRef& step, TimePoint now) const
{
    std::vector<const TrackedRun*> running;
    const auto& runs = m_runController.runs();
    const RunRef first { .task = { .step = step, .index = 0 }, .run = 0 };
    for (auto run = runs.lower_bound(first); run != runs.end() && run->first.task.step == step; ++run) {
        if (run->second.phase == TrackedRun::Phase::Confirmed)
            running.push_back(&run->second);
    }
    // The longest first.
    std::stable_sort(running.begin(), running.end(),
        [](const TrackedRun* a, const TrackedRun* b) { return a->startedAt < b->startedAt; });
    std::string text;
    for (size_t i = 0; i < std::min(running.size(), maxDescribedRuns); ++i) {
        const TrackedRun& run = *running[i];
        text += fmt::format(" Task {} has been running on worker {} for {}", run.run.task.index,
            run.incarnation.worker.value(), seconds(now - run.startedAt));
        if (!run.spec.isLongRunning)
            text += fmt::format(" and is expected to take {}{}", seconds(run.expectedRunTime()),
                run.learnedRunTime ? " there" : " by its caller's estimate");
        text += '.';
    }
    if (running.size() > maxDescribedRuns)
        text += fmt::format(" {} other tasks are running.", running.size() - maxDescribedRuns);
    return text;
}

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
            else if (spec.isGang && steps.placed)
                text += " for the other tasks of their gang to end before all start again.";
            else if (const auto reason = explainOrganisation(*record, queue, spec, waitingTasks); !reason.empty())
                text += fmt::format(", {}.", reason);
            else if (m_permissionTracker.isRequestPending(ref))
                text += " for the answer of the permission service, which says where they may run.";
            else
                text += fmt::format(" for a worker of pool {} with {} thousandths of a core and {} MiB free{}.",
                    queue.pool.value(), spec.perTask.millicores.count(), spec.perTask.mebibytes.count(),
                    spec.isGang ? ", for all tasks at the same time" : "");
            if (steps.placed)
                text += describeRuns(ref, now);
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

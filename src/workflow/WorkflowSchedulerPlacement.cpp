// Placement of ready steps, and what the waiting ones mean for admission.

#include <algorithm>

#include "workflow/SchedulerObserver.h"
#include "workflow/StepOrder.h"
#include "workflow/WorkflowScheduler.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

namespace {

/// An acceptance that is not committed after this time is not prepared any further; many times a usual commit.
constexpr Duration maxProposalAge = 1s;

} // namespace

void WorkflowScheduler::placeReadySteps(Output& output, Batch& batch, TimePoint now)
{
    std::vector<ReadyStep*> steps;
    steps.reserve(m_readySteps.size() + m_proposedWorkflows.size());
    for (auto& [ref, step] : m_readySteps)
        steps.push_back(&step);
    std::erase_if(m_proposedWorkflows, [&](const auto& item) { return now - item.second.proposedAt > maxProposalAge; });
    for (auto& [id, proposed] : m_proposedWorkflows) {
        for (auto& step : proposed.firstSteps)
            steps.push_back(&step);
    }
    if (steps.empty())
        return;
    auto decisions = m_planner.plan(steps, now, m_state.table().organisations);
    output.permissionRequests = std::move(decisions.permissionRequests);
    for (const auto& run : decisions.preemptions) {
        m_observer.onStopRequested(run, "a gang of higher priority needs its room");
        m_runController.requestStop(run, now);
    }
    if (decisions.placements.empty())
        return;
    reportPlacements(decisions.placements, now);
    PlaceRuns command;
    std::map<WorkerIncarnation, uint32_t> incarnations;
    for (auto& placement : decisions.placements) {
        const auto [incarnation, isNew]
            = incarnations.try_emplace(placement.incarnation, static_cast<uint32_t>(command.incarnations.size()));
        if (isNew)
            command.incarnations.push_back(placement.incarnation);
        command.entries.push_back({ .run = placement.run, .incarnationIndex = incarnation->second });
        m_runController.addProposedRun(placement.run, placement.incarnation, *placement.spec, placement.priority,
            std::move(placement.permissionToken));
        if (placement.learnedRunTime)
            m_runController.setLearnedRunTime(placement.run, *placement.learnedRunTime);
        batch.placed.push_back(placement.run);
        m_tasksBeingPlaced.insert(placement.run.task);
        // The task must not be placed again until the placement is committed.
        m_changedWorkflows.insert(placement.run.task.step.workflow);
    }
    output.commands.emplace_back(std::move(command));
    for (const auto& id : std::exchange(m_changedWorkflows, {})) {
        const auto known = m_trackedWorkflows.find(id);
        if (known == m_trackedWorkflows.end())
            continue;
        for (const auto& ref : known->second.ready) {
            const auto ready = m_readySteps.find(ref);
            std::erase_if(ready->second.tasks, [&](const ReadyStep::Task& task) {
                return m_tasksBeingPlaced.contains({ ref, task.index });
            });
        }
        std::erase_if(known->second.ready, [&](const StepRef& ref) {
            const bool isEmpty = m_readySteps.at(ref).tasks.empty();
            if (isEmpty)
                m_readySteps.erase(ref);
            return isEmpty;
        });
    }
}

void WorkflowScheduler::reportPlacements(const std::vector<Planner::Placement>& placements, TimePoint now)
{
    // Placements of one step are consecutive.
    for (size_t first = 0; first < placements.size();) {
        const StepRef& ref = placements[first].run.task.step;
        std::set<WorkerIncarnation> workers;
        size_t end = first;
        for (; end < placements.size() && placements[end].run.task.step == ref; ++end)
            workers.insert(placements[end].incarnation);
        const ReadyStep& step = m_readySteps.at(ref);
        m_observer.onTasksPlaced(ref, end - first, workers.size(), now - step.readySince, step.latestStart() - now);
        first = end;
    }
}

std::optional<AdmissionController::Rejection> WorkflowScheduler::checkAdmission(
    const Queue& queue, const OrganisationName& organisation, const WorkflowSpec& spec, double jitter, TimePoint now)
{
    return m_organisationAdmission.check({ .queue = queue,
                                             .spec = withLearnedRunTimes(queue.name, spec),
                                             .organisation = organisation,
                                             .organisations = m_state.table().organisations,
                                             .usage = m_runController.organisationUsage(),
                                             .load = waitingLoad(now),
                                             .capacity = m_workerTracker.capacity(queue.pool, now),
                                             .jitter = jitter },
        now);
}

AdmissionController::Load WorkflowScheduler::waitingLoad(TimePoint now) const
{
    const OrganisationIndex organisations(m_state.table().organisations);
    AdmissionController::Load load;
    for (const auto& [ref, step] : m_readySteps) {
        const StepSpec& spec = *step.spec;
        const uint32_t organisation = organisations.find(step.organisation);
        // Work that uses spare processors delays only other work of its organisation, by the organisation's limit.
        const bool isSpare = spec.usesSpareCapacity;
        if (spec.isLongRunning || (isSpare && organisation == OrganisationIndex::none))
            continue;
        const StepOrder order(step, now);
        load.push_back({ .level = order.level(),
            .isLate = order.isLate(),
            .latestStart = step.latestStart(),
            .work = isSpare
                ? 0
                : static_cast<double>(step.tasks.size()) * static_cast<double>(spec.perTask.millicores.count())
                    * static_cast<double>(step.runTime().count()),
            .organisation = organisation,
            .demand = spec.perTask * static_cast<int64_t>(step.tasks.size()),
            .runTime = step.runTime() });
    }
    return load;
}

std::vector<OrganisationStatus> WorkflowScheduler::organisationStatus() const
{
    const auto& organisations = m_state.table().organisations;
    // As of the last pass; a table that was applied since may have others.
    const auto& uses = m_planner.shares().uses();
    std::vector<OrganisationStatus> result;
    result.reserve(organisations.size());
    for (size_t i = 0; i < organisations.size(); ++i) {
        const bool isKnown = uses.size() == organisations.size();
        result.push_back({ .name = organisations[i].name,
            .used = m_runController.organisationUsage().usedBy(organisations[i].name),
            .limit = organisations[i].limit,
            .dominantFraction = isKnown ? uses[i].used : 0,
            .share = isKnown ? uses[i].share : 0,
            .refusals = m_organisationAdmission.refusals(organisations[i].name) });
    }
    return result;
}

size_t WorkflowScheduler::countPending(const QueueName& name) const
{
    const auto found = m_pendingByQueue.find(name);
    return found == m_pendingByQueue.end() ? 0 : found->second;
}

size_t WorkflowScheduler::pendingWorkflows(const QueueName& name) const
{
    size_t count = countPending(name);
    const Queue* queue = m_state.table().find(name);
    if (!queue)
        return count;
    for (const auto& [removedName, removed] : m_state.removedQueues()) {
        if (removed.callerHost == queue->callerHost && removed.urlPrefix == queue->urlPrefix)
            count += countPending(removedName);
    }
    return count;
}

} // namespace hickoryknot::workflow

#include "InvariantChecker.h"

#include <algorithm>

#include "core/Hash.h"

namespace hickoryknot::soak {

using namespace workflow;

namespace {

/// After an acknowledged cancellation, no task may start later than this, provided there are no faults.
constexpr Duration cancelDeadline = 3s;
constexpr size_t maxViolations = 20;
/// A task under which this many workers have crashed may be given up.
constexpr uint32_t crashesBeforeGivingUp = 2;

} // namespace

void InvariantChecker::addViolation(const std::string& violation)
{
    if (m_violations.size() < maxViolations)
        m_violations.push_back(violation);
}

void InvariantChecker::onSubmitted(const WorkflowId& id, std::string command, std::vector<StepSpec> steps)
{
    m_jobs[id] = { .command = std::move(command), .steps = std::move(steps), .state = {} };
}

void InvariantChecker::onAccepted(const WorkflowId& id) { m_jobs.at(id).isAccepted = true; }

void InvariantChecker::onUncertain(const WorkflowId& id) { m_jobs.at(id).mayHaveBeenAccepted = true; }

void InvariantChecker::onRefused(const WorkflowId& id) { m_jobs.at(id).mayHaveBeenAccepted = false; }

void InvariantChecker::onCancelSent(const WorkflowId& id, TimePoint now) { m_jobs.at(id).cancelSentAt = now; }

void InvariantChecker::onCancelAcknowledged(const WorkflowId& id, TimePoint now) { m_jobs.at(id).cancelledAt = now; }

bool InvariantChecker::isCompleted(const WorkflowId& id, uint32_t step) const
{
    const StepSpec& spec = m_jobs.at(id).steps.at(step);
    for (uint32_t index = 0; index < spec.count; ++index) {
        const bool isTaskCompleted = m_completed.contains({ .step = { id, 0, step }, .index = index });
        // The completion of one member completes the whole gang.
        if (isTaskCompleted && spec.isGang)
            return true;
        if (!isTaskCompleted && !spec.isGang)
            return false;
    }
    return !spec.isGang;
}

void InvariantChecker::onStateRead(const WorkflowId& id, const std::string& state, bool isUnknown)
{
    Job& job = m_jobs.at(id);
    if (isUnknown) {
        if (job.isAccepted)
            addViolation("job " + id.value() + " was accepted and is now unknown");
        return;
    }
    job.state = state;
    if (state == "completed") {
        for (uint32_t step = 0; step < job.steps.size(); ++step) {
            if (!isCompleted(id, step))
                addViolation(
                    "job " + id.value() + " is shown as completed, but step " + std::to_string(step) + " is not done");
        }
    } else if (state == "failed") {
        const bool hasFailedTask = std::any_of(m_failures.begin(), m_failures.end(),
            [&](const auto& item) { return item.first.step.workflow == id && item.second >= maxAttempts; });
        const bool hasGang
            = std::any_of(job.steps.begin(), job.steps.end(), [](const StepSpec& step) { return step.isGang; });
        const bool mayBeGivenUp = std::any_of(m_crashes.begin(), m_crashes.end(),
            [&](const auto& item) { return item.first.step.workflow == id && item.second >= crashesBeforeGivingUp; });
        if (!hasFailedTask && !hasGang && !mayBeGivenUp)
            addViolation("job " + id.value() + " is shown as failed, but no task has failed often enough");
    } else if (state == "cancelled" && !job.cancelSentAt) {
        addViolation("job " + id.value() + " is shown as cancelled, but nobody cancelled it");
    }
}

void InvariantChecker::onRunStarted(
    const WorkerId& worker, const RunRef& run, const std::string& command, TimePoint now)
{
    ++m_startedRuns;
    const auto& ref = run.task;
    const std::string name = describe(ref) + " on " + worker.value();
    const auto found = m_jobs.find(ref.step.workflow);
    if (found == m_jobs.end() || ref.step.step >= found->second.steps.size()
        || ref.index >= found->second.steps[ref.step.step].count)
        return addViolation("a start of " + name + ", which was never submitted");
    const Job& job = found->second;
    if (!job.isAccepted && !job.mayHaveBeenAccepted)
        addViolation("a start of " + name + ", whose job was refused");
    if (job.command != command)
        addViolation("a start of " + name + " with another command");
    if (m_confirmedCompletions.contains(ref))
        addViolation("a start of " + name + " after its completion was confirmed");
    if (const auto failures = m_confirmedFailures.find(ref);
        failures != m_confirmedFailures.end() && failures->second >= maxAttempts)
        addViolation("a start of " + name + " after " + std::to_string(failures->second) + " failures");
    for (const uint32_t dependency : job.steps[ref.step.step].dependencies) {
        if (!isCompleted(ref.step.workflow, dependency))
            addViolation("a start of " + name + " before step " + std::to_string(dependency) + " is done");
    }
    if (job.cancelledAt && *job.cancelledAt > m_quietSince && now - *job.cancelledAt > cancelDeadline)
        addViolation("a start of " + name + " long after its job was cancelled");
}

void InvariantChecker::onRunEnded(const ReportedEnd& end)
{
    if (end.outcome == RunOutcome::Done)
        m_completed.insert(end.run.task);
    if (end.outcome == RunOutcome::Failed)
        ++m_failures[end.run.task];
}

void InvariantChecker::onEndConfirmed(const ReportedEnd& end)
{
    if (end.outcome == RunOutcome::Done)
        m_confirmedCompletions.insert(end.run.task);
    if (end.outcome == RunOutcome::Failed)
        ++m_confirmedFailures[end.run.task];
}

void InvariantChecker::onWorkerCrashed(const SimulatedWorker& worker)
{
    for (const auto& [task, run] : worker.runs())
        ++m_crashes[task];
    // Nobody can tell these from runs that were still there.
    for (const auto& end : worker.unconfirmedEnds())
        ++m_crashes[end.run.task];
}

void InvariantChecker::checkWorkers(const std::vector<std::unique_ptr<SimulatedWorker>>& workers)
{
    std::map<TaskRef, WorkerId> workerOfTask;
    for (const auto& worker : workers) {
        Resources used;
        std::map<StepRef, uint32_t> perStep;
        for (const auto& task : worker->drainDoubleStarts())
            addViolation("task " + describe(task) + " runs twice on " + worker->profile().incarnation.worker.value());
        for (const auto& [task, run] : worker->runs()) {
            used += run.spec.perTask;
            const uint32_t count = ++perStep[task.step];
            if (run.spec.maxPerWorker && count > run.spec.maxPerWorker)
                addViolation("step " + describe(task.step) + " has too many tasks on one worker");
            const auto [at, isOnly] = workerOfTask.try_emplace(task, worker->profile().incarnation.worker);
            if (!isOnly)
                addViolation("task " + describe(task) + " runs on " + at->second.value() + " and "
                    + worker->profile().incarnation.worker.value());
        }
        if (!used.fitsInto(worker->profile().capacity))
            addViolation("worker " + worker->profile().incarnation.worker.value() + " is over its capacity");
    }
}

SimulatedWorker::Behaviour InvariantChecker::behaviourOf(const RunRef& run) const
{
    // Depends only on the ids, so that all runs of a task behave the same.
    const uint64_t hash = hashBytes(describe(run.task));
    constexpr uint64_t failingShare = 60;
    const auto job = m_jobs.find(run.task.step.workflow);
    StepSpec spec;
    if (job != m_jobs.end() && run.task.step.step < job->second.steps.size())
        spec = job->second.steps[run.task.step.step];
    return { .spec = spec, .runTime = Duration(100'000 + hash % 1'200'000), .fails = hash % failingShare == 0 };
}

std::vector<WorkflowId> InvariantChecker::unfinishedJobs() const
{
    std::vector<WorkflowId> unfinished;
    for (const auto& [id, job] : m_jobs) {
        const bool hasEnded = job.state == "completed" || job.state == "failed" || job.state == "cancelled";
        if (job.isAccepted && !hasEnded && !job.cancelSentAt)
            unfinished.push_back(id);
    }
    return unfinished;
}

} // namespace hickoryknot::soak

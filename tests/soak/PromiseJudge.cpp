#include "PromiseJudge.h"

#include <algorithm>

#include "core/Hash.h"

namespace hickoryknot::soak {

using namespace workflow;

namespace {

/// An acknowledged cancelling must be heeded within this time when nothing is disturbed.
constexpr Duration cancelBound = 3s;
constexpr size_t maxViolations = 20;

} // namespace

void PromiseJudge::fail(const std::string& violation)
{
    if (m_violations.size() < maxViolations)
        m_violations.push_back(violation);
}

void PromiseJudge::submitted(const WorkflowId& id, std::string command, std::vector<StepSpec> steps)
{
    m_jobs[id] = { .command = std::move(command), .steps = std::move(steps), .state = {} };
}

void PromiseJudge::accepted(const WorkflowId& id) { m_jobs.at(id).isAccepted = true; }

void PromiseJudge::unanswered(const WorkflowId& id) { m_jobs.at(id).isInDoubt = true; }

void PromiseJudge::refused(const WorkflowId& id) { m_jobs.at(id).isInDoubt = false; }

void PromiseJudge::cancelSent(const WorkflowId& id, TimePoint now) { m_jobs.at(id).cancelSentAt = now; }

void PromiseJudge::cancelled(const WorkflowId& id, TimePoint now) { m_jobs.at(id).cancelledAt = now; }

bool PromiseJudge::isDone(const WorkflowId& id, uint32_t step) const
{
    const StepSpec& spec = m_jobs.at(id).steps.at(step);
    for (uint32_t index = 0; index < spec.count; ++index) {
        const bool isTaskDone = m_done.contains({ .step = { id, 0, step }, .index = index });
        // One member's end stands for the whole gang.
        if (isTaskDone && spec.isGang)
            return true;
        if (!isTaskDone && !spec.isGang)
            return false;
    }
    return !spec.isGang;
}

void PromiseJudge::stateShown(const WorkflowId& id, const std::string& state, bool isUnknown)
{
    Job& job = m_jobs.at(id);
    if (isUnknown) {
        if (job.isAccepted)
            fail("job " + id.value() + " was accepted and is not known any more");
        return;
    }
    job.state = state;
    if (state == "completed") {
        for (uint32_t step = 0; step < job.steps.size(); ++step) {
            if (!isDone(id, step))
                fail("job " + id.value() + " is shown as completed, but step " + std::to_string(step) + " is not done");
        }
    } else if (state == "failed") {
        const bool hasCause = std::any_of(m_failures.begin(), m_failures.end(),
            [&](const auto& item) { return item.first.step.workflow == id && item.second >= maxAttempts; });
        const bool hasGang
            = std::any_of(job.steps.begin(), job.steps.end(), [](const StepSpec& step) { return step.isGang; });
        if (!hasCause && !hasGang)
            fail("job " + id.value() + " is shown as failed, but no task has failed often enough");
    } else if (state == "cancelled" && !job.cancelSentAt) {
        fail("job " + id.value() + " is shown as cancelled, but nobody cancelled it");
    }
}

void PromiseJudge::runStarted(const WorkerId& worker, const RunRef& run, const std::string& command, TimePoint now)
{
    ++m_started;
    const auto& ref = run.task;
    const std::string name = describe(ref) + " on " + worker.value();
    const auto found = m_jobs.find(ref.step.workflow);
    if (found == m_jobs.end() || ref.step.step >= found->second.steps.size()
        || ref.index >= found->second.steps[ref.step.step].count)
        return fail("a start of " + name + ", which nobody asked for");
    const Job& job = found->second;
    if (!job.isAccepted && !job.isInDoubt)
        fail("a start of " + name + ", whose job was refused each time");
    if (job.command != command)
        fail("a start of " + name + " with another command");
    if (m_confirmedDone.contains(ref))
        fail("a start of " + name + ", whose end as done was confirmed");
    if (const auto failures = m_confirmedFailures.find(ref);
        failures != m_confirmedFailures.end() && failures->second >= maxAttempts)
        fail("a start of " + name + " after " + std::to_string(failures->second) + " failures");
    for (const uint32_t earlier : job.steps[ref.step.step].dependencies) {
        if (!isDone(ref.step.workflow, earlier))
            fail("a start of " + name + " before step " + std::to_string(earlier) + " is done");
    }
    if (job.cancelledAt && *job.cancelledAt > m_calmSince && now - *job.cancelledAt > cancelBound)
        fail("a start of " + name + ", which was cancelled long ago");
}

void PromiseJudge::runEnded(const ReportedEnd& end)
{
    if (end.outcome == RunOutcome::Done)
        m_done.insert(end.run.task);
    if (end.outcome == RunOutcome::Failed)
        ++m_failures[end.run.task];
}

void PromiseJudge::endConfirmed(const ReportedEnd& end)
{
    if (end.outcome == RunOutcome::Done)
        m_confirmedDone.insert(end.run.task);
    if (end.outcome == RunOutcome::Failed)
        ++m_confirmedFailures[end.run.task];
}

void PromiseJudge::checkWorkers(const std::vector<std::unique_ptr<SimulatedWorker>>& workers)
{
    std::map<TaskRef, WorkerId> places;
    for (const auto& worker : workers) {
        Resources used;
        std::map<StepRef, uint32_t> perStep;
        for (const auto& [task, run] : worker->runs()) {
            used += run.spec.perTask;
            const uint32_t count = ++perStep[task.step];
            if (run.spec.maxPerWorker && count > run.spec.maxPerWorker)
                fail("step " + describe(task.step) + " has too many tasks on one worker");
            const auto [at, isOnly] = places.try_emplace(task, worker->profile().incarnation.worker);
            if (!isOnly)
                fail("task " + describe(task) + " runs on " + at->second.value() + " and "
                    + worker->profile().incarnation.worker.value());
        }
        if (!used.fitsInto(worker->profile().capacity))
            fail("worker " + worker->profile().incarnation.worker.value() + " is over its capacity");
    }
}

SimulatedWorker::Behaviour PromiseJudge::behaviourOf(const RunRef& run) const
{
    // Decided by the ids alone, so that every run of a task behaves alike.
    const uint64_t hash = hashBytes(describe(run.task));
    constexpr uint64_t hopelessShare = 60;
    const auto job = m_jobs.find(run.task.step.workflow);
    StepSpec spec;
    if (job != m_jobs.end() && run.task.step.step < job->second.steps.size())
        spec = job->second.steps[run.task.step.step];
    return { .spec = spec, .runTime = Duration(100'000 + hash % 1'200'000), .fails = hash % hopelessShare == 0 };
}

std::vector<WorkflowId> PromiseJudge::openJobs() const
{
    std::vector<WorkflowId> open;
    for (const auto& [id, job] : m_jobs) {
        const bool hasEnded = job.state == "completed" || job.state == "failed" || job.state == "cancelled";
        if (job.isAccepted && !hasEnded && !job.cancelSentAt)
            open.push_back(id);
    }
    return open;
}

} // namespace hickoryknot::soak

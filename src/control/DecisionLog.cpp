#include "control/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace hickoryknot {

using namespace workflow;

namespace {

/// Minimum time between two log lines that report lines left out.
constexpr Duration summaryPeriod = 1s;
/// Minimum time between two lines about calls without a valid key.
constexpr Duration unauthorisedLinePeriod = 1s;

const char* causeName(AdmissionController::Cause cause)
{
    switch (cause) {
    case AdmissionController::Cause::Overload:
        return "overload";
    case AdmissionController::Cause::OrganisationLimit:
        return "organisationLimit";
    case AdmissionController::Cause::OrganisationBacklog:
        return "organisationBacklog";
    case AdmissionController::Cause::OrganisationRate:
        return "organisationRate";
    }
    return "";
}

std::string milliseconds(Duration duration) { return std::to_string(duration / 1ms); }

} // namespace

DecisionLog::DecisionLog()
    : m_accepted(m_metrics.counter("hickoryknot_workflows_accepted_total", "Workflows recorded"))
    , m_refused(m_metrics.counter("hickoryknot_workflows_refused_total", "Workflows refused for lack of room"))
    , m_cancelled(m_metrics.counter("hickoryknot_workflows_cancelled_total", "Workflows cancelled"))
    , m_unknownCancelled(
          m_metrics.counter("hickoryknot_unknown_workflows_cancelled_total", "Cancellations of unknown workflows"))
    , m_unknownCancelsRefused(m_metrics.counter("hickoryknot_unknown_workflow_cancels_refused_total",
          "Cancellations of unknown workflows refused because the records of their organisation are full"))
    , m_completed(m_metrics.counter("hickoryknot_workflows_completed_total", "Workflows with all tasks done"))
    , m_failed(m_metrics.counter("hickoryknot_workflows_failed_total", "Workflows that used up their attempts"))
    , m_placed(m_metrics.counter("hickoryknot_tasks_placed_total", "Starts recorded"))
    , m_stopped(m_metrics.counter("hickoryknot_runs_stopped_total", "Runs told to stop"))
    , m_moved(m_metrics.counter("hickoryknot_runs_moved_total", "Runs that may be on a worker's next incarnation"))
    , m_ended(m_metrics.counter("hickoryknot_runs_not_done_total", "Runs that ended otherwise than done"))
    , m_permissionCalls(m_metrics.counter("hickoryknot_permission_calls_total", "Calls to the permission service"))
    , m_unauthorised(m_metrics.counter("hickoryknot_calls_unauthorised_total", "Calls without a valid key"))
    , m_commitTime(m_metrics.latency("hickoryknot_commit_seconds", "From a submission to its record"))
    , m_waitTime(m_metrics.latency("hickoryknot_task_wait_seconds", "From ready to placed"))
    , m_workflowTime(m_metrics.latency("hickoryknot_workflow_seconds", "From acceptance to the final state"))
    , m_permissionTime(m_metrics.latency("hickoryknot_permission_seconds", "Calls to the permission service"))
    , m_cycleDelay(m_metrics.latency("hickoryknot_cycle_delay_seconds", "From a due scheduling cycle to its start"))
    , m_cycleTime(m_metrics.latency("hickoryknot_cycle_seconds", "Scheduling cycles"))
{
}

void DecisionLog::writeOrdinary(const WorkflowId& id, Event event, std::string_view message, EventLog::Fields fields)
{
    if (m_budget.takeOrdinary(event, id))
        EventLog::write(EventLevel::Info, event, message, fields);
}

void DecisionLog::writeEssential(Event event, std::string_view message, EventLog::Fields fields)
{
    if (m_budget.takeEssential(event))
        EventLog::write(EventLevel::Info, event, message, fields);
}

void DecisionLog::tick(TimePoint now)
{
    m_budget.refill(now);
    writeUnauthorisedCalls(now);
    if (!m_budget.hasLeftOut() || now < m_nextSummary)
        return;
    m_nextSummary = now + summaryPeriod;
    uint64_t total = 0;
    std::string byEvent;
    for (const auto& [event, count] : m_budget.drainLeftOut()) {
        total += count;
        byEvent += (byEvent.empty() ? "" : " ") + std::string(eventName(event)) + "=" + std::to_string(count);
    }
    EventLog::write(EventLevel::Warning, Event::LinesLeftOut, "log lines were left out to bound the log",
        { { "count", std::to_string(total) }, { "byEvent", byEvent } });
}

void DecisionLog::onTasksPlaced(const StepRef& step, size_t tasks, size_t workers, Duration waitTime, Duration slack)
{
    m_metrics.add(m_placed, tasks);
    m_metrics.record(m_waitTime, waitTime);
    writeOrdinary(step.workflow, Event::TaskPlaced, "placed tasks of a step",
        { { "step", describe(step) }, { "tasks", std::to_string(tasks) }, { "workers", std::to_string(workers) },
            { "waitedMs", milliseconds(waitTime) }, { "slackMs", milliseconds(slack) } });
}

void DecisionLog::onStopRequested(const RunRef& run, const char* reason)
{
    m_metrics.add(m_stopped);
    writeEssential(Event::TaskStopped, "requested the stop of a run",
        { { "task", describe(run.task) }, { "run", std::to_string(run.run) }, { "reason", reason } });
}

void DecisionLog::onRunMoved(const RunRef& run, const WorkerIncarnation& to, bool isStopped)
{
    m_metrics.add(m_moved);
    writeEssential(Event::RunMoved, "a worker started again, and its new incarnation may have a run",
        { { "task", describe(run.task) }, { "run", std::to_string(run.run) }, { "worker", to.worker.value() },
            { "startedMs", std::to_string(to.startTimeMs) }, { "decidedBy", isStopped ? "stop" : "poll" } });
}

void DecisionLog::onRunEnded(const RunRef& run, const WorkerIncarnation& incarnation, RunOutcome end)
{
    if (end == RunOutcome::Done)
        return;
    m_metrics.add(m_ended);
    writeEssential(Event::TaskEnded, "a run ended without completing",
        { { "task", describe(run.task) }, { "run", std::to_string(run.run) }, { "worker", incarnation.worker.value() },
            { "startedMs", std::to_string(incarnation.startTimeMs) }, { "how", runOutcomeName(end) } });
}

void DecisionLog::onWorkflowEnded(const WorkflowRecord& record, Duration age)
{
    if (record.phase == WorkflowPhase::Completed)
        m_metrics.add(m_completed);
    if (record.phase == WorkflowPhase::Failed)
        m_metrics.add(m_failed);
    m_metrics.record(m_workflowTime, age);
    const EventLog::Fields fields { { "workflow", record.id.value() }, { "queue", record.queue.value() },
        { "state", workflowPhaseName(record.phase) }, { "ageMs", milliseconds(age) },
        { "cause", failureCauseName(record.failureCause) } };
    if (record.phase == WorkflowPhase::Completed)
        writeOrdinary(record.id, Event::JobFinished, "a workflow reached its final state", fields);
    else
        writeEssential(Event::JobFinished, "a workflow reached its final state", fields);
    m_budget.end(record.id);
}

void DecisionLog::onAccepted(const WorkflowId& id, const QueueName& queue, Duration commitTime)
{
    m_metrics.add(m_accepted);
    m_metrics.record(m_commitTime, commitTime);
    m_budget.begin(id);
    writeOrdinary(id, Event::JobAccepted, "a workflow was accepted and committed",
        { { "workflow", id.value() }, { "queue", queue.value() }, { "commitMs", milliseconds(commitTime) } });
}

void DecisionLog::onRefused(
    const WorkflowId& id, const QueueName& queue, const AdmissionController::Rejection& rejection)
{
    m_metrics.add(m_refused);
    const bool isOverload = rejection.cause == AdmissionController::Cause::Overload;
    writeEssential(Event::RequestNotRun,
        isOverload ? "refused a workflow: the queued work exceeds what can end in time"
                   : "refused a workflow because of the limit or share of its organisation",
        { { "workflow", id.value() }, { "queue", queue.value() }, { "cause", causeName(rejection.cause) },
            { "expectedWaitMs", milliseconds(rejection.expectedWait) }, { "slackMs", milliseconds(rejection.slack) },
            { "returnAfterMs", milliseconds(rejection.retryAfter) } });
}

void DecisionLog::onCancelled(const WorkflowId& id)
{
    m_metrics.add(m_cancelled);
    writeEssential(Event::JobCancelled, "a caller cancelled a workflow", { { "workflow", id.value() } });
}

void DecisionLog::onUnknownCancelled(const EarlyCancellation::Key& key, bool isRecorded)
{
    m_metrics.add(isRecorded ? m_unknownCancelled : m_unknownCancelsRefused);
    writeEssential(isRecorded ? Event::JobCancelled : Event::RequestNotRun,
        isRecorded ? "recorded the cancellation of a workflow that is not known"
                   : "refused to cancel a workflow that is not known: the records of its organisation are full",
        { { "workflow", key.id.value() }, { "organisation", key.organisation.value() } });
}

void DecisionLog::onUnauthorisedCall(const QueueName& queue, TimePoint now)
{
    m_metrics.add(m_unauthorised);
    ++m_unauthorisedSinceLine;
    m_lastUnauthorisedQueue = queue;
    writeUnauthorisedCalls(now);
}

void DecisionLog::writeUnauthorisedCalls(TimePoint now)
{
    if (!m_unauthorisedSinceLine || now < m_nextUnauthorisedLine)
        return;
    m_nextUnauthorisedLine = now + unauthorisedLinePeriod;
    writeEssential(Event::CallUnauthorised, "refused calls without a valid key",
        { { "lastQueue", m_lastUnauthorisedQueue.value() },
            { "calls", std::to_string(std::exchange(m_unauthorisedSinceLine, 0)) } });
}

void DecisionLog::onPermissionResponse(
    const StepRef& step, size_t requestedWorkers, size_t grantedWorkers, Duration callTime)
{
    m_metrics.add(m_permissionCalls);
    m_metrics.record(m_permissionTime, callTime);
    writeOrdinary(step.workflow, Event::PermissionAnswered, "received a response from the permission service",
        { { "step", describe(step) }, { "asked", std::to_string(requestedWorkers) },
            { "granted", std::to_string(grantedWorkers) }, { "tookMs", milliseconds(callTime) } });
}

void DecisionLog::onCycle(Duration delay, Duration duration)
{
    m_metrics.record(m_cycleDelay, delay);
    m_metrics.record(m_cycleTime, duration);
}

} // namespace hickoryknot

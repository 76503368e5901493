#include "control/DecisionLog.h"

#include <algorithm>

namespace hickoryknot {

using namespace workflow;

namespace {

/// Minimum time between two log lines that report dropped lines.
constexpr Duration summaryPeriod = 1s;
/// Rate and burst of the log's token bucket. 60 workflows per second write about 200 lines per second, and a line takes
/// about 20 us of CPU time.
constexpr double maxLinesPerSecond = 300;
constexpr double maxBurstLines = 600;

std::string milliseconds(Duration duration) { return std::to_string(duration / 1ms); }

} // namespace

DecisionLog::DecisionLog()
    : m_accepted(m_metrics.counter("hickoryknot_workflows_accepted_total", "Workflows recorded"))
    , m_refused(m_metrics.counter("hickoryknot_workflows_refused_total", "Workflows refused for lack of room"))
    , m_cancelled(m_metrics.counter("hickoryknot_workflows_cancelled_total", "Workflows cancelled"))
    , m_completed(m_metrics.counter("hickoryknot_workflows_completed_total", "Workflows with all tasks done"))
    , m_failed(m_metrics.counter("hickoryknot_workflows_failed_total", "Workflows that used up their attempts"))
    , m_placed(m_metrics.counter("hickoryknot_tasks_placed_total", "Starts recorded"))
    , m_stopped(m_metrics.counter("hickoryknot_runs_stopped_total", "Runs told to stop"))
    , m_ended(m_metrics.counter("hickoryknot_runs_not_done_total", "Runs that ended otherwise than done"))
    , m_permissionCalls(m_metrics.counter("hickoryknot_permission_calls_total", "Calls to the permission service"))
    , m_commitTime(m_metrics.latency("hickoryknot_commit_seconds", "From a submission to its record"))
    , m_waitTime(m_metrics.latency("hickoryknot_task_wait_seconds", "From ready to placed"))
    , m_workflowTime(m_metrics.latency("hickoryknot_workflow_seconds", "From acceptance to the final state"))
    , m_permissionTime(m_metrics.latency("hickoryknot_permission_seconds", "Calls to the permission service"))
    , m_tokens(maxBurstLines)
{
}

void DecisionLog::write(EventLevel level, Event event, std::string_view message, EventLog::Fields fields)
{
    if (m_tokens < 1) {
        ++m_droppedLines;
        return;
    }
    m_tokens -= 1;
    EventLog::write(level, event, message, fields);
}

void DecisionLog::tick(TimePoint now)
{
    const Duration elapsed = std::clamp<Duration>(now - m_lastRefill, Duration(0), 10s);
    m_lastRefill = now;
    m_tokens = std::min(maxBurstLines, m_tokens + maxLinesPerSecond * static_cast<double>(elapsed.count()) / 1e6);
    if (!m_droppedLines || m_tokens < 1 || now < m_nextSummary)
        return;
    m_nextSummary = now + summaryPeriod;
    const uint64_t count = std::exchange(m_droppedLines, 0);
    write(EventLevel::Warning, Event::LinesLeftOut, "log lines were dropped by the rate limit",
        { { "count", std::to_string(count) } });
}

void DecisionLog::onTasksPlaced(const StepRef& step, size_t tasks, size_t workers, Duration waitTime, Duration slack)
{
    m_metrics.add(m_placed, tasks);
    m_metrics.record(m_waitTime, waitTime);
    write(EventLevel::Info, Event::TaskPlaced, "placed tasks of a step",
        { { "step", describe(step) }, { "tasks", std::to_string(tasks) }, { "workers", std::to_string(workers) },
            { "waitedMs", milliseconds(waitTime) }, { "slackMs", milliseconds(slack) } });
}

void DecisionLog::onStopRequested(const RunRef& run, const char* reason)
{
    m_metrics.add(m_stopped);
    write(EventLevel::Info, Event::TaskStopped, "requested the stop of a run",
        { { "task", describe(run.task) }, { "run", std::to_string(run.run) }, { "reason", reason } });
}

void DecisionLog::onRunEnded(const RunRef& run, const WorkerIncarnation& incarnation, RunOutcome end)
{
    if (end == RunOutcome::Done)
        return;
    m_metrics.add(m_ended);
    write(EventLevel::Info, Event::TaskEnded, "a run ended without completing",
        { { "task", describe(run.task) }, { "run", std::to_string(run.run) }, { "worker", incarnation.worker.value() },
            { "how", runOutcomeName(end) } });
}

void DecisionLog::onWorkflowEnded(const WorkflowRecord& record, Duration age)
{
    if (record.phase == WorkflowPhase::Completed)
        m_metrics.add(m_completed);
    if (record.phase == WorkflowPhase::Failed)
        m_metrics.add(m_failed);
    m_metrics.record(m_workflowTime, age);
    write(EventLevel::Info, Event::JobFinished, "a workflow reached its final state",
        { { "workflow", record.id.value() }, { "queue", record.queue.value() },
            { "state", workflowPhaseName(record.phase) }, { "ageMs", milliseconds(age) } });
}

void DecisionLog::onAccepted(const WorkflowId& id, const QueueName& queue, Duration commitTime)
{
    m_metrics.add(m_accepted);
    m_metrics.record(m_commitTime, commitTime);
    write(EventLevel::Info, Event::JobAccepted, "a workflow was accepted and committed",
        { { "workflow", id.value() }, { "queue", queue.value() }, { "commitMs", milliseconds(commitTime) } });
}

void DecisionLog::onRefused(const WorkflowId& id, const QueueName& queue, Duration retryAfter)
{
    m_metrics.add(m_refused);
    write(EventLevel::Info, Event::RequestNotRun, "refused a workflow: the queued work exceeds what can end in time",
        { { "workflow", id.value() }, { "queue", queue.value() }, { "returnAfterMs", milliseconds(retryAfter) } });
}

void DecisionLog::onCancelled(const WorkflowId& id)
{
    m_metrics.add(m_cancelled);
    write(EventLevel::Info, Event::JobCancelled, "a caller cancelled a workflow", { { "workflow", id.value() } });
}

void DecisionLog::onPermissionResponse(
    const StepRef& step, size_t requestedWorkers, size_t grantedWorkers, Duration callTime)
{
    m_metrics.add(m_permissionCalls);
    m_metrics.record(m_permissionTime, callTime);
    write(EventLevel::Info, Event::PermissionAnswered, "received a response from the permission service",
        { { "step", describe(step) }, { "asked", std::to_string(requestedWorkers) },
            { "granted", std::to_string(grantedWorkers) }, { "tookMs", milliseconds(callTime) } });
}

} // namespace hickoryknot

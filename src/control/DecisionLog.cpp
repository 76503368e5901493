#include "control/DecisionLog.h"

#include <algorithm>

namespace hickoryknot {

using namespace workflow;

namespace {

/// Between two lines that say how many were left out.
constexpr Duration summaryPeriod = 1s;
/// Lines a second, and lines that may come at once: a quiet day of 60 workflows a second writes about 200, and a line
/// takes some 20 us of a processor.
constexpr double linesPerSecond = 300;
constexpr double burstLines = 600;

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
    , m_age(m_metrics.latency("hickoryknot_workflow_seconds", "From acceptance to the final state"))
    , m_permissionTime(m_metrics.latency("hickoryknot_permission_seconds", "Calls to the permission service"))
    , m_tokens(burstLines)
{
}

void DecisionLog::write(EventLevel level, Event event, std::string_view sentence, EventLog::Fields fields)
{
    if (m_tokens < 1) {
        ++m_leftOut;
        return;
    }
    m_tokens -= 1;
    EventLog::write(level, event, sentence, fields);
}

void DecisionLog::tick(TimePoint now)
{
    const Duration passed = std::clamp<Duration>(now - m_refilledAt, Duration(0), 10s);
    m_refilledAt = now;
    m_tokens = std::min(burstLines, m_tokens + linesPerSecond * static_cast<double>(passed.count()) / 1e6);
    if (!m_leftOut || m_tokens < 1 || now < m_nextSummary)
        return;
    m_nextSummary = now + summaryPeriod;
    const uint64_t count = std::exchange(m_leftOut, 0);
    write(EventLevel::Warning, Event::LinesLeftOut, "lines were left out to bound the log",
        { { "count", std::to_string(count) } });
}

void DecisionLog::onTasksPlaced(const StepRef& step, size_t tasks, size_t workers, Duration waited, Duration slack)
{
    m_metrics.add(m_placed, tasks);
    m_metrics.record(m_waitTime, waited);
    write(EventLevel::Info, Event::TaskPlaced, "tasks of a step are placed",
        { { "step", describe(step) }, { "tasks", std::to_string(tasks) }, { "workers", std::to_string(workers) },
            { "waitedMs", milliseconds(waited) }, { "slackMs", milliseconds(slack) } });
}

void DecisionLog::onStopRequested(const RunRef& run, const char* reason)
{
    m_metrics.add(m_stopped);
    write(EventLevel::Info, Event::TaskStopped, "a run is told to stop",
        { { "task", describe(run.task) }, { "run", std::to_string(run.run) }, { "reason", reason } });
}

void DecisionLog::onRunEnded(const RunRef& run, const WorkerIncarnation& life, RunOutcome end)
{
    if (end == RunOutcome::Done)
        return;
    m_metrics.add(m_ended);
    write(EventLevel::Info, Event::TaskEnded, "a run ended without being done",
        { { "task", describe(run.task) }, { "run", std::to_string(run.run) }, { "worker", life.worker.value() },
            { "how", runOutcomeName(end) } });
}

void DecisionLog::onWorkflowEnded(const WorkflowRecord& record, Duration age)
{
    if (record.phase == WorkflowPhase::Completed)
        m_metrics.add(m_completed);
    if (record.phase == WorkflowPhase::Failed)
        m_metrics.add(m_failed);
    m_metrics.record(m_age, age);
    write(EventLevel::Info, Event::JobFinished, "a workflow has its final state",
        { { "workflow", record.id.value() }, { "queue", record.queue.value() },
            { "state", workflowPhaseName(record.phase) }, { "ageMs", milliseconds(age) } });
}

void DecisionLog::accepted(const WorkflowId& id, const QueueName& queue, Duration commitTime)
{
    m_metrics.add(m_accepted);
    m_metrics.record(m_commitTime, commitTime);
    write(EventLevel::Info, Event::JobAccepted, "a workflow is recorded",
        { { "workflow", id.value() }, { "queue", queue.value() }, { "commitMs", milliseconds(commitTime) } });
}

void DecisionLog::refused(const WorkflowId& id, const QueueName& queue, Duration returnAfter)
{
    m_metrics.add(m_refused);
    write(EventLevel::Info, Event::RequestNotRun, "more work is waiting than can end in time",
        { { "workflow", id.value() }, { "queue", queue.value() }, { "returnAfterMs", milliseconds(returnAfter) } });
}

void DecisionLog::cancelled(const WorkflowId& id)
{
    m_metrics.add(m_cancelled);
    write(
        EventLevel::Info, Event::JobCancelled, "a workflow is cancelled by its caller", { { "workflow", id.value() } });
}

void DecisionLog::permissionAnswered(const StepRef& step, size_t asked, size_t granted, Duration took)
{
    m_metrics.add(m_permissionCalls);
    m_metrics.record(m_permissionTime, took);
    write(EventLevel::Info, Event::PermissionAnswered, "the permission service answered",
        { { "step", describe(step) }, { "asked", std::to_string(asked) }, { "granted", std::to_string(granted) },
            { "tookMs", milliseconds(took) } });
}

} // namespace hickoryknot

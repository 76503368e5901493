#pragma once

#include <cstdint>
#include <string>

#include "app/EventLog.h"
#include "core/Time.h"
#include "report/Metrics.h"
#include "workflow/SchedulerObserver.h"

namespace hickoryknot {

/// Logs and counts scheduling decisions, one line each. Lines above a rate limit are dropped and reported as a count,
/// so that a burst cannot fill the log or take much CPU time.
class DecisionLog final : public workflow::SchedulerObserver {
public:
    DecisionLog();

    void onTasksPlaced(
        const workflow::StepRef&, size_t tasks, size_t workers, Duration waitTime, Duration slack) override;
    void onStopRequested(const workflow::RunRef&, const char* reason) override;
    void onRunEnded(const workflow::RunRef&, const workflow::WorkerIncarnation&, workflow::RunOutcome) override;
    void onWorkflowEnded(const workflow::WorkflowRecord&, Duration age) override;

    void onAccepted(const workflow::WorkflowId&, const workflow::QueueName&, Duration commitTime);
    void onRefused(const workflow::WorkflowId&, const workflow::QueueName&, Duration retryAfter);
    void onCancelled(const workflow::WorkflowId&);
    void onPermissionResponse(
        const workflow::StepRef&, size_t requestedWorkers, size_t grantedWorkers, Duration callTime);

    /// Refills the rate limit and logs the number of dropped lines, at most once per second. Call it periodically.
    void tick(TimePoint now);

    const Metrics& metrics() const { return m_metrics; }

private:
    void write(EventLevel, Event, std::string_view message, EventLog::Fields);

    Metrics m_metrics;
    CounterId m_accepted;
    CounterId m_refused;
    CounterId m_cancelled;
    CounterId m_completed;
    CounterId m_failed;
    CounterId m_placed;
    CounterId m_stopped;
    CounterId m_ended;
    CounterId m_permissionCalls;
    LatencyId m_commitTime;
    LatencyId m_waitTime;
    LatencyId m_workflowTime;
    LatencyId m_permissionTime;
    double m_tokens { 0 };
    TimePoint m_lastRefill;
    TimePoint m_nextSummary;
    uint64_t m_droppedLines { 0 };
};

} // namespace hickoryknot

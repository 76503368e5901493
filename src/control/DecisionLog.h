#pragma once

#include <cstdint>
#include <string>

#include "app/EventLog.h"
#include "control/LogBudget.h"
#include "core/Time.h"
#include "report/Metrics.h"
#include "workflow/AdmissionController.h"
#include "workflow/EarlyCancellation.h"
#include "workflow/SchedulerObserver.h"

namespace hickoryknot {

/// Logs and counts scheduling decisions, one line each. LogBudget bounds the lines, so that a burst cannot fill the log
/// or take much CPU time; the lines that were left out are reported as counts by event.
class DecisionLog final : public workflow::SchedulerObserver {
public:
    DecisionLog();

    void onTasksPlaced(
        const workflow::StepRef&, size_t tasks, size_t workers, Duration waitTime, Duration slack) override;
    void onStopRequested(const workflow::RunRef&, const char* reason) override;
    void onRunMoved(const workflow::RunRef&, const workflow::WorkerIncarnation& to, bool isStopped) override;
    void onRunEnded(const workflow::RunRef&, const workflow::WorkerIncarnation&, workflow::RunOutcome) override;
    void onWorkflowEnded(const workflow::WorkflowRecord&, Duration age) override;

    void onAccepted(const workflow::WorkflowId&, const workflow::QueueName&, Duration commitTime);
    void onRefused(
        const workflow::WorkflowId&, const workflow::QueueName&, const workflow::AdmissionController::Rejection&);
    void onCancelled(const workflow::WorkflowId&);
    /// A caller cancelled a workflow that is not known. `isRecorded` is false if the records of its organisation are
    /// full and the call was refused.
    void onUnknownCancelled(const workflow::EarlyCancellation::Key&, bool isRecorded);
    /// A call for this queue came without a valid key. Writes at most one line per second, so that such calls take
    /// little of the budget.
    void onUnauthorisedCall(const workflow::QueueName&, TimePoint now);
    void onPermissionResponse(
        const workflow::StepRef&, size_t requestedWorkers, size_t grantedWorkers, Duration callTime);
    /// A scheduling cycle started `delay` after it was due and took `duration`.
    void onCycle(Duration delay, Duration duration);

    /// Another host leads from now on.
    void onLeadershipEnded() { m_budget.clear(); }

    /// Refills the budget, and logs the calls without a key and the lines left out, at most once per second each. Call
    /// it periodically.
    void tick(TimePoint now);

    const Metrics& metrics() const { return m_metrics; }

private:
    void writeOrdinary(const workflow::WorkflowId&, Event, std::string_view message, EventLog::Fields);
    void writeEssential(Event, std::string_view message, EventLog::Fields);
    void writeUnauthorisedCalls(TimePoint now);

    Metrics m_metrics;
    CounterId m_accepted;
    CounterId m_refused;
    CounterId m_cancelled;
    CounterId m_unknownCancelled;
    CounterId m_unknownCancelsRefused;
    CounterId m_completed;
    CounterId m_failed;
    CounterId m_placed;
    CounterId m_stopped;
    CounterId m_moved;
    CounterId m_ended;
    CounterId m_permissionCalls;
    CounterId m_unauthorised;
    LatencyId m_commitTime;
    LatencyId m_waitTime;
    LatencyId m_workflowTime;
    LatencyId m_permissionTime;
    LatencyId m_cycleDelay;
    LatencyId m_cycleTime;
    LogBudget m_budget;
    TimePoint m_nextSummary;
    TimePoint m_nextUnauthorisedLine;
    uint64_t m_unauthorisedSinceLine { 0 };
    workflow::QueueName m_lastUnauthorisedQueue;
};

} // namespace hickoryknot

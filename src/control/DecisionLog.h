#pragma once

#include <cstdint>
#include <string>

#include "app/EventLog.h"
#include "core/Time.h"
#include "report/Metrics.h"
#include "workflow/SchedulerObserver.h"

namespace hickoryknot {

/// Writes one line for each decision that touches a workflow or changes what the host believes, and counts them. Lines
/// beyond a rate are left out and summed up, so that a burst cannot fill the log or the processor.
class DecisionLog final : public workflow::SchedulerObserver {
public:
    DecisionLog();

    void onTasksPlaced(
        const workflow::StepRef&, size_t tasks, size_t workers, Duration waited, Duration slack) override;
    void onStopRequested(const workflow::RunRef&, const char* reason) override;
    void onRunEnded(const workflow::RunRef&, const workflow::WorkerIncarnation&, workflow::RunOutcome) override;
    void onWorkflowEnded(const workflow::WorkflowRecord&, Duration age) override;

    void accepted(const workflow::WorkflowId&, const workflow::QueueName&, Duration commitTime);
    void refused(const workflow::WorkflowId&, const workflow::QueueName&, Duration returnAfter);
    void cancelled(const workflow::WorkflowId&);
    void permissionAnswered(const workflow::StepRef&, size_t asked, size_t granted, Duration took);

    /// Sums up what was left out, at most once a second. May be called as often as is convenient.
    void tick(TimePoint now);

    const Metrics& metrics() const { return m_metrics; }

private:
    void write(EventLevel, Event, std::string_view sentence, EventLog::Fields);

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
    LatencyId m_age;
    LatencyId m_permissionTime;
    double m_tokens { 0 };
    TimePoint m_refilledAt;
    TimePoint m_nextSummary;
    uint64_t m_leftOut { 0 };
};

} // namespace hickoryknot

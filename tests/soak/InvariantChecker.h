#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/Time.h"
#include "workflow/SimulatedWorker.h"

namespace hickoryknot::soak {

/// Checks the scheduler's guarantees against what callers and workers observe. Has no access to the hosts under test.
class InvariantChecker {
public:
    static constexpr uint32_t maxAttempts = 3;

    /// A submitted job and its observed state.
    struct Job {
        std::string command;
        std::vector<workflow::StepSpec> steps;
        bool isAccepted { false };
        bool mayHaveBeenAccepted { false }; // A submission had no definite response, so the job may run.
        std::optional<TimePoint> cancelSentAt;
        std::optional<TimePoint> cancelledAt; // The cancellation was acknowledged.
        std::string state; // As last read by a caller.
    };

    void onSubmitted(const workflow::WorkflowId&, std::string command, std::vector<workflow::StepSpec>);
    void onAccepted(const workflow::WorkflowId&);
    /// A submission is in progress or had no definite response: from now on the job may run.
    void onUncertain(const workflow::WorkflowId&);
    /// The only submission was refused: the job must not run.
    void onRefused(const workflow::WorkflowId&);
    void onCancelSent(const workflow::WorkflowId&, TimePoint now);
    void onCancelAcknowledged(const workflow::WorkflowId&, TimePoint now);
    /// A caller read this state; `isUnknown` if the response was that there is no such job.
    void onStateRead(const workflow::WorkflowId&, const std::string& state, bool isUnknown);

    void onRunStarted(const WorkerId&, const workflow::RunRef&, const std::string& command, TimePoint now);
    void onRunEnded(const workflow::ReportedEnd&);
    /// The worker is about to lose its runs and the ends that it has not reported.
    void onWorkerCrashed(const workflow::SimulatedWorker&);
    void onEndConfirmed(const workflow::ReportedEnd&);
    /// Checks the runs of all workers for duplicates and for capacity.
    void checkWorkers(const std::vector<std::unique_ptr<workflow::SimulatedWorker>>&);

    /// Guarantees with a time limit are only checked from this time on, some seconds after the last fault.
    void setQuietSince(TimePoint since) { m_quietSince = since; }

    workflow::SimulatedWorker::Behaviour behaviourOf(const workflow::RunRef&) const;
    const std::map<workflow::WorkflowId, Job>& jobs() const { return m_jobs; }
    /// Accepted jobs that have neither ended nor been cancelled according to the callers.
    std::vector<workflow::WorkflowId> unfinishedJobs() const;

    void addViolation(const std::string& violation);
    const std::vector<std::string>& violations() const { return m_violations; }
    size_t startedRuns() const { return m_startedRuns; }

private:
    bool isCompleted(const workflow::WorkflowId&, uint32_t step) const;

    std::map<workflow::WorkflowId, Job> m_jobs;
    std::set<workflow::TaskRef> m_completed; // Completed on a worker.
    std::set<workflow::TaskRef>
        m_confirmedCompletions; // The scheduler confirmed to the worker that the end is committed.
    std::map<workflow::TaskRef, uint32_t> m_confirmedFailures;
    std::map<workflow::TaskRef, uint32_t> m_failures;
    std::map<workflow::TaskRef, uint32_t> m_crashes; // Workers that crashed with a run of the task.
    TimePoint m_quietSince { TimePoint::max() };
    size_t m_startedRuns { 0 };
    std::vector<std::string> m_violations;
};

} // namespace hickoryknot::soak

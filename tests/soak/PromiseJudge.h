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

/// Checks what callers and workers see against what is promised. Knows nothing of the hosts under test.
class PromiseJudge {
public:
    static constexpr uint32_t maxAttempts = 3;

    /// What one job asks for, and what has become of it.
    struct Job {
        std::string command;
        std::vector<workflow::StepSpec> steps;
        bool isAccepted { false };
        bool isInDoubt { false }; // A call went without a clear answer: it may run.
        std::optional<TimePoint> cancelSentAt;
        std::optional<TimePoint> cancelledAt; // The cancelling was acknowledged.
        std::string state; // As a caller saw it last.
    };

    void submitted(const workflow::WorkflowId&, std::string command, std::vector<workflow::StepSpec>);
    void accepted(const workflow::WorkflowId&);
    /// A call is under way or went without a clear answer: from now on the job may run.
    void unanswered(const workflow::WorkflowId&);
    /// The only call was answered by a refusal: the job must not run.
    void refused(const workflow::WorkflowId&);
    void cancelSent(const workflow::WorkflowId&, TimePoint now);
    void cancelled(const workflow::WorkflowId&, TimePoint now);
    /// A caller was shown this state; `isUnknown`: it was told that there is no such job.
    void stateShown(const workflow::WorkflowId&, const std::string& state, bool isUnknown);

    void runStarted(const WorkerId&, const workflow::RunRef&, const std::string& command, TimePoint now);
    void runEnded(const workflow::ReportedEnd&);
    void endConfirmed(const workflow::ReportedEnd&);
    /// Everything that runs on all workers that are up.
    void checkWorkers(const std::vector<std::unique_ptr<workflow::SimulatedWorker>>&);

    /// Between faults and for some seconds after them, promises with a time bound are not checked.
    void setCalmSince(TimePoint since) { m_calmSince = since; }

    workflow::SimulatedWorker::Behaviour behaviourOf(const workflow::RunRef&) const;
    const std::map<workflow::WorkflowId, Job>& jobs() const { return m_jobs; }
    /// Accepted jobs that have neither ended nor been cancelled, as callers see it.
    std::vector<workflow::WorkflowId> openJobs() const;

    void fail(const std::string& violation);
    const std::vector<std::string>& violations() const { return m_violations; }
    size_t startedRuns() const { return m_started; }

private:
    bool isDone(const workflow::WorkflowId&, uint32_t step) const;

    std::map<workflow::WorkflowId, Job> m_jobs;
    std::set<workflow::TaskRef> m_done; // Ended as done on a worker.
    std::set<workflow::TaskRef> m_confirmedDone; // And the worker was told that the end is recorded.
    std::map<workflow::TaskRef, uint32_t> m_confirmedFailures;
    std::map<workflow::TaskRef, uint32_t> m_failures;
    TimePoint m_calmSince { TimePoint::max() };
    size_t m_started { 0 };
    std::vector<std::string> m_violations;
};

} // namespace hickoryknot::soak

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "workflow/AdmissionController.h"
#include "workflow/OrganisationAdmission.h"
#include "workflow/OrganisationStatus.h"
#include "workflow/Planner.h"
#include "workflow/RetentionQueue.h"
#include "workflow/RunController.h"
#include "workflow/RunTimeModel.h"
#include "workflow/WorkflowListener.h"
#include "workflow/WorkflowRecord.h"

namespace hickoryknot::workflow {

class SchedulerObserver;
class WorkflowState;

/// Scheduler on the leader of the replicated workflow state: handles reports and responses of workers, decides which
/// tasks start where, and returns the commands to propose and the requests to send. Deterministic and not thread-safe;
/// all calls, including apply() of the state, must come from one thread.
class WorkflowScheduler final : private WorkflowListener {
public:
    /// Keeps references to the arguments; registers itself as the state's listener.
    WorkflowScheduler(const SchedulerSettings&, WorkflowState&, SchedulerObserver&);
    ~WorkflowScheduler() override;

    /// The host has become leader and the state includes all entries of earlier terms. `fence` is higher than that of
    /// every earlier leadership.
    void becomeLeader(uint64_t fence, TimePoint now, WallTime wall);
    void resign();
    bool isLeader() const { return m_isLeader; }
    uint64_t fence() const { return m_fence; }

    // Reports and responses of workers and the permission service. `sentAt` is a time before the poll was sent.
    /// Errors, after which nothing has changed: InvalidArgument: the worker's pool is not one of this installation, so
    /// that the report must be another writer's. Unavailable: there is no queue table yet to tell.
    Expected<void> onWorkerReport(const WorkerReport&, TimePoint now);
    void onWorkerLeaving(const WorkerId&, TimePoint now);
    void onStartResponse(const StartRunRequest&, const RunResponse&, TimePoint sentAt, TimePoint now);
    void onStopResponse(const StopRunRequest&, const RunResponse&, TimePoint sentAt, TimePoint now);
    void onPollResponse(const PollRequest&, const Expected<PollResponse>&, TimePoint sentAt, TimePoint now);
    void onPermissionResponse(const PermissionRequest&, const Expected<PermissionResponse>&, TimePoint now);

    /// True if the reported profile, or that of a later incarnation, is recorded; only then may the report be
    /// acknowledged.
    bool isRecorded(const WorkerReport&) const;

    /// Due commands and requests. The commands are proposed as one log entry; onBatchCommitted() or resign() must
    /// follow.
    struct Output {
        /// Zero if there are no commands.
        uint64_t batch { 0 };
        std::vector<WorkflowCommand> commands;
        RunController::Requests requests;
        std::vector<PermissionRequest> permissionRequests;
    };
    Output advance(TimePoint now, WallTime wall);

    /// The batch is committed and applied.
    void onBatchCommitted(uint64_t batch, TimePoint now);

    /// The acceptance of a workflow is about to be proposed; requests for its first steps may be prepared meanwhile.
    void onAcceptanceProposed(const AcceptWorkflow&, TimePoint now);

    // A caller has cancelled a workflow again that has ended, or that was cancelled before it was known. Its record,
    // which rejects late submissions, is kept for as long again. False if there is none or it is about to be removed.
    bool keepEndedWorkflow(const WorkflowId&, TimePoint now);
    bool keepEarlyCancellation(const EarlyCancellation::Key&, TimePoint now);
    /// True if a submission must be rejected because its caller has cancelled it before; see EarlyCancellations.
    bool wasCancelledEarly(const WorkflowId&, const OrganisationName&, const QueueName&) const;

    /// A table is about to be proposed. Until it is applied, the queues that it removes accept no more workflows: their
    /// acceptances might be committed after the removal, when their queue is no longer known.
    void onTableProposed(const QueueTable&);
    bool isQueueBeingRemoved(const QueueName&) const;

    /// Returns a rejection if a workflow cannot meet its deadline, exceeds the limit of its organisation (empty: none),
    /// or is one too many of it at full load; see AdmissionController and OrganisationAdmission. Otherwise the workflow
    /// counts for the rate of its organisation.
    std::optional<AdmissionController::Rejection> checkAdmission(
        const Queue&, const OrganisationName&, const WorkflowSpec&, double jitter, TimePoint now);

    /// The organisations of the table in force, in its order.
    std::vector<OrganisationStatus> organisationStatus() const;

    /// Number of accepted workflows of a queue of which no worker is known to have executed a start. Includes those of
    /// removed queues that had the same caller host and path prefix.
    size_t pendingWorkflows(const QueueName&) const;

    /// Describes for a person why the workflow is in its current state; empty if it is not known.
    std::string explain(const WorkflowId&, TimePoint now, WallTime wall) const;

    const WorkerTracker& workerTracker() const { return m_workerTracker; }
    const RunController& runController() const { return m_runController; }
    size_t readyStepCount() const { return m_readySteps.size(); }
    /// Empty unless the settings let the scheduler learn run times.
    const RunTimeModel& runTimeModel() const { return m_runTimeModel; }
    /// Why this leadership could not read the recorded summary of the model and began with an empty one, if so.
    const std::optional<Error>& runTimeSummaryError() const { return m_runTimeSummaryError; }

private:
    struct ProposedTable {
        uint64_t version { 0 };
        std::set<QueueName> queues;
    };
    struct Batch {
        std::vector<RunRef> placed;
        std::vector<RunRef> ended;
        RunController::ReceivedEnds receivedEnds;
    };
    /// Soft state of an active workflow.
    struct TrackedWorkflow {
        std::vector<StepRef> ready;
        std::map<StepRef, TimePoint> readySince;
        std::map<StepRef, std::set<WorkerId>> failedWorkers;
        uint32_t priority { 0 };
        TimePoint acceptedAt;
        bool isPending { false };
        QueueName queue;
    };

    /// A workflow whose acceptance is being committed.
    struct ProposedWorkflow {
        WorkflowSpec spec;
        std::vector<ReadyStep> firstSteps; // Point into `spec`.
        TimePoint proposedAt;
    };

    void onWorkflowChanged(const WorkflowId&) override;
    void onTableChanged() override;
    void onEarlyCancellation(const EarlyCancellation::Key&) override;

    void refreshChangedWorkflows(TimePoint now, WallTime wall);
    void refreshWorkflow(const WorkflowId&, TimePoint now, WallTime wall);
    void untrack(const WorkflowId&);
    void removeReadySteps(TrackedWorkflow&);
    void collectReady(const WorkflowRecord&, TrackedWorkflow&, TimePoint now, WallTime wall);
    std::vector<ReadyStep::Task> readyTasks(const WorkflowRecord&, const OccurrenceRecord&, uint32_t step) const;
    void stopPlacedRuns(const WorkflowRecord&, TimePoint now);
    bool isPoolInUse(const WorkerProfile&) const;
    Queue queueOf(const WorkflowRecord&) const;
    size_t countPending(const QueueName&) const;
    void beginDueOccurrences(std::vector<WorkflowCommand>&, WallTime wall);
    void recordWorkers(std::vector<WorkflowCommand>&);
    void recordStarts(std::vector<WorkflowCommand>&, TimePoint now);
    void removeStaleWorkers(std::vector<WorkflowCommand>&, TimePoint now);
    void removeEndedWorkflows(std::vector<WorkflowCommand>&, TimePoint now);
    void removeEarlyCancellations(std::vector<WorkflowCommand>&, TimePoint now);
    AdmissionController::Load waitingLoad(TimePoint now) const;
    /// Why the organisation's limit or share delays the waiting tasks; empty if neither does.
    std::string explainOrganisation(const WorkflowRecord&, const Queue&, const StepSpec&, uint32_t waitingTasks) const;
    void placeReadySteps(Output&, Batch&, TimePoint now);
    /// Elapsed and expected times of the running tasks of a step, for a person.
    std::string describeRuns(const StepRef&, TimePoint now) const;
    /// Expected run time of a task on a worker of speed 1.
    Duration learnedRunTime(const QueueName&, const StepSpec&) const;
    std::vector<Duration> learnedRunTimes(const QueueName&, const WorkflowSpec&) const;
    /// The specification with learned run times instead of the declared ones, for decisions only.
    WorkflowSpec withLearnedRunTimes(const QueueName&, WorkflowSpec) const;
    void restoreRunTimes(TimePoint now);
    void refreshSpeeds(TimePoint now);
    bool isFirstEndOfGang(const RunRef&);
    void learnFromEnd(const TrackedRun&, RunOutcome, TimePoint now);
    void recordRunTimes(std::vector<WorkflowCommand>&, TimePoint now);
    void reportPlacements(const std::vector<Planner::Placement>&, TimePoint now);

    SchedulerSettings m_settings;
    WorkflowState& m_state;
    SchedulerObserver& m_observer;
    bool m_isLeader { false };
    uint64_t m_fence { 0 };

    WorkerTracker m_workerTracker;
    RunController m_runController;
    PermissionTracker m_permissionTracker;
    Planner m_planner;
    AdmissionController m_admissionController;
    OrganisationAdmission m_organisationAdmission { m_admissionController };
    RunTimeModel m_runTimeModel;
    std::optional<Error> m_runTimeSummaryError;
    /// Run number of the latest sample of each gang of an active workflow.
    std::map<WorkflowId, std::map<StepRef, uint32_t>> m_learnedGangs;
    uint64_t m_recordedRevision { 0 }; // Of the model when its summary was last recorded.
    TimePoint m_nextSummaryAt;
    TimePoint m_nextSpeedRefreshAt;

    std::set<WorkflowId> m_changedWorkflows;
    std::map<WorkflowId, TrackedWorkflow> m_trackedWorkflows;
    std::map<StepRef, ReadyStep> m_readySteps;
    std::map<WorkflowId, ProposedWorkflow> m_proposedWorkflows;
    ProposedTable m_proposedTable; // The one with the highest version.
    std::map<QueueName, size_t> m_pendingByQueue;
    /// Timed workflows by wall-clock time of the next occurrence in milliseconds.
    std::set<std::pair<int64_t, WorkflowId>> m_timedWorkflows;
    std::map<WorkflowId, int64_t> m_nextOccurrenceMs;
    // Recorded decisions that are kept for a time. Their time starts anew with each leadership, which knows only that
    // they are recorded, so that it is never cut short.
    RetentionQueue<WorkflowId> m_endedWorkflows;
    RetentionQueue<EarlyCancellation::Key> m_earlyCancellations;
    std::set<EarlyCancellation::Key> m_newEarlyCancellations; // Since the last call of advance().

    std::set<WorkerId> m_unrecordedWorkers;
    std::map<uint64_t, Batch> m_batchesInFlight;
    /// Tasks whose placement is proposed but not committed.
    std::set<TaskRef> m_tasksBeingPlaced;
    uint64_t m_nextBatch { 1 };
    TimePoint m_nextWorkerCleanupAt;
    TimePoint m_nextStartRecordAt;
};

} // namespace hickoryknot::workflow

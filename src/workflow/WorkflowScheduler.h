#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "workflow/AdmissionController.h"
#include "workflow/Planner.h"
#include "workflow/RunController.h"
#include "workflow/WorkflowListener.h"
#include "workflow/WorkflowRecord.h"

namespace hickoryknot::workflow {

class SchedulerObserver;
class WorkflowState;

/// Runs on the leader of the group that holds the workflows: takes reports and answers of workers, decides what starts
/// where, and says what to record and what to send. Deterministic and not thread safe; all calls, and apply() of the
/// state, come from one thread.
class WorkflowScheduler final : private WorkflowListener {
public:
    /// Keeps references; registers itself as the state's listener.
    WorkflowScheduler(const SchedulerSettings&, WorkflowState&, SchedulerObserver&);
    ~WorkflowScheduler() override;

    /// The host leads, and the state holds all entries of earlier terms. `fence` is higher than that of every earlier
    /// leadership.
    void becomeLeader(uint64_t fence, TimePoint now, WallTime wall);
    void resign();
    bool isLeader() const { return m_isLeader; }
    uint64_t fence() const { return m_fence; }

    // What workers and the permission service say. `sentAt` is the moment before the look was sent.
    void onWorkerReport(const WorkerReport&, TimePoint now);
    void onWorkerLeaving(const WorkerId&, TimePoint now);
    void onStartResponse(const StartRunRequest&, const RunResponse&, TimePoint now);
    void onStopResponse(const StopRunRequest&, const RunResponse&, TimePoint now);
    void onPollResponse(const PollRequest&, const Expected<PollResponse>&, TimePoint sentAt, TimePoint now);
    void onPermissionResponse(const PermissionRequest&, const Expected<PermissionResponse>&, TimePoint now);

    /// True if the worker with this report is recorded as it reports itself; only then may the report be confirmed.
    bool isRecorded(const WorkerReport&) const;

    /// What is due. Commands are recorded as one entry; recorded() or resign() follows.
    struct Output {
        /// Zero: there is nothing to record.
        uint64_t batch { 0 };
        std::vector<WorkflowCommand> commands;
        RunController::Requests requests;
        std::vector<PermissionRequest> permissionRequests;
    };
    Output advance(TimePoint now, WallTime wall);

    /// The batch is recorded and applied.
    void onBatchCommitted(uint64_t batch, TimePoint now);

    /// Refuses a workflow that cannot be served in time; see AdmissionController.
    std::optional<Duration> checkAdmission(const Queue&, const WorkflowSpec&, double spread, TimePoint now) const;

    /// Accepted workflows of a queue of which no task has started.
    size_t pendingWorkflows(const QueueName&) const;

    /// Why the workflow is where it is, for a person; empty if it is not known.
    std::string explain(const WorkflowId&, TimePoint now, WallTime wall) const;

    const WorkerTracker& workerTracker() const { return m_board; }
    const RunController& runController() const { return m_desk; }
    size_t readyStepCount() const { return m_ready.size(); }

private:
    struct Batch {
        std::vector<RunRef> placed;
        std::vector<RunRef> ended;
        RunController::RecordedMark mark;
    };
    /// Soft state of an open workflow.
    struct Tracked {
        std::vector<StepRef> ready;
        std::map<StepRef, TimePoint> readySince;
        std::map<StepRef, std::set<WorkerId>> failedOn;
        double work { 0 }; // Estimated work that is ready and waits; thousandths of a core times microseconds.
        uint32_t priority { 0 };
        TimePoint acceptedAt;
        bool isPending { false };
        QueueName queue;
    };

    void workflowChanged(const WorkflowId&) override;
    void tableChanged() override;

    void refreshChanged(TimePoint now, WallTime wall);
    void refresh(const WorkflowId&, TimePoint now, WallTime wall);
    void untrack(const WorkflowId&);
    void drop(Tracked&);
    void collectReady(const WorkflowRecord&, Tracked&, TimePoint now, WallTime wall);
    std::vector<ReadyStep::Task> readyTasks(const WorkflowRecord&, const OccurrenceRecord&, uint32_t step) const;
    void stopUnwanted(const WorkflowRecord&, TimePoint now);
    Queue queueOf(const WorkflowRecord&) const;
    void beginDueOccurrences(std::vector<WorkflowCommand>&, WallTime wall);
    void recordWorkers(std::vector<WorkflowCommand>&);
    void forgetWorkers(std::vector<WorkflowCommand>&, TimePoint now);
    void forgetEnded(std::vector<WorkflowCommand>&, TimePoint now);
    void placeReady(Output&, Batch&, TimePoint now);
    void tellPlacements(const std::vector<Planner::Placement>&, TimePoint now);

    SchedulerSettings m_settings;
    WorkflowState& m_state;
    SchedulerObserver& m_observer;
    bool m_isLeader { false };
    uint64_t m_fence { 0 };

    WorkerTracker m_board;
    RunController m_desk;
    PermissionTracker m_permits;
    Planner m_planner;
    AdmissionController m_gate;

    std::set<WorkflowId> m_changed;
    std::map<WorkflowId, Tracked> m_tracked;
    std::map<StepRef, ReadyStep> m_ready;
    AdmissionController::Load m_load;
    std::map<QueueName, size_t> m_pendingOfQueue;
    /// Timed workflows by the calendar time of their next occurrence, in milliseconds.
    std::set<std::pair<int64_t, WorkflowId>> m_timed;
    std::map<WorkflowId, int64_t> m_nextDue;
    /// Ended workflows in the order in which their ends were seen.
    std::deque<std::pair<TimePoint, WorkflowId>> m_ended;
    std::set<WorkflowId> m_knownEnded;

    std::set<WorkerId> m_unrecorded;
    std::map<uint64_t, Batch> m_batches;
    /// Tasks whose placement is on its way to the record.
    std::set<TaskRef> m_placing;
    uint64_t m_nextBatch { 1 };
    TimePoint m_nextForgetting;
};

} // namespace hickoryknot::workflow

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/StateMachine.h"
#include "workflow/EarlyCancellations.h"
#include "workflow/QueueTable.h"
#include "workflow/WorkerProfile.h"
#include "workflow/WorkflowCommand.h"
#include "workflow/WorkflowRecord.h"

namespace hickoryknot::workflow {

class WorkflowListener;

/// Replicated state machine: the queue table, workflows with their tasks, placed runs and workers. A start is recorded
/// here before it is sent, and an end before it is confirmed to the worker. Deterministic.
class WorkflowState final : public StateMachine {
public:
    /// Applies one list of commands. The result is empty because the proposer reads the state instead.
    std::string apply(uint64_t index, std::string_view payload) override;
    std::string snapshot() const override;
    Expected<void> restore(std::string_view snapshot) override;
    uint64_t digest() const override;

    /// At most one listener; null for none. Kept across restore(), which sends no notifications.
    void setListener(WorkflowListener* listener) { m_listener = listener; }

    const QueueTable& table() const { return m_data.table; }
    /// Queues that were removed from the table while accepted workflows of theirs had not ended, with their last rows.
    const std::map<QueueName, Queue>& removedQueues() const { return m_data.removedQueues; }
    /// The queue of a workflow, in the table or removed from it. Null only if it was removed before a snapshot of a
    /// format without removed queues.
    const Queue* findQueue(const WorkflowRecord&) const;
    const WorkflowRecord* find(const WorkflowId&) const;
    const std::map<WorkflowId, WorkflowRecord>& workflows() const { return m_data.workflows; }
    /// Incarnation that placed runs refer to by index; entries without runs may be reused.
    const WorkerIncarnation& incarnation(uint32_t index) const { return m_data.incarnations[index].incarnation; }
    /// Known workers with their latest incarnation.
    const std::map<WorkerId, WorkerProfile>& workers() const { return m_data.workers; }

    /// Cancellations of workflows that were not known.
    const EarlyCancellations& earlyCancellations() const { return m_data.earlyCancellations; }

    /// Latest recorded summary of the run time model; empty if there is none.
    const std::string& runTimeSummary() const { return m_data.runTimeSummary; }

    /// A placed run and the incarnation that it may occupy.
    struct PlacedRun {
        RunRef run;
        const WorkerIncarnation* incarnation;
    };
    /// All placed runs, ordered by task.
    std::vector<PlacedRun> placedRuns() const;

private:
    struct IncarnationEntry {
        WorkerIncarnation incarnation;
        uint32_t runs { 0 };

        friend bool operator==(const IncarnationEntry&, const IncarnationEntry&) = default;
    };
    struct Data {
        QueueTable table;
        std::map<QueueName, Queue> removedQueues;
        std::map<WorkflowId, WorkflowRecord> workflows;
        std::vector<IncarnationEntry> incarnations;
        std::map<WorkerId, WorkerProfile> workers;
        std::string runTimeSummary;
        EarlyCancellations earlyCancellations;
    };

    void applyCommand(const ReplaceTable&);
    void applyCommand(const AcceptWorkflow&);
    void applyCommand(const CancelWorkflow&);
    void applyCommand(const RemoveWorkflows&);
    void applyCommand(const BeginOccurrence&);
    void applyCommand(const PlaceRuns&);
    void applyCommand(const EndRuns&);
    void applyCommand(const RecordWorkers&);
    void applyCommand(const RemoveWorkers&);
    void applyCommand(const RecordStarts&);
    void applyCommand(const RecordRunTimes&);
    void applyCommand(const CancelUnknownWorkflow&);
    void applyCommand(const RemoveEarlyCancellations&);

    void keepQueuesInUse(const QueueTable& next);
    static void beginOccurrences(WorkflowRecord&, uint32_t upTo);
    bool mayPlace(const WorkflowRecord&, const RunRef&) const;
    /// Gives all members of a gang that is about to start the checkpoint of one of them.
    static void alignCheckpoints(StepRecord&);
    void endRun(const EndRuns::Entry&);
    static void recordOutcome(WorkflowRecord&, StepRecord&, const StepSpec&, TaskRecord&, const EndRuns::Entry&);
    static void fail(WorkflowRecord&, StepRecord&, TaskRecord&, FailureCause);
    static void setTaskOutcome(StepRecord&, TaskRecord&, TaskOutcome);
    static void finishOccurrences(WorkflowRecord&);
    uint32_t acquireIncarnation(const WorkerIncarnation&);
    void notifyChanged(const WorkflowId&);

    Data m_data;
    WorkflowListener* m_listener { nullptr };
};

} // namespace hickoryknot::workflow

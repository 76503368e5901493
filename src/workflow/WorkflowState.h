#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/StateMachine.h"
#include "workflow/QueueTable.h"
#include "workflow/WorkerProfile.h"
#include "workflow/WorkflowCommand.h"
#include "workflow/WorkflowRecord.h"

namespace hickoryknot::workflow {

class WorkflowListener;

/// The replicated state: the queue table, workflows with their tasks, runs that may occupy a worker, and workers. A
/// start is recorded here before it is sent, an end before it is confirmed to the worker. Deterministic.
class WorkflowState final : public StateMachine {
public:
    /// Applies one list of commands; the result is empty, since the proposer reads the state.
    std::string apply(uint64_t index, std::string_view payload) override;
    std::string snapshot() const override;
    Expected<void> restore(std::string_view snapshot) override;
    uint64_t digest() const override;

    /// At most one; null for none. Kept across restore(), which tells of no single change.
    void setListener(WorkflowListener* listener) { m_listener = listener; }

    const QueueTable& table() const { return m_data.table; }
    const WorkflowRecord* find(const WorkflowId&) const;
    const std::map<WorkflowId, WorkflowRecord>& workflows() const { return m_data.workflows; }
    /// Lives that placed runs refer to, by index; entries without runs may be reused.
    const WorkerIncarnation& life(uint32_t index) const { return m_data.lives[index].life; }
    /// Known workers, one life each.
    const std::map<WorkerId, WorkerProfile>& workers() const { return m_data.workers; }

    /// A placed run and the life that it may occupy.
    struct PlacedRun {
        RunRef run;
        const WorkerIncarnation* life;
    };
    /// All placed runs, ordered by task.
    std::vector<PlacedRun> placedRuns() const;

private:
    struct LifeSlot {
        WorkerIncarnation life;
        uint32_t runs { 0 };

        friend bool operator==(const LifeSlot&, const LifeSlot&) = default;
    };
    struct Data {
        QueueTable table;
        std::map<WorkflowId, WorkflowRecord> workflows;
        std::vector<LifeSlot> lives;
        std::map<WorkerId, WorkerProfile> workers;
    };

    void run(const ReplaceTable&);
    void run(const AcceptWorkflow&);
    void run(const CancelWorkflow&);
    void run(const ForgetWorkflows&);
    void run(const BeginOccurrence&);
    void run(const PlaceRuns&);
    void run(const EndRuns&);
    void run(const RecordWorkers&);
    void run(const ForgetWorkers&);

    static void beginOccurrences(WorkflowRecord&, uint32_t upTo);
    bool mayPlace(const WorkflowRecord&, const RunRef&) const;
    void end(const EndRuns::Entry&);
    static void recordOutcome(WorkflowRecord&, StepRecord&, const StepSpec&, TaskRecord&, const EndRuns::Entry&);
    static void setTaskOutcome(StepRecord&, TaskRecord&, TaskOutcome);
    static void finishOccurrences(WorkflowRecord&);
    uint32_t acquireLife(const WorkerIncarnation&);
    void changed(const WorkflowId&);

    Data m_data;
    WorkflowListener* m_listener { nullptr };
};

} // namespace hickoryknot::workflow

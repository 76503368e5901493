#pragma once

#include <map>
#include <string>
#include <vector>

#include "workflow/PermissionTracker.h"
#include "workflow/ReadyStep.h"
#include "workflow/WorkerTracker.h"

namespace hickoryknot::workflow {

class RunController;
struct RunView;

/// Decides which ready tasks start where. Serves the heavy days, on which more work is ready than fits: urgent queues
/// first, within a queue's priority those whose time runs out first, and work that can no longer end in time last.
/// Small tasks are packed onto the fullest workers, so that large tasks and gangs find room. A gang that does not fit
/// takes the place of tasks of lower priority that can go on from a checkpoint, and keeps lower priorities off the
/// workers that it waits for.
class Planner {
public:
    Planner(WorkerTracker& board, PermissionTracker& permits, const RunController& desk)
        : m_board(board)
        , m_permits(permits)
        , m_desk(desk)
    {
    }

    struct Placement {
        RunRef run;
        WorkerIncarnation life;
        const StepSpec* spec;
        uint32_t priority;
        std::string permit;
    };
    struct Decisions {
        std::vector<Placement> placements;
        std::vector<PermissionRequest> requests;
        std::vector<RunRef> preemptions;
    };

    /// Places what fits. The steps are put into the order in which they were looked at. Nothing is changed but the
    /// permit book's list of open requests; the caller must note each placement on the board before the next call.
    Decisions plan(std::vector<ReadyStep*>& steps, TimePoint now);

private:
    /// A worker's room in the course of one plan.
    struct Slot {
        WorkerView* view;
        Resources free; // Without what this plan has placed or reserved.
        size_t pool; // Index among the pools of this plan.
        std::map<StepRef, uint32_t> plannedTasks;
        /// Kept free for a gang that comes earlier in the order; later steps leave it alone.
        bool isHeld { false };
    };
    /// A worker that a gang may use once some runs have ended.
    struct Clearing {
        Slot* slot;
        uint32_t room { 0 }; // Tasks that fit then.
        std::vector<const RunView*> victims; // Least work lost first.
        double cost { 0 }; // Work lost for each task that fits, in core time.
    };

    static bool isBefore(const ReadyStep&, const ReadyStep&, TimePoint now);
    static bool isPreemptible(const RunView&, const ReadyStep&);
    uint32_t roomIn(const Slot&, const ReadyStep&, const Resources& free, uint32_t most) const;
    uint32_t roomFor(const Slot& slot, const ReadyStep& step, uint32_t most) const
    {
        return roomIn(slot, step, slot.free, most);
    }
    /// True if one task fits.
    bool hasRoom(const Slot&, const ReadyStep&) const;
    /// True if the step may run there, room and permissions aside.
    bool isPossible(const Slot&, const ReadyStep&) const;
    bool isAllowed(const Slot& slot) const { return m_stepPermits->isAllowed(slot.view->number); }
    bool hasTicket(const Slot& slot, TimePoint now) const
    {
        return m_permits.ticket(*m_stepPermits, *slot.view, now) != nullptr;
    }
    std::vector<Slot*> candidates(const ReadyStep&, TimePoint now);
    /// Null: the worker is not usable.
    Slot* slotOf(uint32_t workerNumber) const
    {
        return workerNumber < m_slotOfWorker.size() ? m_slotOfWorker[workerNumber] : nullptr;
    }
    /// Index of the pool in this plan.
    size_t poolIndex(const PoolName&);
    void placeTasks(const ReadyStep&, const std::vector<Slot*>&, Decisions&, TimePoint now);
    bool placeGang(const ReadyStep&, const std::vector<Slot*>&, Decisions&, TimePoint now);
    void take(Slot&, const ReadyStep&, size_t task, Decisions&, TimePoint now);
    /// True if room may wait for the answer to the step's call.
    static bool hasShortCall(const ReadyStep&);
    /// Workers that a call about the step names at least.
    static size_t fewestNamed(const ReadyStep&);
    /// Keeps room for that many tasks on workers that an open call names from the steps that come later.
    void reserveNamed(const ReadyStep&, size_t tasks);
    void planTasks(const ReadyStep&, Decisions&, TimePoint now);
    void planGang(const ReadyStep&, Decisions&, TimePoint now);
    /// What a gang that cannot start yet needs: permissions, and room that is held or cleared.
    void prepareGang(const ReadyStep&, Decisions&, TimePoint now);
    void askForTasks(const ReadyStep&, Decisions&, TimePoint now);
    /// Asks about all named workers, in as many calls as are served soonest.
    void ask(const ReadyStep&, const std::vector<Slot*>&, Decisions&);
    /// Tasks of the step that fit onto the worker when nothing else runs there.
    uint32_t roomWhenEmpty(const Slot& slot, const ReadyStep& step) const
    {
        return roomIn(slot, step, slot.view->profile.capacity, static_cast<uint32_t>(step.tasks.size()));
    }
    void askForGang(const ReadyStep&, std::vector<Slot*> unknown, double expected, Decisions&);
    bool clearRoom(const ReadyStep&, Decisions&, TimePoint now);
    Clearing clearing(Slot&, const ReadyStep&) const;
    void holdRoom(const ReadyStep&);

    WorkerTracker& m_board;
    PermissionTracker& m_permits;
    const RunController& m_desk;
    std::vector<Slot> m_slots;
    std::vector<Slot*> m_slotOfWorker; // By worker number; null: not usable.
    size_t m_heldGangs { 0 };
    std::vector<const PoolName*> m_pools;
    // Of the step that is being looked at.
    const StepPermits* m_stepPermits { nullptr };
    Resources m_stepSize;
    size_t m_stepPool { 0 };
    TimePoint m_now;
};

} // namespace hickoryknot::workflow

#pragma once

#include <map>
#include <string>
#include <vector>

#include "workflow/PermitBook.h"
#include "workflow/ReadyStep.h"
#include "workflow/SchedulerSettings.h"
#include "workflow/WorkerBoard.h"

namespace hickoryknot::workflow {

/// Decides which ready tasks start where. Serves the heavy days, on which more work is ready than fits: urgent queues
/// first, within a queue's priority those whose time runs out first, and work that can no longer end in time last. Small
/// tasks are packed onto the fullest workers, so that large tasks and gangs find room; a gang that does not fit keeps
/// lower priorities off the workers that it waits for.
class Planner {
public:
    Planner(const SchedulerSettings& settings, WorkerBoard& board, PermitBook& permits)
        : m_settings(settings)
        , m_board(board)
        , m_permits(permits)
    {
    }

    struct Placement {
        RunRef run;
        WorkerLife life;
        const StepSpec* spec;
        std::string permit;
    };
    struct Decisions {
        std::vector<Placement> placements;
        std::vector<PermitRequest> requests;
    };

    /// Places what fits. The steps are put into the order in which they were looked at. Nothing is changed but the
    /// permit book's list of open requests; the caller must note each placement on the board before the next call.
    Decisions plan(std::vector<ReadyStep*>& steps, TimePoint now);

private:
    /// A worker's room in the course of one plan.
    struct Slot {
        WorkerView* view;
        Resources planned;
        std::map<StepRef, uint32_t> plannedTasks;
        /// Kept free for a gang of this rank in the order of steps; later steps leave it alone.
        bool isHeld { false };
    };

    static bool isBefore(const ReadyStep&, const ReadyStep&, TimePoint now);
    uint32_t roomFor(const Slot&, const ReadyStep&, uint32_t most) const;
    std::vector<Slot*> candidates(const ReadyStep&, bool isPermitNeeded, TimePoint now);
    void placeTasks(const ReadyStep&, const std::vector<Slot*>&, Decisions&, TimePoint now);
    bool placeGang(const ReadyStep&, const std::vector<Slot*>&, Decisions&, TimePoint now);
    void take(Slot&, const ReadyStep&, size_t task, Decisions&, TimePoint now);
    void askForPermits(const ReadyStep&, Decisions&, TimePoint now);
    void holdRoom(const ReadyStep&);

    const SchedulerSettings& m_settings;
    WorkerBoard& m_board;
    PermitBook& m_permits;
    std::vector<Slot> m_slots;
    size_t m_heldGangs { 0 };
    /// Free processors that no step has asked permissions for, in thousandths of a core.
    int64_t m_unclaimed { 0 };
};

} // namespace hickoryknot::workflow

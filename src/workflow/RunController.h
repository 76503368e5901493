#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "workflow/RunView.h"
#include "workflow/SchedulerSettings.h"
#include "workflow/WorkerRequests.h"
#include "workflow/WorkerTracker.h"
#include "workflow/WorkflowCommand.h"

namespace hickoryknot::workflow {

class WorkflowState;

/// Drives recorded runs on their workers: sends starts and stops until they are answered, looks at workers, renews
/// their leases, and finds out which runs have ended. A run keeps its room until its worker says that it has ended, a
/// stop of that very run was confirmed, its worker's life has ended, or its lease must have run out. Soft state of one
/// leadership.
class RunController {
public:
    RunController(const SchedulerSettings& settings, const WorkflowState& state, WorkerTracker& board)
        : m_settings(settings)
        , m_state(state)
        , m_board(board)
    {
    }

    /// Takes over all recorded runs; an earlier leader may have renewed their leases up to `now`.
    void begin(uint64_t fence, TimePoint now);
    void clear();

    /// A placement that is about to be recorded: its room is taken from now on.
    void proposed(const RunRef&, const WorkerIncarnation&, const StepSpec&, uint32_t priority, std::string permit);
    /// The placement was recorded, or turned out not to apply any more.
    void settled(const RunRef&, bool isRecorded, TimePoint now);

    /// The end of the run is recorded; its room is free.
    void endRecorded(const RunRef& run) { remove(run); }

    /// Stops a run that is no longer wanted.
    void requestStop(const RunRef&, TimePoint now);

    /// Takes answers of workers. `sentAt` is the moment before the look was sent.
    void startAnswered(const StartRunRequest&, const RunResponse&, TimePoint now);
    void stopAnswered(const StopRunRequest&, const RunResponse&, TimePoint now);
    void lookAnswered(const PollRequest&, const Expected<PollResponse>&, TimePoint sentAt, TimePoint now);

    /// The worker said that this life ends.
    void lifeLeft(const WorkerIncarnation&, TimePoint now);

    struct Requests {
        std::vector<StartRunRequest> starts;
        std::vector<StopRunRequest> stops;
        std::vector<PollRequest> polls;
    };
    /// Appends the orders that are due.
    void advance(TimePoint now, Requests&);

    /// Ends to record; each is returned once.
    std::vector<EndRuns::Entry> takeEnds();
    /// All ends taken so far are recorded: they may be confirmed to their workers.
    struct RecordedMark {
        std::vector<std::pair<WorkerIncarnation, uint64_t>> ends;
    };
    /// Marks the ends taken in so far, to be handed back once they are recorded.
    RecordedMark mark() const;
    void recorded(const RecordedMark&);

    const RunView* find(const RunRef&) const;
    const std::map<RunRef, RunView>& runs() const { return m_runs; }
    /// Runs that may occupy this life.
    std::vector<const RunView*> runsOn(const WorkerIncarnation&) const;
    size_t size() const { return m_runs.size(); }

private:
    struct Stray {
        WorkerIncarnation life;
        bool isInFlight { false };
        bool isConfirmed { false };
        TimePoint nextTry;
    };
    struct Gang {
        std::set<RunRef> members;
        size_t confirmed { 0 };
        TimePoint firstSentAt;
        bool hasFirstSent { false };
        bool isBreaking { false };
        bool hasEnded { false };
    };
    using GangKey = std::pair<StepRef, uint32_t>;

    RunView& add(const RunRef&, const WorkerIncarnation&, const StepSpec&);
    void remove(const RunRef&);
    /// Frees the room that the run takes where it is.
    void leaveLife(const RunView&);
    void finish(RunView&, RunOutcome, std::string checkpoint, TimePoint now);
    void confirm(RunView&, TimePoint now);
    void refused(RunView&, TimePoint now);
    void breakGang(const RunView&, TimePoint now);
    void moveToNextLife(RunView&, WorkerView& next, TimePoint now);
    void checkGangs(TimePoint now);
    void advanceRun(RunView&, TimePoint now, Requests&);
    void advanceLife(const WorkerIncarnation&, WorkerView&, TimePoint now, Requests&);
    void advanceStrays(TimePoint now, Requests&);
    void loseEnded(const WorkerIncarnation&, const WorkerView&, bool isLifeOver, TimePoint now);
    void takeListed(WorkerView&, const PollResponse&, TimePoint sentAt, TimePoint now);
    void judgeUnlisted(WorkerView&, const std::set<RunRef>& listed, TimePoint sentAt, TimePoint now);
    void noteAnswer(WorkerView&, std::optional<WorkerClockMs>, TimePoint now);
    void noteFailure(WorkerView&, TimePoint now);
    std::optional<WorkerClockMs> leaseFor(WorkerView&, TimePoint now);
    const StepSpec* specOf(const RunRef&) const;

    const SchedulerSettings& m_settings;
    const WorkflowState& m_state;
    WorkerTracker& m_board;
    uint64_t m_fence { 0 };
    std::map<RunRef, RunView> m_runs;
    std::map<WorkerIncarnation, std::set<RunRef>> m_runsOfLife;
    /// Runs that need a look at each call of advance().
    std::set<RunRef> m_unsettled;
    std::map<RunRef, Stray> m_strays;
    std::map<GangKey, Gang> m_gangs;
    std::vector<EndRuns::Entry> m_ends;
};

} // namespace hickoryknot::workflow

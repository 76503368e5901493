#pragma once

#include <vector>

#include "placement/EngineState.h"
#include "placement/FirstFitChooser.h"
#include "placement/PackChooser.h"
#include "placement/PlacementEngine.h"
#include "placement/PreemptionPlanner.h"
#include "placement/RefusalCheck.h"
#include "placement/ReservationBook.h"
#include "placement/SpreadChooser.h"
#include "placement/TaskEndings.h"
#include "placement/TaskLedger.h"

namespace hickoryknot {

/// Runs the rules of one decide() call in order: jobs whose back-off ended, refusals, gangs that lost a member, ready
/// reservations, then turns of the rows, then room for urgent work. The work per call is bounded.
class DecisionLoop {
public:
    DecisionLoop(EngineState&, TaskLedger&, ReservationBook&, TaskEndings&);

    void run(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>& decisions);

private:
    enum class Trial : uint8_t {
        Started,
        Blocked,
        // The work allowed for this call is used up.
        OutOfWork,
    };

    // Steps before the turns.
    void wakeJobs();
    void refuseUnfit();
    void stopBrokenGangs();
    void startReserved();
    void findProbes();

    // Turns of rows.
    void takeTurns(size_t maxDecisions);
    RowIndex nextRow() const;
    /// Submission order of the row's first job, for measurements without an order of rows.
    uint64_t firstSequence(const RowRecord&) const;
    bool goesBefore(const RowRecord&, const RowRecord&) const;
    Trial tryRow(RowIndex);
    Trial tryQueue(QueueIndex, RowRecord&);
    bool tryJob(JobIndex);
    bool tryLent(JobIndex);
    bool mayRun(JobRecord&, uint32_t tasks);
    bool tryTask(JobIndex);
    bool tryGang(JobIndex);
    Choice choose(const JobRecord&);
    Choice chooseProbe(const JobRecord&);
    /// Capacity that is reserved or set aside for others but not needed yet.
    Choice chooseLent(const JobRecord&);
    Choice chooseBesideAccelerators(const JobRecord&) const;

    // Overdue rows.
    bool isOverdue(const RowRecord&) const;
    bool tryOverdue();
    JobIndex oldestEligible(const RowRecord&);

    // Urgent work.
    void makeRoomForUrgent();
    bool isLate(const JobRecord&) const;
    void makeRoomFor(JobIndex, uint32_t& scansLeft);
    bool canMakeRoomForGang(JobIndex);
    bool makeRoomForTask(JobIndex);
    /// Looks at a gang again after a pause.
    void postpone(JobIndex);

    // Output.
    void place(JobIndex, const Choice&);
    void stop(RunIndex, const char* reason);
    void report(RunIndex);

    const WorkerChooser& chooserFor(const JobRecord&) const;

    EngineState& m_state;
    TaskLedger& m_ledger;
    ReservationBook& m_reservations;
    TaskEndings& m_endings;
    PreemptionPlanner m_preemption;
    RefusalCheck m_refusals;
    PackChooser m_pack;
    SpreadChooser m_spread;
    FirstFitChooser m_firstFit;

    // The present call.
    TimePoint m_now;
    uint32_t m_minuteOfDay { 0 };
    std::vector<Decision>* m_decisions { nullptr };
    uint32_t m_looksLeft { 0 };
    uint32_t m_searchesLeft { 0 };
    uint32_t m_lentTriesLeft { 0 };
    bool m_mayTryOverdue { true };

    // Kept between calls.
    uint32_t m_lastMinuteOfDay { UINT32_MAX };
    TimePoint m_nextOverdueReservation;

    // Scratch space, kept to avoid allocation.
    std::vector<WorkerIndex> m_readyProbes;
    std::vector<RunIndex> m_started;
};

} // namespace hickoryknot

#pragma once

#include "placement/EngineState.h"
#include "placement/TaskLedger.h"

namespace hickoryknot {

/// Plans, keeps and fulfils reservations. A reservation is made whole or not at all, so two gangs never wait for each
/// other's half; gangs and overdue tasks together reserve at most half of the cell unless one alone needs more.
class ReservationBook {
public:
    ReservationBook(EngineState& state, TaskLedger& ledger)
        : m_state(state)
        , m_ledger(ledger)
    {
    }

    /// Workers on which all queued tasks of the job fit now; valid until the next call. Empty if they do not fit.
    const std::vector<Hold>& findFreePlaces(const JobRecord&);
    /// Reserves capacity for `tasks` tasks where it becomes free first. False if there is none or the limit is reached.
    bool reserve(JobIndex, ReservationKind, uint32_t tasks, TimePoint now);
    /// Adds a hold for one urgent task on the worker. False if no reservation is left.
    bool holdUrgent(JobIndex, WorkerIndex, TimePoint now);
    /// Starts what is ready and plans anew what is late. Appends to `started`.
    void fulfil(TimePoint now, uint32_t minuteOfDay, std::vector<RunIndex>& started);
    /// A held worker on which the job may run because it should end before the reservation is due.
    Choice findLent(const JobRecord&, TimePoint now) const;

    /// Gives up the reservation of a job, if any.
    void dropJob(JobIndex, TimePoint now);
    /// Gives up the reservation of a job that has fewer queued tasks than are held.
    void dropExcess(JobIndex, TimePoint now);
    /// Gives up reservations that count on a worker.
    void dropWorker(WorkerIndex, TimePoint now);
    const Reservation* find(JobIndex) const;
    /// The urgent gang that holds capacity for a part of its tasks; noIndex if none does.
    JobIndex collectingGang() const;
    bool holdsReady(const Reservation&) const;

private:
    /// Tasks that fit on a worker from some moment on, beyond those that fit earlier.
    struct Opening {
        TimePoint at;
        WorkerIndex worker { noIndex };
        uint32_t tasks { 0 };
    };

    Reservation* findUnused(ReservationKind);
    bool isWithinLimit(const Resources& more) const;
    bool plan(Reservation&, const JobRecord&, uint32_t tasks, TimePoint now);
    void collectOpenings(const Resources& need, uint32_t tasks, TimePoint now);
    void collectOnWorker(WorkerIndex, const Resources& need, uint32_t tasks, TimePoint now);
    void addHold(Reservation&, WorkerIndex, uint32_t tasks);
    void releaseHolds(Reservation&);
    /// Work on held capacity must end before this.
    static TimePoint dueOf(const Reservation&);
    void updateDue(WorkerIndex);
    void drop(Reservation&, TimePoint now);
    bool mayStart(const Reservation&, uint32_t minuteOfDay) const;
    bool startReady(Reservation&, TimePoint now, std::vector<RunIndex>& started);
    void startAll(Reservation&, TimePoint now, std::vector<RunIndex>& started);
    void startUrgent(Reservation&, TimePoint now, std::vector<RunIndex>& started);
    RunIndex startOne(JobIndex, WorkerIndex, const char* reason, TimePoint now);

    EngineState& m_state;
    TaskLedger& m_ledger;
    uint64_t m_checkedReleases { 0 };

    // Scratch space, kept to avoid allocation.
    std::vector<Hold> m_places;
    std::vector<Opening> m_openings;
    std::vector<RunIndex> m_runs;
};

} // namespace hickoryknot

#include "placement/ReservationBook.h"

#include <algorithm>
#include <tuple>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

// Of the 64 slots; the others stay for urgent work.
constexpr size_t maxPlannedReservations = 16;
constexpr double maxPlannedShare = 0.5;
// Borrowed capacity is looked for on at most this many held workers per decision.
constexpr uint32_t maxLentWorkers = 64;

} // namespace

const std::vector<Hold>& ReservationBook::findFreePlaces(const JobRecord& job)
{
    m_places.clear();
    auto missing = static_cast<uint32_t>(job.queuedTasks.size());
    m_state.workers.search(job.perTask, [&](WorkerIndex worker) {
        const Resources open = m_state.workers.openFor(worker, job.perTask);
        const uint32_t tasks = std::min(WorkerTable::timesInto(job.perTask, open), missing);
        if (tasks && worker != job.avoidedWorker) {
            m_places.push_back({ worker, tasks });
            missing -= tasks;
        }
        return missing > 0;
    });
    if (missing)
        m_places.clear();
    return m_places;
}

Reservation* ReservationBook::findUnused(ReservationKind kind)
{
    size_t planned = 0;
    Reservation* unused = nullptr;
    for (Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed())
            unused = &reservation;
        else if (reservation.kind != ReservationKind::Urgent)
            ++planned;
    }
    return kind != ReservationKind::Urgent && planned >= maxPlannedReservations ? nullptr : unused;
}

bool ReservationBook::isWithinLimit(const Resources& more) const
{
    Resources held;
    for (const Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed() || reservation.kind == ReservationKind::Urgent)
            continue;
        for (const Hold& hold : reservation.holds)
            held += m_state.jobs[reservation.job].perTask * hold.tasks;
    }
    return held == Resources {} || m_state.workers.dominantShare(held + more) <= maxPlannedShare;
}

bool ReservationBook::reserve(JobIndex job, ReservationKind kind, uint32_t tasks, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    Reservation* reservation = findUnused(kind);
    if (!reservation || record.heldTasks || !isWithinLimit(record.perTask * tasks))
        return false;
    reservation->kind = kind;
    reservation->madeAt = now;
    reservation->isLent = m_state.settings.mechanisms.backfillsReservations;
    reservation->job = job;
    if (!plan(*reservation, record, tasks, now)) {
        reservation->job = noIndex;
        return false;
    }
    record.heldTasks = tasks;
    record.waitedFor = WaitCause::Reservation;
    m_ledger.requeue(job, now);
    ++m_state.statistics.reservations;
    return true;
}

bool ReservationBook::holdUrgent(JobIndex job, WorkerIndex worker, TimePoint now)
{
    Reservation* reservation = nullptr;
    for (Reservation& other : m_state.reservations) {
        if (other.job == job)
            reservation = &other;
    }
    if (!reservation) {
        reservation = findUnused(ReservationKind::Urgent);
        if (!reservation)
            return false;
        reservation->job = job;
        reservation->kind = ReservationKind::Urgent;
        reservation->madeAt = now;
        reservation->due = now;
        reservation->isLent = false;
        ++m_state.statistics.reservations;
    }
    addHold(*reservation, worker, 1);
    JobRecord& record = m_state.jobs[job];
    ++record.heldTasks;
    record.waitedFor = WaitCause::Reservation;
    m_ledger.requeue(job, now);
    // What is held may be free already.
    ++m_state.releases;
    return true;
}

bool ReservationBook::plan(Reservation& reservation, const JobRecord& job, uint32_t tasks, TimePoint now)
{
    collectOpenings(job.perTask, tasks, now);
    std::sort(m_openings.begin(), m_openings.end(),
        [](const Opening& a, const Opening& b) { return std::tie(a.at, a.worker) < std::tie(b.at, b.worker); });
    uint64_t found = 0;
    size_t used = 0;
    for (; used < m_openings.size() && found < tasks; ++used)
        found += m_openings[used].tasks;
    if (found < tasks)
        return false;
    m_openings[used - 1].tasks -= static_cast<uint32_t>(found - tasks);
    reservation.due = m_openings[used - 1].at;
    // One hold per worker.
    std::sort(m_openings.begin(), m_openings.begin() + static_cast<std::ptrdiff_t>(used),
        [](const Opening& a, const Opening& b) { return std::tie(a.worker, a.at) < std::tie(b.worker, b.at); });
    for (size_t i = 0; i < used; ++i)
        addHold(reservation, m_openings[i].worker, m_openings[i].tasks);
    return true;
}

void ReservationBook::collectOpenings(const Resources& need, uint32_t tasks, TimePoint now)
{
    m_openings.clear();
    for (WorkerIndex worker = 0; worker < m_state.workers.size(); ++worker) {
        if (m_state.workers[worker].isOpen() && need.fitsInto(m_state.workers[worker].capacity))
            collectOnWorker(worker, need, tasks, now);
    }
}

void ReservationBook::collectOnWorker(WorkerIndex worker, const Resources& need, uint32_t tasks, TimePoint now)
{
    // Runs in order of their expected end; what is held for others never counts.
    m_runs.clear();
    for (RunIndex run = m_state.workers[worker].firstRun; run != noIndex; run = m_state.runs[run].next) {
        if (m_state.runs[run].expectedEnd != TimePoint::max() || m_state.runs[run].isStopping)
            m_runs.push_back(run);
    }
    const auto endOf = [&](RunIndex run) { return m_state.expectedEnd(m_state.runs[run], now); };
    std::sort(m_runs.begin(), m_runs.end(),
        [&](RunIndex a, RunIndex b) { return std::tuple(endOf(a), a) < std::tuple(endOf(b), b); });

    Resources available = m_state.workers[worker].open();
    uint32_t counted = std::min(WorkerTable::timesInto(need, available), tasks);
    if (counted)
        m_openings.push_back({ now, worker, counted });
    for (const RunIndex run : m_runs) {
        if (counted == tasks)
            return;
        available += m_state.runs[run].need;
        const uint32_t fitting = std::min(WorkerTable::timesInto(need, available), tasks);
        if (fitting > counted) {
            m_openings.push_back({ endOf(run), worker, fitting - counted });
            counted = fitting;
        }
    }
}

void ReservationBook::addHold(Reservation& reservation, WorkerIndex worker, uint32_t tasks)
{
    // One hold per worker: plans come in order of workers, and urgent holds are few.
    auto same = reservation.holds.empty() ? reservation.holds.end() : reservation.holds.end() - 1;
    if (reservation.kind == ReservationKind::Urgent) {
        same = std::find_if(reservation.holds.begin(), reservation.holds.end(),
            [&](const Hold& hold) { return hold.worker == worker; });
    }
    if (same != reservation.holds.end() && same->worker == worker)
        same->tasks += tasks;
    else
        reservation.holds.push_back({ worker, tasks });
    const Resources amount = m_state.jobs[reservation.job].perTask * tasks;
    PlacementWorker& record = m_state.workers[worker];
    record.held += amount;
    if (reservation.kind == ReservationKind::Urgent)
        record.heldUrgent += amount;
    record.holdDue = std::min(record.holdDue, dueOf(reservation));
    m_state.workers.reindex(worker);
}

void ReservationBook::releaseHolds(Reservation& reservation)
{
    const Resources need = m_state.jobs[reservation.job].perTask;
    // The list moves aside, so that updateDue() does not see the holds that go.
    while (!reservation.holds.empty()) {
        const Hold hold = reservation.holds.back();
        reservation.holds.pop_back();
        PlacementWorker& worker = m_state.workers[hold.worker];
        worker.held -= need * hold.tasks;
        if (reservation.kind == ReservationKind::Urgent)
            worker.heldUrgent -= need * hold.tasks;
        updateDue(hold.worker);
        m_state.workers.reindex(hold.worker);
        m_ledger.noteGain(hold.worker);
    }
}

TimePoint ReservationBook::dueOf(const Reservation& reservation)
{
    return reservation.isLent ? reservation.due : TimePoint::min();
}

void ReservationBook::updateDue(WorkerIndex worker)
{
    PlacementWorker& record = m_state.workers[worker];
    record.holdDue = TimePoint::max();
    if (record.held == Resources {})
        return;
    for (const Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed())
            continue;
        for (const Hold& hold : reservation.holds) {
            if (hold.worker == worker)
                record.holdDue = std::min(record.holdDue, dueOf(reservation));
        }
    }
}

bool ReservationBook::holdsReady(const Reservation& reservation) const
{
    const Resources& need = m_state.jobs[reservation.job].perTask;
    return std::all_of(reservation.holds.begin(), reservation.holds.end(), [&](const Hold& hold) {
        // Urgent tasks are served first where both count on the same worker.
        const PlacementWorker& worker = m_state.workers[hold.worker];
        const Resources others = reservation.kind == ReservationKind::Urgent ? Resources {} : worker.heldUrgent;
        return (need * hold.tasks).fitsInto(worker.free - others);
    });
}

bool ReservationBook::mayStart(const Reservation& reservation, uint32_t minuteOfDay) const
{
    const JobRecord& job = m_state.jobs[reservation.job];
    const RowRecord& row = m_state.rowOf(job);
    return row.isOpenAt(minuteOfDay) && row.roomToRun() >= job.heldTasks
        && m_state.teams.allows(job.team, job.perTask * job.heldTasks);
}

void ReservationBook::fulfil(TimePoint now, uint32_t minuteOfDay, std::vector<RunIndex>& started)
{
    const bool isChanged = m_checkedReleases != m_state.releases;
    m_checkedReleases = m_state.releases;
    for (Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed())
            continue;
        // Reserved capacity must not stand idle for a job that may not start.
        if (!mayStart(reservation, minuteOfDay)) {
            drop(reservation, now);
            continue;
        }
        if (isChanged && startReady(reservation, now, started))
            continue;
        if (reservation.kind == ReservationKind::Urgent || now <= reservation.due)
            continue;
        // Tasks ran longer than expected: counts again from now, and lends no more so that it cannot slip for ever.
        const uint32_t tasks = m_state.jobs[reservation.job].heldTasks;
        reservation.isLent = false;
        releaseHolds(reservation);
        if (!plan(reservation, m_state.jobs[reservation.job], tasks, now))
            drop(reservation, now);
    }
}

bool ReservationBook::startReady(Reservation& reservation, TimePoint now, std::vector<RunIndex>& started)
{
    if (reservation.kind == ReservationKind::Urgent && m_state.jobs[reservation.job].kind != JobKind::Gang) {
        startUrgent(reservation, now, started);
        return !reservation.isUsed();
    }
    if (!holdsReady(reservation))
        return false;
    startAll(reservation, now, started);
    return true;
}

void ReservationBook::startAll(Reservation& reservation, TimePoint now, std::vector<RunIndex>& started)
{
    const JobIndex job = reservation.job;
    JobRecord& record = m_state.jobs[job];
    m_places.assign(reservation.holds.begin(), reservation.holds.end());
    if (record.kind == JobKind::Gang) {
        // An urgent gang has all its holds before it may start.
        if (record.heldTasks < record.queuedTasks.size())
            return;
        ++m_state.statistics.startedGangs;
    }
    releaseHolds(reservation);
    reservation.job = noIndex;
    record.heldTasks = 0;
    for (const Hold& place : m_places) {
        for (uint32_t i = 0; i < place.tasks; ++i)
            started.push_back(startOne(job, place.worker, "capacity reserved for it became free", now));
    }
}

void ReservationBook::startUrgent(Reservation& reservation, TimePoint now, std::vector<RunIndex>& started)
{
    const JobIndex job = reservation.job;
    JobRecord& record = m_state.jobs[job];
    for (size_t i = 0; i < reservation.holds.size();) {
        Hold& hold = reservation.holds[i];
        PlacementWorker& worker = m_state.workers[hold.worker];
        while (hold.tasks && record.perTask.fitsInto(worker.free)) {
            --hold.tasks;
            --record.heldTasks;
            worker.held -= record.perTask;
            worker.heldUrgent -= record.perTask;
            started.push_back(startOne(job, hold.worker, "urgent, on capacity taken from preemptible work", now));
        }
        if (hold.tasks) {
            ++i;
            continue;
        }
        const WorkerIndex freed = hold.worker;
        reservation.holds[i] = reservation.holds.back();
        reservation.holds.pop_back();
        updateDue(freed);
        m_state.workers.reindex(freed);
    }
    if (reservation.holds.empty())
        reservation.job = noIndex;
}

RunIndex ReservationBook::startOne(JobIndex job, WorkerIndex worker, const char* reason, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    HICKORYKNOT_ASSERT(!record.queuedTasks.empty(), "more tasks are held than queued");
    const uint32_t task = record.queuedTasks.back();
    record.waitedFor = WaitCause::Reservation;
    m_ledger.start(job, { worker, reason, 0, 0 }, now);
    return record.taskRuns[task];
}

Choice ReservationBook::findLent(const JobRecord& job, TimePoint now) const
{
    if (job.kind == JobKind::Service)
        return {};
    const TimePoint end = now + m_state.expectedRun(job);
    uint32_t looks = 0;
    for (const Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed() || !reservation.isLent || end > reservation.due)
            continue;
        for (const Hold& hold : reservation.holds) {
            const PlacementWorker& worker = m_state.workers[hold.worker];
            if (worker.isOpen() && end <= worker.holdDue && job.perTask.fitsInto(worker.free))
                return { hold.worker, "expected to end before reserved capacity is needed", 0, 0 };
            if (++looks == maxLentWorkers)
                return {};
        }
    }
    return {};
}

void ReservationBook::drop(Reservation& reservation, TimePoint now)
{
    const JobIndex job = reservation.job;
    releaseHolds(reservation);
    reservation.job = noIndex;
    m_state.jobs[job].heldTasks = 0;
    m_ledger.requeue(job, now);
}

void ReservationBook::dropJob(JobIndex job, TimePoint now)
{
    for (Reservation& reservation : m_state.reservations) {
        if (reservation.job == job)
            drop(reservation, now);
    }
}

void ReservationBook::dropExcess(JobIndex job, TimePoint now)
{
    if (m_state.jobs[job].heldTasks > m_state.jobs[job].queuedTasks.size())
        dropJob(job, now);
}

void ReservationBook::dropWorker(WorkerIndex worker, TimePoint now)
{
    if (m_state.workers[worker].held == Resources {})
        return;
    for (Reservation& reservation : m_state.reservations) {
        const bool isAffected = reservation.isUsed()
            && std::any_of(reservation.holds.begin(), reservation.holds.end(),
                [&](const Hold& hold) { return hold.worker == worker; });
        if (isAffected)
            drop(reservation, now);
    }
}

JobIndex ReservationBook::collectingGang() const
{
    for (const Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed() || reservation.kind != ReservationKind::Urgent)
            continue;
        const JobRecord& job = m_state.jobs[reservation.job];
        if (job.kind == JobKind::Gang && job.heldTasks < job.queuedTasks.size())
            return reservation.job;
    }
    return noIndex;
}

const Reservation* ReservationBook::find(JobIndex job) const
{
    for (const Reservation& reservation : m_state.reservations) {
        if (reservation.job == job)
            return &reservation;
    }
    return nullptr;
}

} // namespace hickoryknot

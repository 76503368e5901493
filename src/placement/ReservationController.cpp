#include "placement/ReservationController.h"

#include <algorithm>
#include <tuple>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

// Of the 64 slots; the others are for urgent tasks.
constexpr size_t maxPlannedReservations = 16;
constexpr double maxPlannedReservationShare = 0.5;
// Bounds the workers visited when choosing a worker for backfill.
constexpr uint32_t maxBackfillWorkers = 64;

} // namespace

const std::vector<WorkerAllocation>& ReservationController::findAllocations(const JobRecord& job)
{
    m_allocations.clear();
    auto unplacedTasks = static_cast<uint32_t>(job.queuedTasks.size());
    m_state.workers.search(job.perTask, [&](WorkerIndex worker) {
        const Resources available = m_state.workers.availableFor(worker, job.perTask);
        const uint32_t tasks = std::min(WorkerTable::fitCount(job.perTask, available), unplacedTasks);
        if (tasks && worker != job.avoidedWorker) {
            m_allocations.push_back({ worker, tasks });
            unplacedTasks -= tasks;
        }
        return unplacedTasks > 0;
    });
    if (unplacedTasks)
        m_allocations.clear();
    return m_allocations;
}

Reservation* ReservationController::findUnused(ReservationKind kind)
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

bool ReservationController::isWithinLimit(const Resources& more) const
{
    Resources reserved;
    for (const Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed() || reservation.kind == ReservationKind::Urgent)
            continue;
        for (const WorkerAllocation& allocation : reservation.allocations)
            reserved += m_state.jobs[reservation.job].perTask * allocation.tasks;
    }
    return reserved == Resources {} || m_state.workers.dominantShare(reserved + more) <= maxPlannedReservationShare;
}

bool ReservationController::reserve(JobIndex job, ReservationKind kind, uint32_t tasks, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    Reservation* reservation = findUnused(kind);
    if (!reservation || record.reservedTasks || !isWithinLimit(record.perTask * tasks))
        return false;
    reservation->kind = kind;
    reservation->createdAt = now;
    reservation->allowsBackfill = m_state.settings.mechanisms.backfillsReservations;
    reservation->job = job;
    if (!plan(*reservation, record, tasks, now)) {
        reservation->job = noIndex;
        return false;
    }
    record.reservedTasks = tasks;
    record.waitCause = WaitCause::Reservation;
    m_allocator.requeue(job, now);
    ++m_state.statistics.reservations;
    return true;
}

bool ReservationController::reserveUrgent(JobIndex job, WorkerIndex worker, TimePoint now)
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
        reservation->createdAt = now;
        reservation->expectedReadyAt = now;
        reservation->allowsBackfill = false;
        ++m_state.statistics.reservations;
    }
    addAllocation(*reservation, worker, 1);
    JobRecord& record = m_state.jobs[job];
    ++record.reservedTasks;
    record.waitCause = WaitCause::Reservation;
    m_allocator.requeue(job, now);
    // The reserved capacity may already be free.
    ++m_state.releaseGeneration;
    return true;
}

bool ReservationController::plan(Reservation& reservation, const JobRecord& job, uint32_t tasks, TimePoint now)
{
    collectFutureCapacity(job.perTask, tasks, now);
    std::sort(
        m_futureCapacities.begin(), m_futureCapacities.end(), [](const FutureCapacity& a, const FutureCapacity& b) {
            return std::tie(a.at, a.worker) < std::tie(b.at, b.worker);
        });
    uint64_t found = 0;
    size_t usedCount = 0;
    for (; usedCount < m_futureCapacities.size() && found < tasks; ++usedCount)
        found += m_futureCapacities[usedCount].tasks;
    if (found < tasks)
        return false;
    m_futureCapacities[usedCount - 1].tasks -= static_cast<uint32_t>(found - tasks);
    reservation.expectedReadyAt = m_futureCapacities[usedCount - 1].at;
    // Sorted by worker, so that addAllocation() merges the entries of each worker.
    std::sort(m_futureCapacities.begin(), m_futureCapacities.begin() + static_cast<std::ptrdiff_t>(usedCount),
        [](const FutureCapacity& a, const FutureCapacity& b) {
            return std::tie(a.worker, a.at) < std::tie(b.worker, b.at);
        });
    for (size_t i = 0; i < usedCount; ++i)
        addAllocation(reservation, m_futureCapacities[i].worker, m_futureCapacities[i].tasks);
    return true;
}

void ReservationController::collectFutureCapacity(const Resources& need, uint32_t tasks, TimePoint now)
{
    m_futureCapacities.clear();
    for (WorkerIndex worker = 0; worker < m_state.workers.size(); ++worker) {
        if (m_state.workers[worker].acceptsTasks() && need.fitsInto(m_state.workers[worker].capacity))
            collectFutureCapacityOn(worker, need, tasks, now);
    }
}

void ReservationController::collectFutureCapacityOn(
    WorkerIndex worker, const Resources& need, uint32_t tasks, TimePoint now)
{
    // Simulates the runs ending in order of their expected end; capacity reserved for others never counts.
    m_runs.clear();
    for (RunIndex run = m_state.workers[worker].firstRun; run != noIndex; run = m_state.runs[run].next) {
        if (m_state.runs[run].expectedEnd != TimePoint::max() || m_state.runs[run].isStopping)
            m_runs.push_back(run);
    }
    const auto endOf = [&](RunIndex run) { return m_state.expectedEnd(m_state.runs[run], now); };
    std::sort(m_runs.begin(), m_runs.end(),
        [&](RunIndex a, RunIndex b) { return std::tuple(endOf(a), a) < std::tuple(endOf(b), b); });

    Resources available = m_state.workers[worker].unreserved();
    uint32_t countedTasks = std::min(WorkerTable::fitCount(need, available), tasks);
    if (countedTasks)
        m_futureCapacities.push_back({ now, worker, countedTasks });
    for (const RunIndex run : m_runs) {
        if (countedTasks == tasks)
            return;
        available += m_state.runs[run].need;
        const uint32_t fitting = std::min(WorkerTable::fitCount(need, available), tasks);
        if (fitting > countedTasks) {
            m_futureCapacities.push_back({ endOf(run), worker, fitting - countedTasks });
            countedTasks = fitting;
        }
    }
}

void ReservationController::addAllocation(Reservation& reservation, WorkerIndex worker, uint32_t tasks)
{
    // One allocation per worker. Planned ones arrive sorted by worker, so the last one is enough to check; urgent ones
    // are few, so all are searched.
    auto existing = reservation.allocations.empty() ? reservation.allocations.end() : reservation.allocations.end() - 1;
    if (reservation.kind == ReservationKind::Urgent) {
        existing = std::find_if(reservation.allocations.begin(), reservation.allocations.end(),
            [&](const WorkerAllocation& allocation) { return allocation.worker == worker; });
    }
    if (existing != reservation.allocations.end() && existing->worker == worker)
        existing->tasks += tasks;
    else
        reservation.allocations.push_back({ worker, tasks });
    const Resources amount = m_state.jobs[reservation.job].perTask * tasks;
    PlacementWorker& record = m_state.workers[worker];
    record.reserved += amount;
    if (reservation.kind == ReservationKind::Urgent)
        record.reservedUrgent += amount;
    record.backfillDeadline = std::min(record.backfillDeadline, backfillDeadlineOf(reservation));
    m_state.workers.reindex(worker);
}

void ReservationController::releaseAllocations(Reservation& reservation)
{
    const Resources need = m_state.jobs[reservation.job].perTask;
    // Each allocation is removed from the list first, so that updateBackfillDeadline() no longer sees it.
    while (!reservation.allocations.empty()) {
        const WorkerAllocation allocation = reservation.allocations.back();
        reservation.allocations.pop_back();
        PlacementWorker& worker = m_state.workers[allocation.worker];
        worker.reserved -= need * allocation.tasks;
        if (reservation.kind == ReservationKind::Urgent)
            worker.reservedUrgent -= need * allocation.tasks;
        updateBackfillDeadline(allocation.worker);
        m_state.workers.reindex(allocation.worker);
        m_allocator.markCapacityGain(allocation.worker);
    }
}

TimePoint ReservationController::backfillDeadlineOf(const Reservation& reservation)
{
    return reservation.allowsBackfill ? reservation.expectedReadyAt : TimePoint::min();
}

void ReservationController::updateBackfillDeadline(WorkerIndex worker)
{
    PlacementWorker& record = m_state.workers[worker];
    record.backfillDeadline = TimePoint::max();
    if (record.reserved == Resources {})
        return;
    for (const Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed())
            continue;
        for (const WorkerAllocation& allocation : reservation.allocations) {
            if (allocation.worker == worker)
                record.backfillDeadline = std::min(record.backfillDeadline, backfillDeadlineOf(reservation));
        }
    }
}

bool ReservationController::isReady(const Reservation& reservation) const
{
    const Resources& need = m_state.jobs[reservation.job].perTask;
    return std::all_of(
        reservation.allocations.begin(), reservation.allocations.end(), [&](const WorkerAllocation& allocation) {
            // Urgent tasks have precedence if both reservations include the same worker.
            const PlacementWorker& worker = m_state.workers[allocation.worker];
            const Resources others = reservation.kind == ReservationKind::Urgent ? Resources {} : worker.reservedUrgent;
            return (need * allocation.tasks).fitsInto(worker.free - others);
        });
}

bool ReservationController::mayStart(const Reservation& reservation, uint32_t minuteOfDay) const
{
    const JobRecord& job = m_state.jobs[reservation.job];
    const RowRecord& row = m_state.rowOf(job);
    return row.isOpenAt(minuteOfDay) && row.remainingRunningLimit() >= job.reservedTasks
        && m_state.teams.allows(job.team, job.perTask * job.reservedTasks);
}

void ReservationController::startAndReplan(TimePoint now, uint32_t minuteOfDay, std::vector<RunIndex>& started)
{
    const bool hasReleases = m_checkedReleaseGeneration != m_state.releaseGeneration;
    m_checkedReleaseGeneration = m_state.releaseGeneration;
    for (Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed())
            continue;
        // Frees the capacity if the job isn't allowed to start now.
        if (!mayStart(reservation, minuteOfDay)) {
            cancel(reservation, now);
            continue;
        }
        if (hasReleases && startIfReady(reservation, now, started))
            continue;
        if (reservation.kind == ReservationKind::Urgent || now <= reservation.expectedReadyAt)
            continue;
        // Tasks ran longer than expected: replan from now, without backfill, so that the reservation can't be delayed
        // without limit.
        const uint32_t tasks = m_state.jobs[reservation.job].reservedTasks;
        reservation.allowsBackfill = false;
        releaseAllocations(reservation);
        if (!plan(reservation, m_state.jobs[reservation.job], tasks, now))
            cancel(reservation, now);
    }
}

bool ReservationController::startIfReady(Reservation& reservation, TimePoint now, std::vector<RunIndex>& started)
{
    if (reservation.kind == ReservationKind::Urgent && m_state.jobs[reservation.job].kind != JobKind::Gang) {
        startUrgentTasks(reservation, now, started);
        return !reservation.isUsed();
    }
    if (!isReady(reservation))
        return false;
    startAllTasks(reservation, now, started);
    return true;
}

void ReservationController::startAllTasks(Reservation& reservation, TimePoint now, std::vector<RunIndex>& started)
{
    const JobIndex job = reservation.job;
    JobRecord& record = m_state.jobs[job];
    m_allocations.assign(reservation.allocations.begin(), reservation.allocations.end());
    if (record.kind == JobKind::Gang) {
        // An urgent gang starts only when all of its tasks have an allocation.
        if (record.reservedTasks < record.queuedTasks.size())
            return;
        ++m_state.statistics.startedGangs;
    }
    releaseAllocations(reservation);
    reservation.job = noIndex;
    record.reservedTasks = 0;
    for (const WorkerAllocation& allocation : m_allocations) {
        for (uint32_t i = 0; i < allocation.tasks; ++i)
            started.push_back(startTask(job, allocation.worker, "capacity reserved for it became free", now));
    }
}

void ReservationController::startUrgentTasks(Reservation& reservation, TimePoint now, std::vector<RunIndex>& started)
{
    const JobIndex job = reservation.job;
    JobRecord& record = m_state.jobs[job];
    for (size_t i = 0; i < reservation.allocations.size();) {
        WorkerAllocation& allocation = reservation.allocations[i];
        PlacementWorker& worker = m_state.workers[allocation.worker];
        while (allocation.tasks && record.perTask.fitsInto(worker.free)) {
            --allocation.tasks;
            --record.reservedTasks;
            worker.reserved -= record.perTask;
            worker.reservedUrgent -= record.perTask;
            started.push_back(
                startTask(job, allocation.worker, "urgent, on capacity taken from preemptible work", now));
        }
        if (allocation.tasks) {
            ++i;
            continue;
        }
        const WorkerIndex freed = allocation.worker;
        reservation.allocations[i] = reservation.allocations.back();
        reservation.allocations.pop_back();
        updateBackfillDeadline(freed);
        m_state.workers.reindex(freed);
    }
    if (reservation.allocations.empty())
        reservation.job = noIndex;
}

RunIndex ReservationController::startTask(JobIndex job, WorkerIndex worker, const char* reason, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    HICKORYKNOT_ASSERT(!record.queuedTasks.empty(), "more tasks are reserved than queued");
    const uint32_t task = record.queuedTasks.back();
    record.waitCause = WaitCause::Reservation;
    m_allocator.start(job, { worker, reason, 0, 0 }, now);
    return record.taskRuns[task];
}

WorkerChoice ReservationController::chooseBackfillWorker(const JobRecord& job, TimePoint now) const
{
    if (job.kind == JobKind::Service)
        return {};
    const TimePoint end = now + m_state.expectedRun(job);
    uint32_t visitedWorkers = 0;
    for (const Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed() || !reservation.allowsBackfill || end > reservation.expectedReadyAt)
            continue;
        for (const WorkerAllocation& allocation : reservation.allocations) {
            const PlacementWorker& worker = m_state.workers[allocation.worker];
            if (worker.acceptsTasks() && end <= worker.backfillDeadline && job.perTask.fitsInto(worker.free))
                return { allocation.worker, "expected to end before reserved capacity is needed", 0, 0 };
            if (++visitedWorkers == maxBackfillWorkers)
                return {};
        }
    }
    return {};
}

void ReservationController::cancel(Reservation& reservation, TimePoint now)
{
    const JobIndex job = reservation.job;
    releaseAllocations(reservation);
    reservation.job = noIndex;
    m_state.jobs[job].reservedTasks = 0;
    m_allocator.requeue(job, now);
}

void ReservationController::cancelForJob(JobIndex job, TimePoint now)
{
    for (Reservation& reservation : m_state.reservations) {
        if (reservation.job == job)
            cancel(reservation, now);
    }
}

void ReservationController::cancelIfExcess(JobIndex job, TimePoint now)
{
    if (m_state.jobs[job].reservedTasks > m_state.jobs[job].queuedTasks.size())
        cancelForJob(job, now);
}

void ReservationController::cancelForWorker(WorkerIndex worker, TimePoint now)
{
    if (m_state.workers[worker].reserved == Resources {})
        return;
    for (Reservation& reservation : m_state.reservations) {
        const bool isAffected = reservation.isUsed()
            && std::any_of(reservation.allocations.begin(), reservation.allocations.end(),
                [&](const WorkerAllocation& allocation) { return allocation.worker == worker; });
        if (isAffected)
            cancel(reservation, now);
    }
}

JobIndex ReservationController::partlyReservedGang() const
{
    for (const Reservation& reservation : m_state.reservations) {
        if (!reservation.isUsed() || reservation.kind != ReservationKind::Urgent)
            continue;
        const JobRecord& job = m_state.jobs[reservation.job];
        if (job.kind == JobKind::Gang && job.reservedTasks < job.queuedTasks.size())
            return reservation.job;
    }
    return noIndex;
}

const Reservation* ReservationController::find(JobIndex job) const
{
    for (const Reservation& reservation : m_state.reservations) {
        if (reservation.job == job)
            return &reservation;
    }
    return nullptr;
}

} // namespace hickoryknot

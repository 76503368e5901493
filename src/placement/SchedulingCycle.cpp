#include "placement/SchedulingCycle.h"

#include <algorithm>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

// Work limits of one decide() call: queue entries visited, worker searches beyond one per decision, workers scanned for
// preemption and so on.
constexpr uint32_t maxQueueVisits = 4096;
constexpr uint32_t maxExtraSearches = 64;
constexpr uint32_t maxScannedWorkers = 4096;
constexpr uint32_t maxRefusalChecks = 4;
constexpr uint32_t maxExpiredTimers = 256;
constexpr uint32_t maxBackfillAttempts = 8;
// Number of jobs of a row that are tried when earlier ones don't fit, divided among the row's teams, with bounds per
// team.
constexpr uint32_t rowLookahead = 1024;
constexpr uint32_t minQueueLookahead = 8;
constexpr uint32_t maxQueueLookahead = 256;
// Number of oldest jobs of a row that are considered for overdue starts and for preemption.
constexpr uint32_t oldestJobsLookahead = 16;
// Overdue rows get one start in this many.
constexpr uint32_t overdueStartInterval = 4;
// Urgent tasks wait for free capacity for urgentWaitBound divided by this, then preempt; the rest of the bound is for
// stopping the preempted tasks.
constexpr int preemptionDelayDivisor = 4;
// Delay before trying a gang again for which no reservation could be made.
constexpr Duration gangRetryDelay = 250ms;
// Tasks without accelerators that are expected to end within this time may use the accelerator reserve while no
// accelerator task is blocked. Bounds the delay of accelerator tasks that arrive meanwhile.
constexpr Duration maxAcceleratorWorkerRunTime = 30s;
// Minimum time between two reservations for overdue rows, because planning one visits every worker.
constexpr Duration overdueReservationInterval = 250ms;

} // namespace

SchedulingCycle::SchedulingCycle(
    EngineState& state, TaskAllocator& allocator, ReservationController& reservations, TaskEndHandler& taskEndHandler)
    : m_state(state)
    , m_allocator(allocator)
    , m_reservations(reservations)
    , m_taskEndHandler(taskEndHandler)
    , m_preemptionPlanner(state)
    , m_refusalCheck(state)
{
}

void SchedulingCycle::run(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>& decisions)
{
    const auto sinceMidnight = wall - std::chrono::floor<std::chrono::days>(wall);
    m_minuteOfDay = static_cast<uint32_t>(std::chrono::floor<std::chrono::minutes>(sinceMidnight).count());
    // Rows may open or close when the minute changes.
    if (m_minuteOfDay != m_lastMinuteOfDay)
        ++m_state.unblockGeneration;
    m_lastMinuteOfDay = m_minuteOfDay;
    m_now = now;
    m_state.latestTime = now;
    m_decisions = &decisions;
    m_queueVisitsLeft = maxQueueVisits;
    m_extraSearchesLeft = maxExtraSearches;
    m_backfillAttemptsLeft = maxBackfillAttempts;
    m_mayTryOverdue = m_state.settings.mechanisms.agesRows;

    requeueAfterDelay();
    refuseUnschedulableJobs();
    stopIncompleteGangs();
    startReservedTasks();
    collectProbeWorkers();
    scheduleRows(decisions.size() + maxDecisions);
    preemptForUrgentRows();
}

void SchedulingCycle::requeueAfterDelay()
{
    for (uint32_t i = 0; i < maxExpiredTimers && m_state.timers.hasExpired(m_now); ++i) {
        const JobTimers::Entry entry = m_state.timers.pop();
        if (m_state.jobs.find(entry.job, entry.generation) != noIndex && !m_state.jobs[entry.job].isWaiting)
            m_allocator.requeue(entry.job, m_now);
    }
}

void SchedulingCycle::refuseUnschedulableJobs()
{
    // Table constraints apply immediately; worker constraints only after the grace period.
    const bool mayCheckWorkers = m_refusalCheck.mayCheckWorkers(m_now);
    size_t position = 0;
    for (uint32_t i = 0; i < maxRefusalChecks && position < m_state.jobsToCheck.size(); ++i) {
        const JobIndex job = m_state.jobsToCheck[position];
        JobRecord& record = m_state.jobs[job];
        std::string reason = m_refusalCheck.checkTable(record);
        if (reason.empty() && !mayCheckWorkers) {
            ++position;
            continue;
        }
        if (reason.empty())
            reason = m_refusalCheck.checkWorkers(record);
        m_state.jobsToCheck[position] = m_state.jobsToCheck.back();
        m_state.jobsToCheck.pop_back();
        record.needsRefusalCheck = false;
        // A job that has run does fit; its worker may just be missing at the moment.
        if (reason.empty() || !record.mayStart() || record.running || record.finished)
            continue;
        record.isRefused = true;
        record.refusalReason = std::move(reason);
        m_taskEndHandler.dropQueued(job, m_now);
        ++m_state.statistics.refusedJobs;
        m_decisions->push_back(
            { DecisionKind::Refuse, { job, record.generation }, 0, WorkerId(), "the job can never run" });
    }
}

void SchedulingCycle::stopIncompleteGangs()
{
    for (const JobIndex job : m_state.incompleteGangs) {
        JobRecord& record = m_state.jobs[job];
        // Members that must not run twice are left to finish.
        if (!record.isRepeatable)
            continue;
        for (const RunIndex run : record.taskRuns) {
            if (run != noIndex && !m_state.runs[run].isStopping)
                preempt(run, "another task of the gang was lost, and all start again together");
        }
    }
}

void SchedulingCycle::startReservedTasks()
{
    m_started.clear();
    m_reservations.startAndReplan(m_now, m_minuteOfDay, m_started);
    for (const RunIndex run : m_started)
        emitPlacement(run);
}

void SchedulingCycle::collectProbeWorkers()
{
    m_probeWorkers.clear();
    for (const WorkerIndex worker : m_state.workersOnProbation) {
        PlacementWorker& record = m_state.workers[worker];
        if (!record.isKnown || record.isLeaving || record.runs || record.nextProbeAt > m_now)
            continue;
        m_probeWorkers.push_back(worker);
        if (!record.isProbeSignalled)
            m_allocator.markCapacityGain(worker);
        record.isProbeSignalled = true;
    }
}

void SchedulingCycle::scheduleRows(size_t maxDecisions)
{
    while (m_decisions->size() < maxDecisions) {
        if (m_mayTryOverdue && m_state.startsSinceOverdueStart + 1 >= overdueStartInterval) {
            m_mayTryOverdue = tryOverdueRows();
            if (m_mayTryOverdue) {
                m_state.startsSinceOverdueStart = 0;
                continue;
            }
        }
        const RowIndex row = selectRow();
        if (row == noIndex)
            return;
        const Attempt attempt = tryRow(row);
        if (attempt == Attempt::LimitReached)
            return;
        if (attempt == Attempt::Started)
            ++m_state.startsSinceOverdueStart;
        else
            m_state.rows[row].blockedAtGeneration = m_state.unblockGeneration;
    }
}

RowIndex SchedulingCycle::selectRow() const
{
    RowIndex best = noIndex;
    for (RowIndex row = 0; row < m_state.rows.size(); ++row) {
        const RowRecord& record = m_state.rows[row];
        if (!record.waitingJobs || record.blockedAtGeneration == m_state.unblockGeneration)
            continue;
        if (best == noIndex || hasPrecedence(record, m_state.rows[best]))
            best = row;
    }
    return best;
}

bool SchedulingCycle::hasPrecedence(const RowRecord& a, const RowRecord& b) const
{
    if (!m_state.settings.mechanisms.ordersRows)
        return lowestSequence(a) < lowestSequence(b);
    if (a.row.isUrgent != b.row.isUrgent)
        return a.row.isUrgent;
    if (a.row.priority != b.row.priority)
        return a.row.priority > b.row.priority;
    return m_state.workers.dominantShare(a.used) * b.row.weight < m_state.workers.dominantShare(b.used) * a.row.weight;
}

uint64_t SchedulingCycle::lowestSequence(const RowRecord& row) const
{
    uint64_t first = UINT64_MAX;
    for (const QueueIndex index : row.queues) {
        const TeamQueue& queue = m_state.waiting[index];
        if (!queue.isEmpty())
            first = std::min(first, m_state.jobs[queue.jobs[queue.first]].sequence);
    }
    return first;
}

SchedulingCycle::Attempt SchedulingCycle::tryRow(RowIndex index)
{
    RowRecord& row = m_state.rows[index];
    const WaitCause rowWaitCause = !row.isOpenAt(m_minuteOfDay) ? WaitCause::Hours : WaitCause::MaxRunning;
    if (rowWaitCause == WaitCause::Hours || row.isAtMaxRunning()) {
        m_state.jobs[row.oldestWaiting].waitCause = rowWaitCause;
        return Attempt::Blocked;
    }
    const auto queues = static_cast<uint32_t>(row.queues.size());
    for (uint32_t i = 0; i < queues; ++i) {
        const uint32_t position = row.nextQueue < queues ? row.nextQueue : 0;
        const Attempt attempt = tryQueue(row.queues[position], row);
        if (attempt == Attempt::LimitReached)
            return attempt;
        // Round-robin: after a start, the next team is first.
        row.nextQueue = position + 1;
        if (attempt == Attempt::Started)
            return attempt;
    }
    return Attempt::Blocked;
}

SchedulingCycle::Attempt SchedulingCycle::tryQueue(QueueIndex index, RowRecord& row)
{
    TeamQueue& queue = m_state.waiting[index];
    if (queue.isEmpty() || queue.blockedAtGeneration == m_state.unblockGeneration)
        return Attempt::Blocked;
    const uint32_t lookahead
        = std::clamp(rowLookahead / static_cast<uint32_t>(row.queues.size()), minQueueLookahead, maxQueueLookahead);
    for (uint32_t i = 0; i < lookahead && queue.first + i < queue.jobs.size();) {
        if (!m_queueVisitsLeft || !m_extraSearchesLeft)
            return Attempt::LimitReached;
        --m_queueVisitsLeft;
        const uint32_t before = row.waitingJobs;
        if (tryJob(queue.jobs[queue.first + i]))
            return Attempt::Started;
        // A gang may have left the queue to wait for a reservation or a timer; the next job has then moved to position
        // i.
        i += row.waitingJobs == before;
    }
    queue.blockedAtGeneration = m_state.unblockGeneration;
    return Attempt::Blocked;
}

bool SchedulingCycle::tryJob(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    if (record.kind == JobKind::Gang)
        return tryGang(job);
    if (m_state.shapes.isBlocked(record.shape)) {
        record.waitCause = WaitCause::Capacity;
        return tryBackfill(job);
    }
    return checkLimits(record, 1) && tryTask(job);
}

bool SchedulingCycle::tryBackfill(JobIndex job)
{
    // A blocked shape can still be backfilled, because that also depends on the run time.
    JobRecord& record = m_state.jobs[job];
    if (!m_backfillAttemptsLeft || !checkLimits(record, 1))
        return false;
    --m_backfillAttemptsLeft;
    const WorkerChoice choice = chooseBackfillWorker(record);
    if (choice.isFound())
        place(job, choice);
    return choice.isFound();
}

bool SchedulingCycle::checkLimits(JobRecord& record, uint32_t tasks)
{
    const RowRecord& row = m_state.rowOf(record);
    if (row.remainingRunningLimit() < tasks) {
        record.waitCause = WaitCause::MaxRunning;
        return false;
    }
    if (!m_state.teams.allows(record.team, record.perTask * tasks)) {
        record.waitCause = WaitCause::Quota;
        m_state.teams[record.team].hasBlockedJobs = true;
        return false;
    }
    return true;
}

bool SchedulingCycle::tryTask(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    const WorkerChoice choice = chooseWorker(record);
    if (choice.isFound()) {
        place(job, choice);
        return true;
    }
    --m_extraSearchesLeft;
    record.waitCause = WaitCause::Capacity;
    m_state.shapes.block(record.shape);
    return false;
}

WorkerChoice SchedulingCycle::chooseWorker(const JobRecord& record)
{
    WorkerChoice choice = chooseProbeWorker(record);
    if (!choice.isFound())
        choice = chooserFor(record).choose(m_state, record);
    return choice.isFound() ? choice : chooseBackfillWorker(record);
}

WorkerChoice SchedulingCycle::chooseBackfillWorker(const JobRecord& record)
{
    if (m_state.settings.mechanisms.backfillsReservations) {
        const WorkerChoice choice = m_reservations.chooseBackfillWorker(record, m_now);
        m_state.statistics.backfilledTasks += choice.isFound();
        if (choice.isFound())
            return choice;
    }
    return chooseAcceleratorWorker(record);
}

WorkerChoice SchedulingCycle::chooseAcceleratorWorker(const JobRecord& record) const
{
    const bool isEligible = !record.perTask.accelerators.count() && record.kind == JobKind::Batch
        && !m_state.shapes.hasBlockedAccelerators() && m_state.expectedRun(record) <= maxAcceleratorWorkerRunTime;
    if (!isEligible)
        return {};
    WorkerChoice choice { noIndex, "short work beside accelerators that no one waits for", 0, 0 };
    m_state.workers.searchAcceleratorWorkers(record.perTask, [&](WorkerIndex worker) {
        if (worker != record.avoidedWorker && record.perTask.fitsInto(m_state.workers[worker].unreserved()))
            choice.worker = worker;
        return !choice.isFound();
    });
    return choice;
}

WorkerChoice SchedulingCycle::chooseProbeWorker(const JobRecord& record)
{
    if (m_probeWorkers.empty() || record.kind != JobKind::Batch || !record.isRepeatable
        || m_state.rowOf(record).row.isUrgent)
        return {};
    for (size_t i = 0; i < m_probeWorkers.size(); ++i) {
        const WorkerIndex worker = m_probeWorkers[i];
        // Retrying the same task on the worker where it failed would give no new evidence about the worker.
        if (worker == record.avoidedWorker || !record.perTask.fitsInto(m_state.workers[worker].free))
            continue;
        m_probeWorkers.erase(m_probeWorkers.begin() + static_cast<std::ptrdiff_t>(i));
        ++m_state.statistics.probeTasks;
        return { worker, "probe of a worker that failed its tasks", 0, 0 };
    }
    return {};
}

const WorkerChooser& SchedulingCycle::chooserFor(const JobRecord& record) const
{
    if (!m_state.settings.mechanisms.usesBestFit)
        return m_firstFitChooser;
    const bool spreads
        = record.kind == JobKind::Service || m_state.rowOf(record).row.placement == PlacementStyle::Spread;
    if (spreads)
        return m_spreadChooser;
    return m_packChooser;
}

bool SchedulingCycle::tryGang(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    const auto tasks = static_cast<uint32_t>(record.queuedTasks.size());
    if (!checkLimits(record, tasks))
        return false;
    m_extraSearchesLeft -= std::min(m_extraSearchesLeft, 8U);
    // The allocations stay valid in the loop below, because each start uses only capacity that was counted for it.
    const std::vector<WorkerAllocation>& allocations = m_reservations.findAllocations(record);
    if (!allocations.empty()) {
        ++m_state.statistics.startedGangs;
        // An urgent gang may have a partial reservation; the allocations found don't include it.
        m_reservations.cancelForJob(job, m_now);
        for (const WorkerAllocation& allocation : allocations) {
            for (uint32_t i = 0; i < allocation.tasks; ++i)
                place(job, { allocation.worker, "all tasks of the gang fit at once", 0, 0 });
        }
        return true;
    }
    record.waitCause = WaitCause::Capacity;
    // An urgent gang stays queued for preemptForUrgentRows().
    if (m_state.rowOf(record).row.isUrgent && m_state.settings.mechanisms.preemptsForUrgent)
        return false;
    const bool isReserved = m_state.settings.mechanisms.reservesCapacity
        && m_reservations.reserve(job, ReservationKind::Gang, tasks, m_now);
    if (!isReserved)
        scheduleRetry(job);
    return false;
}

bool SchedulingCycle::isOverdue(const RowRecord& row) const
{
    return row.oldestWaiting != noIndex && m_now - m_state.jobs[row.oldestWaiting].waitingSince > row.row.waitBound;
}

bool SchedulingCycle::tryOverdueRows()
{
    for (RowIndex index = 0; index < m_state.rows.size(); ++index) {
        RowRecord& row = m_state.rows[index];
        if (!isOverdue(row) || !row.isOpenAt(m_minuteOfDay) || row.isAtMaxRunning())
            continue;
        const JobIndex job = oldestEligibleJob(row);
        if (job == noIndex)
            continue;
        if (m_state.jobs[job].kind == JobKind::Gang || !m_state.shapes.isBlocked(m_state.jobs[job].shape)) {
            if (tryJob(job))
                return true;
        }
        // Doesn't fit: reserve capacity for one task, so that smaller tasks can't starve it.
        const JobRecord& record = m_state.jobs[job];
        const bool mayReserve = m_state.settings.mechanisms.reservesCapacity && m_now >= m_nextOverdueReservation;
        if (mayReserve && record.isWaiting && record.kind != JobKind::Gang) {
            m_nextOverdueReservation = m_now + overdueReservationInterval;
            m_reservations.reserve(job, ReservationKind::Overdue, 1, m_now);
        }
    }
    return false;
}

JobIndex SchedulingCycle::oldestEligibleJob(const RowRecord& row)
{
    JobIndex job = row.oldestWaiting;
    for (uint32_t i = 0; i < oldestJobsLookahead && job != noIndex; ++i) {
        JobRecord& record = m_state.jobs[job];
        const uint32_t tasks = record.kind == JobKind::Gang ? static_cast<uint32_t>(record.queuedTasks.size()) : 1;
        if (!record.reservedTasks && checkLimits(record, tasks))
            return job;
        job = record.newerInRow;
    }
    return noIndex;
}

void SchedulingCycle::preemptForUrgentRows()
{
    if (!m_state.settings.mechanisms.preemptsForUrgent)
        return;
    uint32_t scansLeft = std::max(maxScannedWorkers / std::max(m_state.workers.knownCount(), 1U), 1U);
    scansLeft = std::min(scansLeft, 4U);
    // A gang with a partial reservation has precedence over all others.
    const JobIndex partialGang = m_reservations.partlyReservedGang();
    if (partialGang != noIndex)
        preemptForJob(partialGang, scansLeft);
    for (RowIndex index = 0; index < m_state.rows.size() && scansLeft; ++index) {
        const RowRecord& row = m_state.rows[index];
        if (!row.row.isUrgent || !row.isOpenAt(m_minuteOfDay))
            continue;
        JobIndex job = row.oldestWaiting;
        for (uint32_t i = 0; i < oldestJobsLookahead && job != noIndex && scansLeft; ++i) {
            const JobIndex newer = m_state.jobs[job].newerInRow;
            const bool isAllowed
                = m_state.jobs[job].kind != JobKind::Gang || m_reservations.partlyReservedGang() == noIndex;
            if (isAllowed && hasUrgentDelayElapsed(m_state.jobs[job]))
                preemptForJob(job, scansLeft);
            job = newer;
        }
    }
}

void SchedulingCycle::preemptForJob(JobIndex job, uint32_t& scansLeft)
{
    const JobRecord& record = m_state.jobs[job];
    if (record.kind == JobKind::Gang && scansLeft && !canPreemptForGang(job)) {
        --scansLeft;
        return;
    }
    while (scansLeft && record.isWaiting) {
        --scansLeft;
        if (!preemptForTask(job))
            return;
    }
}

bool SchedulingCycle::canPreemptForGang(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    const auto tasks = static_cast<uint32_t>(record.queuedTasks.size());
    if (record.reservedTasks)
        return true;
    // Nothing is preempted for a gang that couldn't start even then; it reserves capacity like other gangs.
    const bool isAllowed = checkLimits(record, tasks);
    if (isAllowed && m_preemptionPlanner.canFreeCapacityFor(record, tasks))
        return true;
    const bool isReserved = isAllowed && m_state.settings.mechanisms.reservesCapacity
        && m_reservations.reserve(job, ReservationKind::Gang, tasks, m_now);
    if (!isReserved)
        scheduleRetry(job);
    return false;
}

void SchedulingCycle::scheduleRetry(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    record.notBefore = std::max(record.notBefore, m_now + gangRetryDelay);
    m_allocator.requeue(job, m_now);
}

bool SchedulingCycle::hasUrgentDelayElapsed(const JobRecord& record) const
{
    return m_now - record.queuedSince >= m_state.settings.urgentWaitBound / preemptionDelayDivisor;
}

bool SchedulingCycle::preemptForTask(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    const bool isAllowed = checkLimits(record, record.reservedTasks + 1);
    const WorkerIndex worker = isAllowed ? m_preemptionPlanner.plan(record, m_now) : noIndex;
    if (worker == noIndex || !m_reservations.reserveUrgent(job, worker, m_now)) {
        // A gang must not keep a partial reservation that others could use.
        if (record.kind == JobKind::Gang) {
            m_reservations.cancelForJob(job, m_now);
            scheduleRetry(job);
        }
        return false;
    }
    for (const RunIndex run : m_preemptionPlanner.victims())
        preempt(run, "stopped for urgent work");
    return true;
}

void SchedulingCycle::place(JobIndex job, const WorkerChoice& choice)
{
    JobRecord& record = m_state.jobs[job];
    const uint32_t task = record.queuedTasks.back();
    m_allocator.start(job, choice, m_now);
    emitPlacement(record.taskRuns[task]);
}

void SchedulingCycle::preempt(RunIndex index, const char* reason)
{
    Run& run = m_state.runs[index];
    run.isStopping = true;
    ++m_state.statistics.preemptedTasks;
    m_state.statistics.lostWork += m_now - run.startedAt;
    m_decisions->push_back({ DecisionKind::Preempt, { run.job, m_state.jobs[run.job].generation }, run.task,
        m_state.workers.name(run.worker), reason });
}

void SchedulingCycle::emitPlacement(RunIndex index)
{
    const Run& run = m_state.runs[index];
    m_decisions->push_back({ DecisionKind::Place, { run.job, m_state.jobs[run.job].generation }, run.task,
        m_state.workers.name(run.worker), run.reason });
}

} // namespace hickoryknot

#include "placement/DecisionLoop.h"

#include <algorithm>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

// Bounds of one decide() call. Queue entries looked at, worker searches beyond one per decision, and whole-cell scans.
constexpr uint32_t maxLooks = 4096;
constexpr uint32_t spareSearches = 64;
constexpr uint32_t maxScannedWorkers = 4096;
constexpr uint32_t maxRefusalChecks = 4;
constexpr uint32_t maxWakes = 256;
constexpr uint32_t maxLentTries = 8;
// Jobs of one row that are tried past jobs that do not fit, shared by the teams of the row, and bounds for each team.
constexpr uint32_t rowDepth = 1024;
constexpr uint32_t minQueueDepth = 8;
constexpr uint32_t maxQueueDepth = 256;
// Jobs looked at in order of age for overdue and urgent rows.
constexpr uint32_t ageDepth = 16;
// Overdue rows get one start in this many.
constexpr uint32_t overdueTurn = 4;
// Urgent work looks for free capacity during this part of its bound, then stops preemptible work; the rest of the bound
// is for stopping it.
constexpr int urgentPatiencePart = 4;
// A gang for which no reservation can be made is looked at again after this.
constexpr Duration gangRetry = 250ms;
// Work without accelerators that should end within this may use what is set aside for free accelerators, while no work
// with accelerators waits; such work then waits no longer than this.
constexpr Duration longestBesideAccelerators = 30s;
// Planning a reservation looks at every worker, so overdue rows plan at most one in this time.
constexpr Duration reservationPause = 250ms;

} // namespace

DecisionLoop::DecisionLoop(EngineState& state, TaskLedger& ledger, ReservationBook& reservations, TaskEndings& endings)
    : m_state(state)
    , m_ledger(ledger)
    , m_reservations(reservations)
    , m_endings(endings)
    , m_preemption(state)
    , m_refusals(state)
{
}

void DecisionLoop::run(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>& decisions)
{
    const auto sinceMidnight = wall - std::chrono::floor<std::chrono::days>(wall);
    m_minuteOfDay = static_cast<uint32_t>(std::chrono::floor<std::chrono::minutes>(sinceMidnight).count());
    // Rows may open when the minute changes.
    if (m_minuteOfDay != m_lastMinuteOfDay)
        ++m_state.progress;
    m_lastMinuteOfDay = m_minuteOfDay;
    m_now = now;
    m_state.latestTime = now;
    m_decisions = &decisions;
    m_looksLeft = maxLooks;
    m_searchesLeft = spareSearches;
    m_lentTriesLeft = maxLentTries;
    m_mayTryOverdue = m_state.settings.mechanisms.agesRows;

    wakeJobs();
    refuseUnfit();
    stopBrokenGangs();
    startReserved();
    findProbes();
    takeTurns(decisions.size() + maxDecisions);
    makeRoomForUrgent();
}

void DecisionLoop::wakeJobs()
{
    for (uint32_t i = 0; i < maxWakes && m_state.timers.isDue(m_now); ++i) {
        const Timers::Entry entry = m_state.timers.take();
        if (m_state.jobs.find(entry.job, entry.generation) != noIndex && !m_state.jobs[entry.job].isWaiting)
            m_ledger.requeue(entry.job, m_now);
    }
}

void DecisionLoop::refuseUnfit()
{
    // The workers must have been known for a while; table constraints hold at once.
    const bool isSettled = m_refusals.mayRefuseByWorkers(m_now);
    size_t position = 0;
    for (uint32_t i = 0; i < maxRefusalChecks && position < m_state.jobsToCheck.size(); ++i) {
        const JobIndex job = m_state.jobsToCheck[position];
        JobRecord& record = m_state.jobs[job];
        std::string reason = m_refusals.againstTable(record);
        if (reason.empty() && !isSettled) {
            ++position;
            continue;
        }
        if (reason.empty())
            reason = m_refusals.againstWorkers(record);
        m_state.jobsToCheck[position] = m_state.jobsToCheck.back();
        m_state.jobsToCheck.pop_back();
        record.needsFitCheck = false;
        // A job that has run fits; its worker may only be away.
        if (reason.empty() || !record.mayStart() || record.running || record.finished)
            continue;
        record.isRefused = true;
        record.refusal = std::move(reason);
        m_endings.dropQueued(job, m_now);
        ++m_state.statistics.refusedJobs;
        m_decisions->push_back(
            { DecisionKind::Refuse, { job, record.generation }, 0, WorkerId(), "the job can never run" });
    }
}

void DecisionLoop::stopBrokenGangs()
{
    for (const JobIndex job : m_state.brokenGangs) {
        JobRecord& record = m_state.jobs[job];
        // Members that must not run twice go on to their end.
        if (!record.isRepeatable)
            continue;
        for (const RunIndex run : record.taskRuns) {
            if (run != noIndex && !m_state.runs[run].isStopping)
                stop(run, "another task of the gang was lost, and all start again together");
        }
    }
}

void DecisionLoop::startReserved()
{
    m_started.clear();
    m_reservations.fulfil(m_now, m_minuteOfDay, m_started);
    for (const RunIndex run : m_started)
        report(run);
}

void DecisionLoop::findProbes()
{
    m_readyProbes.clear();
    for (const WorkerIndex worker : m_state.probation) {
        PlacementWorker& record = m_state.workers[worker];
        if (!record.isKnown || record.isLeaving || record.runs || record.nextProbeAt > m_now)
            continue;
        m_readyProbes.push_back(worker);
        if (!record.isProbeOffered)
            m_ledger.noteGain(worker);
        record.isProbeOffered = true;
    }
}

void DecisionLoop::takeTurns(size_t maxDecisions)
{
    while (m_decisions->size() < maxDecisions) {
        if (m_mayTryOverdue && m_state.startsSinceOverdue + 1 >= overdueTurn) {
            m_mayTryOverdue = tryOverdue();
            if (m_mayTryOverdue) {
                m_state.startsSinceOverdue = 0;
                continue;
            }
        }
        const RowIndex row = nextRow();
        if (row == noIndex)
            return;
        const Trial trial = tryRow(row);
        if (trial == Trial::OutOfWork)
            return;
        if (trial == Trial::Started)
            ++m_state.startsSinceOverdue;
        else
            m_state.rows[row].blockedAt = m_state.progress;
    }
}

RowIndex DecisionLoop::nextRow() const
{
    RowIndex best = noIndex;
    for (RowIndex row = 0; row < m_state.rows.size(); ++row) {
        const RowRecord& record = m_state.rows[row];
        if (!record.waitingJobs || record.blockedAt == m_state.progress)
            continue;
        if (best == noIndex || goesBefore(record, m_state.rows[best]))
            best = row;
    }
    return best;
}

bool DecisionLoop::goesBefore(const RowRecord& a, const RowRecord& b) const
{
    if (!m_state.settings.mechanisms.ordersRows)
        return firstSequence(a) < firstSequence(b);
    if (a.row.isUrgent != b.row.isUrgent)
        return a.row.isUrgent;
    if (a.row.priority != b.row.priority)
        return a.row.priority > b.row.priority;
    return m_state.workers.dominantShare(a.used) * b.row.weight < m_state.workers.dominantShare(b.used) * a.row.weight;
}

uint64_t DecisionLoop::firstSequence(const RowRecord& row) const
{
    uint64_t first = UINT64_MAX;
    for (const QueueIndex index : row.queues) {
        const TeamQueue& queue = m_state.waiting[index];
        if (!queue.isEmpty())
            first = std::min(first, m_state.jobs[queue.jobs[queue.first]].sequence);
    }
    return first;
}

DecisionLoop::Trial DecisionLoop::tryRow(RowIndex index)
{
    RowRecord& row = m_state.rows[index];
    const WaitCause closed = !row.isOpenAt(m_minuteOfDay) ? WaitCause::Hours : WaitCause::MaxRunning;
    if (closed == WaitCause::Hours || row.isFull()) {
        m_state.jobs[row.oldestWaiting].waitedFor = closed;
        return Trial::Blocked;
    }
    const auto queues = static_cast<uint32_t>(row.queues.size());
    for (uint32_t i = 0; i < queues; ++i) {
        const uint32_t position = row.nextQueue < queues ? row.nextQueue : 0;
        const Trial trial = tryQueue(row.queues[position], row);
        if (trial == Trial::OutOfWork)
            return trial;
        // After a start the next team has its turn.
        row.nextQueue = position + 1;
        if (trial == Trial::Started)
            return trial;
    }
    return Trial::Blocked;
}

DecisionLoop::Trial DecisionLoop::tryQueue(QueueIndex index, RowRecord& row)
{
    TeamQueue& queue = m_state.waiting[index];
    if (queue.isEmpty() || queue.blockedAt == m_state.progress)
        return Trial::Blocked;
    const uint32_t depth
        = std::clamp(rowDepth / static_cast<uint32_t>(row.queues.size()), minQueueDepth, maxQueueDepth);
    for (uint32_t i = 0; i < depth && queue.first + i < queue.jobs.size();) {
        if (!m_looksLeft || !m_searchesLeft)
            return Trial::OutOfWork;
        --m_looksLeft;
        const uint32_t before = row.waitingJobs;
        if (tryJob(queue.jobs[queue.first + i]))
            return Trial::Started;
        // A gang may have left the queue to wait for a reservation or a timer; the next job is then at its position.
        i += row.waitingJobs == before;
    }
    queue.blockedAt = m_state.progress;
    return Trial::Blocked;
}

bool DecisionLoop::tryJob(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    if (record.kind == JobKind::Gang)
        return tryGang(job);
    if (m_state.shapes.isBlocked(record.shape)) {
        record.waitedFor = WaitCause::Capacity;
        return tryLent(job);
    }
    return mayRun(record, 1) && tryTask(job);
}

bool DecisionLoop::tryLent(JobIndex job)
{
    // Whether capacity is lent depends on the run time too, which blocked sizes do not show.
    JobRecord& record = m_state.jobs[job];
    if (!m_lentTriesLeft || !mayRun(record, 1))
        return false;
    --m_lentTriesLeft;
    const Choice choice = chooseLent(record);
    if (choice.isFound())
        place(job, choice);
    return choice.isFound();
}

bool DecisionLoop::mayRun(JobRecord& record, uint32_t tasks)
{
    const RowRecord& row = m_state.rowOf(record);
    if (row.roomToRun() < tasks) {
        record.waitedFor = WaitCause::MaxRunning;
        return false;
    }
    if (!m_state.teams.allows(record.team, record.perTask * tasks)) {
        record.waitedFor = WaitCause::Quota;
        m_state.teams[record.team].isAwaited = true;
        return false;
    }
    return true;
}

bool DecisionLoop::tryTask(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    const Choice choice = choose(record);
    if (choice.isFound()) {
        place(job, choice);
        return true;
    }
    --m_searchesLeft;
    record.waitedFor = WaitCause::Capacity;
    m_state.shapes.block(record.shape);
    return false;
}

Choice DecisionLoop::choose(const JobRecord& record)
{
    Choice choice = chooseProbe(record);
    if (!choice.isFound())
        choice = chooserFor(record).choose(m_state, record);
    return choice.isFound() ? choice : chooseLent(record);
}

Choice DecisionLoop::chooseLent(const JobRecord& record)
{
    if (m_state.settings.mechanisms.backfillsReservations) {
        const Choice choice = m_reservations.findLent(record, m_now);
        m_state.statistics.backfilledTasks += choice.isFound();
        if (choice.isFound())
            return choice;
    }
    return chooseBesideAccelerators(record);
}

Choice DecisionLoop::chooseBesideAccelerators(const JobRecord& record) const
{
    const bool mayBorrow = !record.perTask.accelerators.count() && record.kind == JobKind::Batch
        && !m_state.shapes.hasBlockedAccelerators() && m_state.expectedRun(record) <= longestBesideAccelerators;
    if (!mayBorrow)
        return {};
    Choice choice { noIndex, "short work beside accelerators that no one waits for", 0, 0 };
    m_state.workers.searchBesideAccelerators(record.perTask, [&](WorkerIndex worker) {
        if (worker != record.avoidedWorker && record.perTask.fitsInto(m_state.workers[worker].open()))
            choice.worker = worker;
        return !choice.isFound();
    });
    return choice;
}

Choice DecisionLoop::chooseProbe(const JobRecord& record)
{
    if (m_readyProbes.empty() || record.kind != JobKind::Batch || !record.isRepeatable
        || m_state.rowOf(record).row.isUrgent)
        return {};
    for (size_t i = 0; i < m_readyProbes.size(); ++i) {
        const WorkerIndex worker = m_readyProbes[i];
        // The retry of a failed probe would say nothing about the worker.
        if (worker == record.avoidedWorker || !record.perTask.fitsInto(m_state.workers[worker].free))
            continue;
        m_readyProbes.erase(m_readyProbes.begin() + static_cast<std::ptrdiff_t>(i));
        ++m_state.statistics.probeTasks;
        return { worker, "probe of a worker that failed its tasks", 0, 0 };
    }
    return {};
}

const WorkerChooser& DecisionLoop::chooserFor(const JobRecord& record) const
{
    if (!m_state.settings.mechanisms.usesBestFit)
        return m_firstFit;
    const bool spreads
        = record.kind == JobKind::Service || m_state.rowOf(record).row.placement == PlacementStyle::Spread;
    if (spreads)
        return m_spread;
    return m_pack;
}

bool DecisionLoop::tryGang(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    const auto tasks = static_cast<uint32_t>(record.queuedTasks.size());
    if (!mayRun(record, tasks))
        return false;
    m_searchesLeft -= std::min(m_searchesLeft, 8U);
    // The places stay valid while they are used: a start takes only what was counted.
    const std::vector<Hold>& places = m_reservations.findFreePlaces(record);
    if (!places.empty()) {
        ++m_state.statistics.startedGangs;
        // An urgent gang may hold a part of the capacity already; the places were found beside that.
        m_reservations.dropJob(job, m_now);
        for (const Hold& hold : places) {
            for (uint32_t i = 0; i < hold.tasks; ++i)
                place(job, { hold.worker, "all tasks of the gang fit at once", 0, 0 });
        }
        return true;
    }
    record.waitedFor = WaitCause::Capacity;
    // An urgent gang stays in its queue, where makeRoomForUrgent() finds it.
    if (m_state.rowOf(record).row.isUrgent && m_state.settings.mechanisms.preemptsForUrgent)
        return false;
    const bool isReserved = m_state.settings.mechanisms.reservesCapacity
        && m_reservations.reserve(job, ReservationKind::Gang, tasks, m_now);
    if (!isReserved)
        postpone(job);
    return false;
}

bool DecisionLoop::isOverdue(const RowRecord& row) const
{
    return row.oldestWaiting != noIndex && m_now - m_state.jobs[row.oldestWaiting].waitingSince > row.row.waitBound;
}

bool DecisionLoop::tryOverdue()
{
    for (RowIndex index = 0; index < m_state.rows.size(); ++index) {
        RowRecord& row = m_state.rows[index];
        if (!isOverdue(row) || !row.isOpenAt(m_minuteOfDay) || row.isFull())
            continue;
        const JobIndex job = oldestEligible(row);
        if (job == noIndex)
            continue;
        if (m_state.jobs[job].kind == JobKind::Gang || !m_state.shapes.isBlocked(m_state.jobs[job].shape)) {
            if (tryJob(job))
                return true;
        }
        // Does not fit: capacity is collected for one task, so that smaller work cannot pass it for ever.
        const JobRecord& record = m_state.jobs[job];
        const bool mayReserve = m_state.settings.mechanisms.reservesCapacity && m_now >= m_nextOverdueReservation;
        if (mayReserve && record.isWaiting && record.kind != JobKind::Gang) {
            m_nextOverdueReservation = m_now + reservationPause;
            m_reservations.reserve(job, ReservationKind::Overdue, 1, m_now);
        }
    }
    return false;
}

JobIndex DecisionLoop::oldestEligible(const RowRecord& row)
{
    JobIndex job = row.oldestWaiting;
    for (uint32_t i = 0; i < ageDepth && job != noIndex; ++i) {
        JobRecord& record = m_state.jobs[job];
        const uint32_t tasks = record.kind == JobKind::Gang ? static_cast<uint32_t>(record.queuedTasks.size()) : 1;
        if (!record.heldTasks && mayRun(record, tasks))
            return job;
        job = record.newerInRow;
    }
    return noIndex;
}

void DecisionLoop::makeRoomForUrgent()
{
    if (!m_state.settings.mechanisms.preemptsForUrgent)
        return;
    uint32_t scansLeft = std::max(maxScannedWorkers / std::max(m_state.workers.knownCount(), 1U), 1U);
    scansLeft = std::min(scansLeft, 4U);
    // A gang that has begun to collect goes on before all others.
    const JobIndex collecting = m_reservations.collectingGang();
    if (collecting != noIndex)
        makeRoomFor(collecting, scansLeft);
    for (RowIndex index = 0; index < m_state.rows.size() && scansLeft; ++index) {
        const RowRecord& row = m_state.rows[index];
        if (!row.row.isUrgent || !row.isOpenAt(m_minuteOfDay))
            continue;
        JobIndex job = row.oldestWaiting;
        for (uint32_t i = 0; i < ageDepth && job != noIndex && scansLeft; ++i) {
            const JobIndex newer = m_state.jobs[job].newerInRow;
            const bool isFree = m_state.jobs[job].kind != JobKind::Gang || m_reservations.collectingGang() == noIndex;
            if (isFree && isLate(m_state.jobs[job]))
                makeRoomFor(job, scansLeft);
            job = newer;
        }
    }
}

void DecisionLoop::makeRoomFor(JobIndex job, uint32_t& scansLeft)
{
    const JobRecord& record = m_state.jobs[job];
    if (record.kind == JobKind::Gang && scansLeft && !canMakeRoomForGang(job)) {
        --scansLeft;
        return;
    }
    while (scansLeft && record.isWaiting) {
        --scansLeft;
        if (!makeRoomForTask(job))
            return;
    }
}

bool DecisionLoop::canMakeRoomForGang(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    const auto tasks = static_cast<uint32_t>(record.queuedTasks.size());
    if (record.heldTasks)
        return true;
    // Nothing is stopped for a gang that could not start even so; it waits for capacity like any other.
    const bool isAllowed = mayRun(record, tasks);
    if (isAllowed && m_preemption.hasRoomFor(record, tasks))
        return true;
    const bool isReserved = isAllowed && m_state.settings.mechanisms.reservesCapacity
        && m_reservations.reserve(job, ReservationKind::Gang, tasks, m_now);
    if (!isReserved)
        postpone(job);
    return false;
}

void DecisionLoop::postpone(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    record.notBefore = std::max(record.notBefore, m_now + gangRetry);
    m_ledger.requeue(job, m_now);
}

bool DecisionLoop::isLate(const JobRecord& record) const
{
    return m_now - record.queuedSince >= m_state.settings.urgentBound / urgentPatiencePart;
}

bool DecisionLoop::makeRoomForTask(JobIndex job)
{
    JobRecord& record = m_state.jobs[job];
    const bool isAllowed = mayRun(record, record.heldTasks + 1);
    const WorkerIndex worker = isAllowed ? m_preemption.plan(record, m_now) : noIndex;
    if (worker == noIndex || !m_reservations.holdUrgent(job, worker, m_now)) {
        // A gang must not sit on half of its capacity while others need it.
        if (record.kind == JobKind::Gang) {
            m_reservations.dropJob(job, m_now);
            postpone(job);
        }
        return false;
    }
    for (const RunIndex run : m_preemption.victims())
        stop(run, "stopped for urgent work");
    return true;
}

void DecisionLoop::place(JobIndex job, const Choice& choice)
{
    JobRecord& record = m_state.jobs[job];
    const uint32_t task = record.queuedTasks.back();
    m_ledger.start(job, choice, m_now);
    report(record.taskRuns[task]);
}

void DecisionLoop::stop(RunIndex index, const char* reason)
{
    Run& run = m_state.runs[index];
    run.isStopping = true;
    ++m_state.statistics.preemptedTasks;
    m_state.statistics.lostWork += m_now - run.startedAt;
    m_decisions->push_back({ DecisionKind::Preempt, { run.job, m_state.jobs[run.job].generation }, run.task,
        m_state.workers.name(run.worker), reason });
}

void DecisionLoop::report(RunIndex index)
{
    const Run& run = m_state.runs[index];
    m_decisions->push_back({ DecisionKind::Place, { run.job, m_state.jobs[run.job].generation }, run.task,
        m_state.workers.name(run.worker), run.reason });
}

} // namespace hickoryknot

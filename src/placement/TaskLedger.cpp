#include "placement/TaskLedger.h"

#include <algorithm>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

// What one accelerator counts for when tasks are ordered by size; workers with accelerators have four cores for each.
// Memory counts 2 MiB to the millicore, as on the present workers of 16 cores and 32 GB.
constexpr int64_t millicoresPerAccelerator = 4000;

} // namespace

void TaskLedger::start(JobIndex job, const Choice& choice, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    HICKORYKNOT_ASSERT(!record.queuedTasks.empty(), "a job without queued tasks is started");
    HICKORYKNOT_ASSERT(record.perTask.fitsInto(m_state.workers[choice.worker].free), "a worker is overcommitted");
    const uint32_t task = record.queuedTasks.back();
    record.queuedTasks.pop_back();
    Run run;
    run.worker = choice.worker;
    run.reason = choice.reason;
    run.comparedWorkers = choice.compared;
    run.waited = now - record.queuedSince;
    run.waitedFor = record.waitedFor;
    book(job, task, run, now);
    ++m_state.statistics.placedTasks;

    // The next task of the job starts its own wait.
    m_state.waiting.renewAge(m_state.jobs, m_state.rowOf(record), job);
    record.waitingSince = now;
    record.waitedFor = WaitCause::Turn;
    requeue(job, now);
}

void TaskLedger::adopt(JobIndex job, uint32_t task, WorkerIndex worker, TimePoint startedAt)
{
    JobRecord& record = m_state.jobs[job];
    std::erase(record.queuedTasks, task);
    Run run;
    run.worker = worker;
    run.reason = "adopted after a change of leader";
    book(job, task, run, startedAt);
    requeue(job, startedAt);
}

void TaskLedger::book(JobIndex job, uint32_t task, Run run, TimePoint startedAt)
{
    JobRecord& record = m_state.jobs[job];
    PlacementWorker& worker = m_state.workers[run.worker];
    run.job = job;
    run.task = task;
    run.need = record.perTask;
    run.startedAt = startedAt;
    run.openBefore = worker.free;
    run.expectedEnd = record.kind == JobKind::Service ? TimePoint::max() : startedAt + m_state.expectedRun(record);
    run.used = record.usedMillicores.isKnown() ? Millicores(static_cast<int64_t>(record.usedMillicores.mean()))
                                               : record.perTask.millicores;
    if (record.rackCounts.size() <= worker.rack)
        record.rackCounts.resize(m_state.workers.racks());
    run.othersInRack = worker.rack < record.rackCounts.size() ? record.rackCounts[worker.rack]++ : 0;

    worker.free -= run.need;
    worker.used += run.used;
    ++worker.runs;
    RowRecord& row = m_state.rowOf(record);
    ++row.running;
    row.used += run.need;
    TeamRecord& team = m_state.teams[record.team];
    ++team.running;
    team.used += run.need;
    ++record.running;
    record.hasStarted = true;
    record.taskRuns[task] = m_state.runs.add(run);
    link(record.taskRuns[task]);
    m_state.workers.reindex(run.worker);
}

void TaskLedger::release(RunIndex index)
{
    const Run run = m_state.runs[index];
    JobRecord& record = m_state.jobs[run.job];
    PlacementWorker& worker = m_state.workers[run.worker];
    unlink(index);
    worker.free += run.need;
    worker.used -= run.used;
    --worker.runs;
    RowRecord& row = m_state.rowOf(record);
    if (row.isFull())
        ++m_state.progress;
    --row.running;
    row.used -= run.need;
    TeamRecord& team = m_state.teams[record.team];
    --team.running;
    team.used -= run.need;
    if (team.isAwaited) {
        team.isAwaited = false;
        ++m_state.progress;
    }
    --record.running;
    record.taskRuns[run.task] = noIndex;
    if (worker.rack < record.rackCounts.size() && record.rackCounts[worker.rack])
        --record.rackCounts[worker.rack];
    m_state.runs.remove(index);
    m_state.workers.reindex(run.worker);
    noteGain(run.worker);
}

void TaskLedger::noteGain(WorkerIndex worker)
{
    ++m_state.releases;
    const WorkerTable& workers = m_state.workers;
    // Work may also start as a probe, on lent capacity or beside accelerators, which the open capacity does not show.
    const PlacementWorker& record = workers[worker];
    const bool isSpecial
        = record.isOnProbation || record.held != Resources {} || record.open().accelerators.count() > 0;
    const auto mayFit
        = [&](const Resources& need) { return isSpecial ? need.fitsInto(record.free) : workers.fits(worker, need); };
    if (m_state.shapes.unblock(mayFit))
        ++m_state.progress;
}

int64_t TaskLedger::rankOf(const JobRecord& record) const
{
    // A service that lost a task goes before all else of its row.
    if (record.kind == JobKind::Service && record.hasStarted)
        return INT64_MIN;
    const HoursOfDay& hours = m_state.rowOf(record).row.hours;
    if (!m_state.settings.mechanisms.ordersRows || hours.startMinute == hours.endMinute)
        return 0;
    // Most work first: large and long tasks fit badly into what is left of the open hours.
    const int64_t size = std::max({ record.perTask.millicores.count(), record.perTask.mebibytes.count() / 2,
        record.perTask.accelerators.count() * millicoresPerAccelerator });
    return -std::chrono::duration_cast<std::chrono::milliseconds>(m_state.expectedRun(record)).count() * size;
}

void TaskLedger::moveRack(WorkerIndex worker, RackIndex from)
{
    for (RunIndex run = m_state.workers[worker].firstRun; run != noIndex; run = m_state.runs[run].next) {
        std::vector<uint32_t>& counts = m_state.jobs[m_state.runs[run].job].rackCounts;
        if (counts.size() < m_state.workers.racks())
            counts.resize(m_state.workers.racks());
        // Tasks adopted before the first rack was known were not counted.
        if (counts[from])
            --counts[from];
        ++counts[m_state.workers[worker].rack];
    }
}

void TaskLedger::requeue(JobIndex job, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    RowRecord& row = m_state.rowOf(record);
    const bool isGangRunning = record.kind == JobKind::Gang && record.running;
    const bool mayWait = record.mayStart() && record.queuedTasks.size() > record.heldTasks && !isGangRunning;
    if (mayWait && record.notBefore > now) {
        m_state.waiting.remove(m_state.jobs, row, job);
        m_state.timers.add({ record.notBefore, job, record.generation });
        return;
    }
    if (!mayWait) {
        m_state.waiting.remove(m_state.jobs, row, job);
        return;
    }
    if (record.isWaiting)
        return;
    record.rank = rankOf(record);
    m_state.waiting.add(m_state.jobs, row, job);
}

void TaskLedger::link(RunIndex index)
{
    Run& run = m_state.runs[index];
    PlacementWorker& worker = m_state.workers[run.worker];
    run.next = worker.firstRun;
    if (run.next != noIndex)
        m_state.runs[run.next].previous = index;
    worker.firstRun = index;
}

void TaskLedger::unlink(RunIndex index)
{
    const Run& run = m_state.runs[index];
    if (run.next != noIndex)
        m_state.runs[run.next].previous = run.previous;
    if (run.previous != noIndex)
        m_state.runs[run.previous].next = run.next;
    else
        m_state.workers[run.worker].firstRun = run.next;
}

} // namespace hickoryknot

#include "placement/TaskAllocator.h"

#include <algorithm>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

// Weight of one accelerator when ordering tasks by size: workers with accelerators have four cores for each. Memory
// counts as 2 MiB per millicore, as on workers with 16 cores and 32 GB.
constexpr int64_t millicoresPerAccelerator = 4000;

} // namespace

void TaskAllocator::start(JobIndex job, const WorkerChoice& choice, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    HICKORYKNOT_ASSERT(!record.queuedTasks.empty(), "a job without queued tasks is started");
    HICKORYKNOT_ASSERT(record.perTask.fitsInto(m_state.workers[choice.worker].free), "a worker is overcommitted");
    const uint32_t task = record.queuedTasks.back();
    record.queuedTasks.pop_back();
    Run run;
    run.worker = choice.worker;
    run.reason = choice.reason;
    run.comparedCount = choice.comparedCount;
    run.waited = now - record.queuedSince;
    run.waitCause = record.waitCause;
    allocate(job, task, run, now);
    ++m_state.statistics.placedTasks;

    // The wait time of the job's next task starts now.
    m_state.waiting.moveToNewest(m_state.jobs, m_state.rowOf(record), job);
    record.waitingSince = now;
    record.waitCause = WaitCause::QueueOrder;
    requeue(job, now);
}

void TaskAllocator::adopt(JobIndex job, uint32_t task, WorkerIndex worker, TimePoint startedAt)
{
    JobRecord& record = m_state.jobs[job];
    std::erase(record.queuedTasks, task);
    Run run;
    run.worker = worker;
    run.reason = "adopted after a change of leader";
    allocate(job, task, run, startedAt);
    requeue(job, startedAt);
}

void TaskAllocator::allocate(JobIndex job, uint32_t task, Run run, TimePoint startedAt)
{
    JobRecord& record = m_state.jobs[job];
    PlacementWorker& worker = m_state.workers[run.worker];
    run.job = job;
    run.task = task;
    run.need = record.perTask;
    run.startedAt = startedAt;
    run.freeBefore = worker.free;
    run.expectedEnd = record.kind == JobKind::Service ? TimePoint::max() : startedAt + m_state.expectedRun(record);
    run.used = record.usedMillicores.hasEnoughSamples() ? Millicores(static_cast<int64_t>(record.usedMillicores.mean()))
                                                        : record.perTask.millicores;
    if (record.tasksPerRack.size() <= worker.rack)
        record.tasksPerRack.resize(m_state.workers.racks());
    run.otherTasksInRack = worker.rack < record.tasksPerRack.size() ? record.tasksPerRack[worker.rack]++ : 0;

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

void TaskAllocator::release(RunIndex index)
{
    const Run run = m_state.runs[index];
    JobRecord& record = m_state.jobs[run.job];
    PlacementWorker& worker = m_state.workers[run.worker];
    unlink(index);
    worker.free += run.need;
    worker.used -= run.used;
    --worker.runs;
    RowRecord& row = m_state.rowOf(record);
    if (row.isAtMaxRunning())
        ++m_state.unblockGeneration;
    --row.running;
    row.used -= run.need;
    TeamRecord& team = m_state.teams[record.team];
    --team.running;
    team.used -= run.need;
    if (team.hasBlockedJobs) {
        team.hasBlockedJobs = false;
        ++m_state.unblockGeneration;
    }
    --record.running;
    record.taskRuns[run.task] = noIndex;
    if (worker.rack < record.tasksPerRack.size() && record.tasksPerRack[worker.rack])
        --record.tasksPerRack[worker.rack];
    m_state.runs.remove(index);
    m_state.workers.reindex(run.worker);
    markCapacityGain(run.worker);
}

void TaskAllocator::markCapacityGain(WorkerIndex worker)
{
    ++m_state.releaseGeneration;
    const WorkerTable& workers = m_state.workers;
    // Tasks may also start as a probe, by backfill or in the accelerator reserve, which WorkerTable::fits() doesn't
    // include.
    const PlacementWorker& record = workers[worker];
    const bool usesFreeCapacity
        = record.isOnProbation || record.reserved != Resources {} || record.unreserved().accelerators.count() > 0;
    const auto mayFit = [&](const Resources& need) {
        return usesFreeCapacity ? need.fitsInto(record.free) : workers.fits(worker, need);
    };
    if (m_state.shapes.unblock(mayFit))
        ++m_state.unblockGeneration;
}

int64_t TaskAllocator::rankOf(const JobRecord& record) const
{
    // Tasks of a service that has started before go first in their row.
    if (record.kind == JobKind::Service && record.hasStarted)
        return INT64_MIN;
    const HoursOfDay& hours = m_state.rowOf(record).row.hours;
    if (!m_state.settings.mechanisms.ordersRows || hours.startMinute == hours.endMinute)
        return 0;
    // Largest amount of work first: large and long tasks are hard to fit into the end of the open hours.
    const int64_t size = std::max({ record.perTask.millicores.count(), record.perTask.mebibytes.count() / 2,
        record.perTask.accelerators.count() * millicoresPerAccelerator });
    return -std::chrono::duration_cast<std::chrono::milliseconds>(m_state.expectedRun(record)).count() * size;
}

void TaskAllocator::updateRack(WorkerIndex worker, RackIndex from)
{
    for (RunIndex run = m_state.workers[worker].firstRun; run != noIndex; run = m_state.runs[run].next) {
        std::vector<uint32_t>& counts = m_state.jobs[m_state.runs[run].job].tasksPerRack;
        if (counts.size() < m_state.workers.racks())
            counts.resize(m_state.workers.racks());
        // Tasks adopted before the first rack was known were not counted.
        if (counts[from])
            --counts[from];
        ++counts[m_state.workers[worker].rack];
    }
}

void TaskAllocator::requeue(JobIndex job, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    RowRecord& row = m_state.rowOf(record);
    const bool isGangRunning = record.kind == JobKind::Gang && record.running;
    const bool shouldQueue = record.mayStart() && record.queuedTasks.size() > record.reservedTasks && !isGangRunning;
    if (shouldQueue && record.notBefore > now) {
        m_state.waiting.remove(m_state.jobs, row, job);
        m_state.timers.add({ record.notBefore, job, record.generation });
        return;
    }
    if (!shouldQueue) {
        m_state.waiting.remove(m_state.jobs, row, job);
        return;
    }
    if (record.isWaiting)
        return;
    record.rank = rankOf(record);
    m_state.waiting.add(m_state.jobs, row, job);
}

void TaskAllocator::link(RunIndex index)
{
    Run& run = m_state.runs[index];
    PlacementWorker& worker = m_state.workers[run.worker];
    run.next = worker.firstRun;
    if (run.next != noIndex)
        m_state.runs[run.next].previous = index;
    worker.firstRun = index;
}

void TaskAllocator::unlink(RunIndex index)
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

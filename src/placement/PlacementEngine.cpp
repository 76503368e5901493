#include "placement/PlacementEngine.h"

#include <algorithm>
#include <fmt/format.h>

#include "core/Assert.h"
#include "placement/Digest.h"
#include "placement/Explanation.h"
#include "placement/SchedulingCycle.h"

namespace hickoryknot {

namespace {

// Bounds the size of one job in the engine's tables; larger work is split into several jobs.
constexpr uint32_t maxTasksPerJob = 100000;

} // namespace

struct PlacementEngine::Impl {
    explicit Impl(const PlacementSettings& settings)
        : state(settings)
        , allocator(state)
        , reservations(state, allocator)
        , taskEndHandler(state, allocator, reservations)
        , schedulingCycle(state, allocator, reservations, taskEndHandler)
    {
    }

    JobIndex find(JobHandle handle) const { return state.jobs.find(handle.slot, handle.generation); }
    void recheckJobs();
    void initialiseJob(JobRecord&, const JobDescription&);

    EngineState state;
    TaskAllocator allocator;
    ReservationController reservations;
    TaskEndHandler taskEndHandler;
    SchedulingCycle schedulingCycle;
};

PlacementEngine::PlacementEngine(PlacementSettings settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

PlacementEngine::~PlacementEngine() = default;

void PlacementEngine::setTable(const std::vector<Row>& table)
{
    EngineState& state = m_impl->state;
    for (RowRecord& row : state.rows)
        row.isInTable = false;
    for (TeamIndex team = 0; team < state.teams.size(); ++team)
        state.teams[team].quota = {};
    for (const Row& row : table) {
        if (row.kind == RowKind::Team) {
            state.teams[state.teams.intern(TeamId(row.name.value()))].quota = row.quota;
            continue;
        }
        RowRecord& record = state.rows[state.internRow(row.name)];
        record.row = row;
        record.isInTable = true;
    }
    ++state.unblockGeneration;
    m_impl->recheckJobs();
}

void PlacementEngine::Impl::recheckJobs()
{
    for (JobIndex job = 0; job < state.jobs.size(); ++job) {
        JobRecord& record = state.jobs[job];
        const bool isUnchecked = record.isUsed && record.mayStart() && !record.needsRefusalCheck;
        if (!isUnchecked || RefusalCheck(state).checkTable(record).empty())
            continue;
        record.needsRefusalCheck = true;
        state.jobsToCheck.push_back(job);
    }
}

void PlacementEngine::upsertWorker(const WorkerDescription& description, TimePoint now)
{
    EngineState& state = m_impl->state;
    state.latestTime = now;
    const WorkerIndex worker = state.workers.intern(description.worker);
    if (!state.workers.knownCount())
        state.firstWorkerKnownSince = now;
    // Reservations can't rely on a worker that changes or leaves.
    const bool acceptedTasks = state.workers[worker].acceptsTasks();
    const RackIndex oldRack = state.workers[worker].rack;
    if (!state.workers.update(worker, description.capacity, description.rack, description.isLeaving))
        return;
    if (acceptedTasks)
        m_impl->reservations.cancelForWorker(worker, now);
    m_impl->allocator.updateRack(worker, oldRack);
    m_impl->allocator.markCapacityGain(worker);
    ++state.unblockGeneration;
}

void PlacementEngine::removeWorker(const WorkerId& id)
{
    EngineState& state = m_impl->state;
    const WorkerIndex worker = state.workers.find(id);
    if (worker == noIndex || !state.workers[worker].isKnown)
        return;
    HICKORYKNOT_ASSERT(!state.workers[worker].runs, "a worker is removed while tasks run on it");
    m_impl->reservations.cancelForWorker(worker, state.latestTime);
    state.workers.remove(worker);
}

void PlacementEngine::Impl::initialiseJob(JobRecord& record, const JobDescription& description)
{
    record.id = description.job;
    record.row = state.internRow(description.row);
    record.team = state.teams.intern(description.team);
    record.kind = description.kind;
    record.isRepeatable = description.repeatable.value_or(state.rows[record.row].row.isRepeatable);
    record.perTask = description.perTask;
    record.expectedRun = description.expectedRun;
    record.submittedAt = description.submittedAt;
    record.waitingSince = description.submittedAt;
    record.queuedSince = description.submittedAt;
    record.taskRuns.assign(description.tasks, noIndex);
    record.taskFailures.assign(description.tasks, 0);
    // Task 0 is on top of the stack.
    record.queuedTasks.resize(description.tasks);
    for (uint32_t task = 0; task < description.tasks; ++task)
        record.queuedTasks[task] = description.tasks - 1 - task;
    record.tasksPerRack.assign(state.workers.racks(), 0);
}

Expected<JobHandle> PlacementEngine::submitJob(const JobDescription& description, TimePoint now)
{
    EngineState& state = m_impl->state;
    state.latestTime = now;
    const std::string& rowName = description.row.value();
    const RowIndex row = state.rowNames.find(description.row);
    if (row == noIndex || !state.rows[row].isInTable)
        return makeError(ErrorCode::InvalidArgument, fmt::format("Row {} is not in the table.", rowName));
    if (!description.tasks || description.tasks > maxTasksPerJob) {
        return makeError(ErrorCode::InvalidArgument,
            fmt::format("The job has {} tasks; 1 to {} are possible.", description.tasks, maxTasksPerJob));
    }
    const Resources& need = description.perTask;
    if (need.millicores.count() < 0 || need.mebibytes.count() < 0 || need.accelerators.count() < 0)
        return makeError(ErrorCode::InvalidArgument, "A task cannot need a negative amount.");

    const JobIndex job = state.jobs.add();
    JobRecord& record = state.jobs[job];
    m_impl->initialiseJob(record, description);
    const RefusalCheck check(state);
    std::string refusal = check.checkTable(record);
    const std::string workerRefusal = check.checkWorkers(record);
    if (refusal.empty() && check.mayCheckWorkers(now))
        refusal = workerRefusal;
    if (!refusal.empty()) {
        state.jobs.remove(job);
        return makeError(ErrorCode::InvalidArgument, std::move(refusal));
    }
    record.needsRefusalCheck = !workerRefusal.empty();
    if (record.needsRefusalCheck)
        state.jobsToCheck.push_back(job);
    record.sequence = state.nextSequence++;
    record.queue = state.waiting.queueFor(record.row, state.rows[record.row], record.team);
    record.shape = state.shapes.add(record.perTask);
    m_impl->allocator.requeue(job, now);
    return JobHandle { job, record.generation };
}

void PlacementEngine::cancelJob(JobHandle handle)
{
    const JobIndex job = m_impl->find(handle);
    if (job == noIndex)
        return;
    m_impl->state.jobs[job].isCancelled = true;
    m_impl->taskEndHandler.dropQueued(job, m_impl->state.latestTime);
}

void PlacementEngine::removeJob(JobHandle handle)
{
    const JobIndex job = m_impl->find(handle);
    if (job == noIndex)
        return;
    EngineState& state = m_impl->state;
    HICKORYKNOT_ASSERT(!state.jobs[job].running, "a job is removed while its tasks run");
    m_impl->taskEndHandler.dropQueued(job, m_impl->state.latestTime);
    std::erase(state.incompleteGangs, job);
    if (state.jobs[job].needsRefusalCheck)
        std::erase(state.jobsToCheck, job);
    state.shapes.remove(state.jobs[job].shape);
    state.jobs.remove(job);
}

void PlacementEngine::adoptTask(JobHandle handle, uint32_t taskIndex, const WorkerId& id, TimePoint startedAt)
{
    const JobIndex job = m_impl->find(handle);
    EngineState& state = m_impl->state;
    if (job == noIndex || taskIndex >= state.jobs[job].tasks() || state.jobs[job].taskRuns[taskIndex] != noIndex)
        return;
    m_impl->allocator.adopt(job, taskIndex, state.workers.intern(id), startedAt);
    m_impl->reservations.cancelIfExcess(job, state.latestTime);
    // A gang of which only some members were started is restarted; adopting the last missing member completes it.
    JobRecord& record = state.jobs[job];
    const bool isIncomplete = record.kind == JobKind::Gang && !record.queuedTasks.empty();
    if (record.isIncompleteGang != isIncomplete) {
        std::erase(state.incompleteGangs, job);
        if (isIncomplete)
            state.incompleteGangs.push_back(job);
        record.isIncompleteGang = isIncomplete;
    }
}

void PlacementEngine::decide(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>& decisions)
{
    m_impl->schedulingCycle.run(now, wall, maxDecisions, decisions);
}

void PlacementEngine::onTaskEnd(
    JobHandle handle, uint32_t taskIndex, TaskEndReason reason, Duration runTime, TimePoint now)
{
    m_impl->state.latestTime = now;
    const JobIndex job = m_impl->find(handle);
    if (job != noIndex && taskIndex < m_impl->state.jobs[job].tasks())
        m_impl->taskEndHandler.handle(job, taskIndex, reason, runTime, now);
}

void PlacementEngine::onUsageReport(JobHandle handle, uint32_t taskIndex, const Resources& used, TimePoint)
{
    const JobIndex job = m_impl->find(handle);
    EngineState& state = m_impl->state;
    if (job == noIndex || taskIndex >= state.jobs[job].tasks() || !state.settings.mechanisms.learnsEstimates)
        return;
    JobRecord& record = state.jobs[job];
    const RunIndex index = record.taskRuns[taskIndex];
    if (index == noIndex)
        return;
    record.usedMillicores.add(static_cast<double>(used.millicores.count()));
    Run& run = state.runs[index];
    state.workers[run.worker].used += used.millicores - run.used;
    run.used = used.millicores;
}

std::string PlacementEngine::explain(JobHandle handle, TimePoint now, WallTime wall) const
{
    const JobIndex job = m_impl->find(handle);
    if (job == noIndex)
        return "The job is not known here any more.";
    return Explanation(m_impl->state, m_impl->reservations, job, now, wall).text();
}

JobProgress PlacementEngine::progress(JobHandle handle) const
{
    const JobIndex job = m_impl->find(handle);
    if (job == noIndex)
        return {};
    const JobRecord& record = m_impl->state.jobs[job];
    return { static_cast<uint32_t>(record.queuedTasks.size()), record.running, record.finished, record.failed,
        record.isCancelled, record.isRefused };
}

PlacementStatistics PlacementEngine::statistics() const { return m_impl->state.statistics; }

bool PlacementEngine::isOnProbation(const WorkerId& id) const
{
    const WorkerIndex worker = m_impl->state.workers.find(id);
    return worker != noIndex && m_impl->state.workers[worker].isOnProbation;
}

Resources PlacementEngine::freeCapacity() const
{
    const WorkerTable& workers = m_impl->state.workers;
    Resources free;
    for (WorkerIndex worker = 0; worker < workers.size(); ++worker) {
        if (workers[worker].acceptsTasks())
            free += workers[worker].free;
    }
    return free;
}

Resources PlacementEngine::totalCapacity() const { return m_impl->state.workers.total(); }

uint64_t PlacementEngine::digest() const { return digestOf(m_impl->state); }

} // namespace hickoryknot

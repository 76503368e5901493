#include "ClusterSimulation.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <tuple>

namespace hickoryknot {

namespace {

// Workers confirm a stop request after their next heartbeat.
constexpr Duration stopDelay = 500ms;
// Run time of a task on a worker that fails every task.
constexpr Duration failingTaskRunTime = 300ms;
// Longest interval between decide() calls.
constexpr Duration decideInterval = 50ms;

using Stopwatch = std::chrono::steady_clock;

double secondsSince(Stopwatch::time_point start)
{
    return std::chrono::duration<double>(Stopwatch::now() - start).count();
}

} // namespace

ClusterSimulation::ClusterSimulation(const PlacementSettings& settings, const std::vector<Row>& table, uint64_t seed)
    : m_random(seed)
    , m_engine(settings)
{
    m_engine.setTable(table);
    for (const Row& row : table) {
        if (row.kind == RowKind::Class)
            m_rows.push_back(row.name);
    }
    m_result.waits.resize(m_rows.size());
    m_result.lastEnd.resize(m_rows.size());
}

void ClusterSimulation::addWorker(const WorkerDescription& worker, bool failsAllTasks)
{
    m_workers.push_back(worker);
    m_failsAllTasks.push_back(failsAllTasks);
    m_engine.upsertWorker(worker, m_now);
}

void ClusterSimulation::addArrival(const Arrival& arrival)
{
    Job job;
    job.arrival = arrival;
    job.row = static_cast<size_t>(std::find(m_rows.begin(), m_rows.end(), arrival.job.row) - m_rows.begin());
    job.tasks.resize(arrival.job.tasks);
    for (Task& task : job.tasks) {
        // Run times within one job vary by 20% either way.
        task.actualRun = arrival.actualRun * (80 + m_random(41)) / 100;
        task.queuedAt = arrival.job.submittedAt;
    }
    m_order.push_back(m_jobs.size());
    m_jobs.push_back(std::move(job));
}

template <typename Call> void ClusterSimulation::measure(Call&& call)
{
    const auto start = Stopwatch::now();
    call();
    m_result.engineSeconds += secondsSince(start);
}

SimulationResult ClusterSimulation::run(TimePoint until)
{
    std::stable_sort(m_order.begin(), m_order.end(),
        [&](size_t a, size_t b) { return m_jobs[a].arrival.job.submittedAt < m_jobs[b].arrival.job.submittedAt; });
    std::stable_sort(m_faults.begin(), m_faults.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
    while (m_now < until && (m_nextArrival < m_order.size() || m_openTasks)) {
        m_now = nextEventTime(until);
        applyFaults();
        endTasks();
        submitArrivals();
        decide();
    }
    for (const Job& job : m_jobs)
        m_result.unfinishedJobs += job.arrival.job.kind != JobKind::Service && !m_engine.progress(job.handle).isOver();
    m_result.statistics = m_engine.statistics();
    return std::move(m_result);
}

TimePoint ClusterSimulation::nextEventTime(TimePoint until) const
{
    TimePoint next = std::min(until, std::max(m_nextDecideAt, m_now + 1us));
    if (m_nextArrival < m_order.size())
        next = std::min(next, m_jobs[m_order[m_nextArrival]].arrival.job.submittedAt);
    if (!m_events.empty())
        next = std::min(next, m_events.front().at);
    if (m_nextFault < m_faults.size())
        next = std::min(next, m_faults[m_nextFault].at);
    return std::max(next, m_now);
}

void ClusterSimulation::submitArrivals()
{
    while (m_nextArrival < m_order.size()) {
        const size_t index = m_order[m_nextArrival];
        Job& job = m_jobs[index];
        if (job.arrival.job.submittedAt > m_now)
            return;
        ++m_nextArrival;
        measure([&] {
            if (const auto handle = m_engine.submitJob(job.arrival.job, m_now))
                job.handle = *handle;
            else
                job.isOver = true;
        });
        if (job.isOver)
            continue;
        m_jobOfSlot.resize(std::max<size_t>(m_jobOfSlot.size(), job.handle.slot + 1));
        m_jobOfSlot[job.handle.slot] = index;
        if (job.arrival.job.kind != JobKind::Service)
            m_openTasks += job.tasks.size();
    }
}

void ClusterSimulation::endTasks()
{
    while (!m_events.empty() && m_events.front().at <= m_now) {
        std::pop_heap(m_events.begin(), m_events.end());
        const Event event = m_events.back();
        m_events.pop_back();
        const Task& task = m_jobs[event.job].tasks[event.task];
        if (task.isRunning && task.starts == event.starts)
            endTask(event.job, event.task, event.reason);
    }
}

void ClusterSimulation::endTask(size_t index, uint32_t taskIndex, TaskEndReason reason)
{
    Job& job = m_jobs[index];
    Task& task = job.tasks[taskIndex];
    const Duration ran = m_now - task.startedAt;
    const double cores = static_cast<double>(job.arrival.job.perTask.millicores.count()) / 1000;
    const double coreSeconds = cores * std::chrono::duration<double>(ran).count();
    const bool isDone = reason == TaskEndReason::Finished;
    (isDone ? m_result.usedCoreSeconds : m_result.failedCoreSeconds) += coreSeconds;
    task.isRunning = false;
    task.queuedAt = m_now;
    --m_running;
    measure([&] { m_engine.onTaskEnd(job.handle, taskIndex, reason, ran, m_now); });
    if (job.arrival.job.kind == JobKind::Service)
        return;
    if (isDone) {
        --m_openTasks;
        m_result.lastEnd[job.row] = m_now;
    }
    const JobProgress progress = m_engine.progress(job.handle);
    if (!progress.isOver() || job.isOver)
        return;
    job.isOver = true;
    m_openTasks -= std::min<uint64_t>(m_openTasks, progress.failed);
    measure([&] { m_engine.removeJob(job.handle); });
}

void ClusterSimulation::applyFaults()
{
    while (m_nextFault < m_faults.size() && m_faults[m_nextFault].at <= m_now)
        applyFault(m_faults[m_nextFault++]);
}

void ClusterSimulation::applyFault(const Fault& fault)
{
    if (fault.kind == Fault::Kind::CancelHalf) {
        for (size_t i = 0; i < m_nextArrival; i += 2) {
            const Job& job = m_jobs[m_order[i]];
            const JobProgress progress = m_engine.progress(job.handle);
            if (job.isOver || job.arrival.job.kind == JobKind::Service || !progress.queued)
                continue;
            m_openTasks -= progress.queued;
            measure([&] { m_engine.cancelJob(job.handle); });
        }
        return;
    }
    const bool isLoss = fault.kind == Fault::Kind::LoseWorkers;
    for (size_t i = 0; isLoss && i < m_nextArrival; ++i) {
        const size_t index = m_order[i];
        for (uint32_t task = 0; task < m_jobs[index].tasks.size(); ++task) {
            const Task& entry = m_jobs[index].tasks[task];
            if (entry.isRunning && entry.worker >= fault.first && entry.worker < fault.last)
                endTask(index, task, TaskEndReason::Lost);
        }
    }
    for (size_t worker = fault.first; worker < fault.last; ++worker) {
        measure([&] {
            if (isLoss)
                m_engine.removeWorker(m_workers[worker].worker);
            else
                m_engine.upsertWorker(m_workers[worker], m_now);
        });
    }
}

void ClusterSimulation::decide()
{
    m_nextDecideAt = m_now + decideInterval;
    do {
        m_decisions.clear();
        const auto start = Stopwatch::now();
        m_engine.decide(m_now, m_wall + m_now.time_since_epoch(), 1, m_decisions);
        const double seconds = secondsSince(start);
        m_result.engineSeconds += seconds;
        (m_decisions.empty() ? m_result.idleMicroseconds : m_result.decideMicroseconds).push_back(seconds * 1e6);
        for (const Decision& decision : m_decisions)
            applyDecision(decision);
    } while (!m_decisions.empty());
}

void ClusterSimulation::applyDecision(const Decision& decision)
{
    const size_t index = jobOf(decision.job);
    Job& job = m_jobs[index];
    if (decision.kind == DecisionKind::Refuse) {
        job.isOver = true;
        m_openTasks -= job.tasks.size();
        return;
    }
    Task& task = job.tasks[decision.taskIndex];
    if (decision.kind == DecisionKind::Preempt) {
        m_events.push_back(
            { m_now + stopDelay, m_nextSequence++, index, decision.taskIndex, task.starts, TaskEndReason::Preempted });
        std::push_heap(m_events.begin(), m_events.end());
        return;
    }
    // A worker's name is one letter followed by its number.
    const std::string& name = decision.worker.value();
    size_t worker = 0;
    std::from_chars(name.data() + 1, name.data() + name.size(), worker);
    startTask(index, decision.taskIndex, worker);
}

void ClusterSimulation::startTask(size_t index, uint32_t taskIndex, size_t worker)
{
    Job& job = m_jobs[index];
    Task& task = job.tasks[taskIndex];
    task.isRunning = true;
    task.startedAt = m_now;
    task.worker = worker;
    ++task.starts;
    ++m_result.starts;
    m_result.peakRunning = std::max(m_result.peakRunning, ++m_running);
    const double waitSeconds = std::chrono::duration<double>(m_now - task.queuedAt).count();
    m_result.waits[job.row].push_back(waitSeconds * 1000);
    if (job.arrival.job.kind == JobKind::Gang && taskIndex == 0)
        m_result.gangWaitSeconds.push_back(waitSeconds);
    if (job.arrival.job.kind == JobKind::Service && !m_failsAllTasks[worker])
        return;
    const bool fails = m_failsAllTasks[worker];
    const Duration run = fails ? failingTaskRunTime : task.actualRun;
    if (!fails)
        m_result.longestBatchSeconds
            = std::max(m_result.longestBatchSeconds, std::chrono::duration<double>(run).count());
    m_events.push_back({ m_now + run, m_nextSequence++, index, taskIndex, task.starts,
        fails ? TaskEndReason::Failed : TaskEndReason::Finished });
    std::push_heap(m_events.begin(), m_events.end());
}

} // namespace hickoryknot

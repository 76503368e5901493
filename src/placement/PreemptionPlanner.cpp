#include "placement/PreemptionPlanner.h"

#include <algorithm>
#include <tuple>

namespace hickoryknot {

WorkerIndex PreemptionPlanner::plan(const JobRecord& job, TimePoint now)
{
    m_victims.clear();
    WorkerIndex best = noIndex;
    double lowestCost = 0;
    for (WorkerIndex worker = 0; worker < m_state.workers.size(); ++worker) {
        const PlacementWorker& record = m_state.workers[worker];
        if (!record.acceptsTasks() || !job.perTask.fitsInto(record.capacity - record.reservedUrgent))
            continue;
        double cost = 0;
        if (!planOnWorker(worker, job.perTask, cost, now) || (best != noIndex && cost >= lowestCost))
            continue;
        best = worker;
        lowestCost = cost;
        m_victims.swap(m_workerVictims);
        if (m_victims.empty())
            break;
    }
    return best;
}

bool PreemptionPlanner::canFreeCapacityFor(const JobRecord& job, uint32_t tasks) const
{
    uint64_t fittingTasks = 0;
    for (WorkerIndex worker = 0; worker < m_state.workers.size() && fittingTasks < tasks; ++worker) {
        const PlacementWorker& record = m_state.workers[worker];
        if (!record.acceptsTasks())
            continue;
        Resources available = record.free - record.reservedUrgent;
        for (RunIndex run = record.firstRun; run != noIndex; run = m_state.runs[run].next) {
            if (m_state.runs[run].isStopping || isPreemptible(m_state.runs[run]))
                available += m_state.runs[run].need;
        }
        fittingTasks += WorkerTable::fitCount(job.perTask, available);
    }
    return fittingTasks >= tasks;
}

bool PreemptionPlanner::planOnWorker(WorkerIndex worker, const Resources& need, double& cost, TimePoint now)
{
    const PlacementWorker& record = m_state.workers[worker];
    // Capacity reserved for gangs and overdue tasks is used before any task is preempted.
    Resources available = record.free - record.reservedUrgent;
    m_candidates.clear();
    m_workerVictims.clear();
    for (RunIndex index = record.firstRun; index != noIndex; index = m_state.runs[index].next) {
        const Run& run = m_state.runs[index];
        if (run.isStopping)
            available += run.need;
        else if (isPreemptible(run))
            m_candidates.push_back({ preemptionCost(run, now), index });
    }
    std::sort(m_candidates.begin(), m_candidates.end(),
        [](const Candidate& a, const Candidate& b) { return std::tie(a.cost, a.run) < std::tie(b.cost, b.run); });
    size_t victimCount = 0;
    for (; victimCount < m_candidates.size() && !need.fitsInto(available); ++victimCount)
        available += m_state.runs[m_candidates[victimCount].run].need;
    if (!need.fitsInto(available))
        return false;
    // Drops victims that turn out not to be needed, the most expensive first.
    while (victimCount--) {
        const Candidate& candidate = m_candidates[victimCount];
        const Resources remaining = available - m_state.runs[candidate.run].need;
        if (need.fitsInto(remaining)) {
            available = remaining;
            continue;
        }
        cost += candidate.cost;
        m_workerVictims.push_back(candidate.run);
    }
    return true;
}

bool PreemptionPlanner::isPreemptible(const Run& run) const
{
    const JobRecord& job = m_state.jobs[run.job];
    const Row& row = m_state.rowOf(job).row;
    return row.isPreemptible && !row.isUrgent && job.isRepeatable;
}

double PreemptionPlanner::preemptionCost(const Run& run, TimePoint now) const
{
    const JobRecord& job = m_state.jobs[run.job];
    const double seconds = std::chrono::duration<double>(now - run.startedAt).count();
    // Stopping one member of a gang loses the work of all members.
    const uint32_t tasks = job.kind == JobKind::Gang ? job.running : 1;
    return (seconds + 1) * static_cast<double>(run.need.millicores.count() + 1) * tasks;
}

} // namespace hickoryknot

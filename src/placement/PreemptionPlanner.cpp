#include "placement/PreemptionPlanner.h"

#include <algorithm>
#include <tuple>

namespace hickoryknot {

WorkerIndex PreemptionPlanner::plan(const JobRecord& job, TimePoint now)
{
    m_victims.clear();
    WorkerIndex best = noIndex;
    double leastLoss = 0;
    for (WorkerIndex worker = 0; worker < m_state.workers.size(); ++worker) {
        const PlacementWorker& record = m_state.workers[worker];
        if (!record.isOpen() || !job.perTask.fitsInto(record.capacity - record.heldUrgent))
            continue;
        double loss = 0;
        if (!planOn(worker, job.perTask, loss, now) || (best != noIndex && loss >= leastLoss))
            continue;
        best = worker;
        leastLoss = loss;
        m_victims.swap(m_chosen);
        if (m_victims.empty())
            break;
    }
    return best;
}

bool PreemptionPlanner::hasRoomFor(const JobRecord& job, uint32_t tasks) const
{
    uint64_t places = 0;
    for (WorkerIndex worker = 0; worker < m_state.workers.size() && places < tasks; ++worker) {
        const PlacementWorker& record = m_state.workers[worker];
        if (!record.isOpen())
            continue;
        Resources available = record.free - record.heldUrgent;
        for (RunIndex run = record.firstRun; run != noIndex; run = m_state.runs[run].next) {
            if (m_state.runs[run].isStopping || isPreemptible(m_state.runs[run]))
                available += m_state.runs[run].need;
        }
        places += WorkerTable::timesInto(job.perTask, available);
    }
    return places >= tasks;
}

bool PreemptionPlanner::planOn(WorkerIndex worker, const Resources& need, double& loss, TimePoint now)
{
    const PlacementWorker& record = m_state.workers[worker];
    // Capacity reserved for gangs and overdue tasks is used before anything is stopped.
    Resources available = record.free - record.heldUrgent;
    m_candidates.clear();
    m_chosen.clear();
    for (RunIndex index = record.firstRun; index != noIndex; index = m_state.runs[index].next) {
        const Run& run = m_state.runs[index];
        if (run.isStopping)
            available += run.need;
        else if (isPreemptible(run))
            m_candidates.push_back({ lossOf(run, now), index });
    }
    std::sort(m_candidates.begin(), m_candidates.end(),
        [](const Candidate& a, const Candidate& b) { return std::tie(a.loss, a.run) < std::tie(b.loss, b.run); });
    size_t used = 0;
    for (; used < m_candidates.size() && !need.fitsInto(available); ++used)
        available += m_state.runs[m_candidates[used].run].need;
    if (!need.fitsInto(available))
        return false;
    // Spares the dearest victims that are not needed after all.
    while (used--) {
        const Candidate& candidate = m_candidates[used];
        const Resources without = available - m_state.runs[candidate.run].need;
        if (need.fitsInto(without)) {
            available = without;
            continue;
        }
        loss += candidate.loss;
        m_chosen.push_back(candidate.run);
    }
    return true;
}

bool PreemptionPlanner::isPreemptible(const Run& run) const
{
    const JobRecord& job = m_state.jobs[run.job];
    const Row& row = m_state.rowOf(job).row;
    return row.isPreemptible && !row.isUrgent && job.isRepeatable;
}

double PreemptionPlanner::lossOf(const Run& run, TimePoint now) const
{
    const JobRecord& job = m_state.jobs[run.job];
    const double seconds = std::chrono::duration<double>(now - run.startedAt).count();
    // Stopping one member of a gang throws away the work of all.
    const uint32_t tasks = job.kind == JobKind::Gang ? job.running : 1;
    return (seconds + 1) * static_cast<double>(run.need.millicores.count() + 1) * tasks;
}

} // namespace hickoryknot

#include "placement/SpreadChooser.h"

#include <tuple>

namespace hickoryknot {

namespace {

uint32_t tasksInRack(const JobRecord& job, RackIndex rack)
{
    return rack < job.rackCounts.size() ? job.rackCounts[rack] : 0;
}

bool fitsAnywhere(const EngineState& state, const JobRecord& job)
{
    bool isFound = false;
    state.workers.search(job.perTask, [&](WorkerIndex worker) {
        isFound = state.workers.fits(worker, job.perTask);
        return !isFound;
    });
    return isFound;
}

uint32_t tasksOnWorker(const EngineState& state, const JobRecord& job, WorkerIndex worker)
{
    uint32_t count = 0;
    for (RunIndex run = state.workers[worker].firstRun; run != noIndex; run = state.runs[run].next)
        count += &state.jobs[state.runs[run].job] == &job;
    return count;
}

// Order of preference within a rack: not the worker of the last failure, no accelerators taken up for nothing, fewest
// tasks of the job, most free processors.
auto rankOf(const EngineState& state, const JobRecord& job, WorkerIndex worker)
{
    const Resources open = state.workers[worker].open();
    const bool wastesAccelerators = !job.perTask.accelerators.count() && open.accelerators.count() > 0;
    return std::tuple(worker == job.avoidedWorker, wastesAccelerators, tasksOnWorker(state, job, worker),
        -open.millicores.count(), worker);
}

WorkerIndex bestInRack(const EngineState& state, const JobRecord& job, RackIndex rack)
{
    WorkerIndex best = noIndex;
    for (const WorkerIndex worker : state.workers.workersOfRack(rack)) {
        if (!state.workers.fits(worker, job.perTask))
            continue;
        if (best == noIndex || rankOf(state, job, worker) < rankOf(state, job, best))
            best = worker;
    }
    return best;
}

} // namespace

Choice SpreadChooser::choose(const EngineState& state, const JobRecord& job) const
{
    if (!fitsAnywhere(state, job))
        return {};
    Choice best { noIndex, "fewest tasks of the job in the rack", 0, 0 };
    bool isPoor = true;
    const uint32_t racks = state.workers.racks();
    // Jobs begin at different racks, so that small jobs do not all meet in the first one.
    const auto first = static_cast<uint32_t>((job.sequence + job.running) % racks);
    for (uint32_t step = 0; step < racks; ++step) {
        const RackIndex rack = (first + step) % racks;
        const uint32_t others = tasksInRack(job, rack);
        if (!isPoor && others >= best.othersInRack)
            continue;
        const WorkerIndex worker = bestInRack(state, job, rack);
        if (worker == noIndex)
            continue;
        ++best.compared;
        const bool isWorkerPoor = std::get<0>(rankOf(state, job, worker)) || std::get<1>(rankOf(state, job, worker));
        if (best.isFound() && std::tuple(isWorkerPoor, others) >= std::tuple(isPoor, best.othersInRack))
            continue;
        best.worker = worker;
        best.othersInRack = others;
        isPoor = isWorkerPoor;
        // No rack can be better than one without tasks of the job.
        if (!isPoor && !others)
            break;
    }
    return best;
}

} // namespace hickoryknot

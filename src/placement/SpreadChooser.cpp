#include "placement/SpreadChooser.h"

#include <tuple>

namespace hickoryknot {

namespace {

uint32_t tasksInRack(const JobRecord& job, RackIndex rack)
{
    return rack < job.tasksPerRack.size() ? job.tasksPerRack[rack] : 0;
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

// Preference within a rack, lowest first: not the worker of the last failure, no free accelerators that the task
// doesn't need, fewest tasks of the job, most free processors.
auto rankOf(const EngineState& state, const JobRecord& job, WorkerIndex worker)
{
    const Resources available = state.workers[worker].unreserved();
    const bool wastesAccelerators = !job.perTask.accelerators.count() && available.accelerators.count() > 0;
    return std::tuple(worker == job.avoidedWorker, wastesAccelerators, tasksOnWorker(state, job, worker),
        -available.millicores.count(), worker);
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

WorkerChoice SpreadChooser::choose(const EngineState& state, const JobRecord& job) const
{
    if (!fitsAnywhere(state, job))
        return {};
    WorkerChoice best { noIndex, "fewest tasks of the job in the rack", 0, 0 };
    bool isPenalised = true;
    const uint32_t racks = state.workers.racks();
    // Jobs start at different racks, so that small jobs don't all go to the first one.
    const auto first = static_cast<uint32_t>((job.sequence + job.running) % racks);
    for (uint32_t offset = 0; offset < racks; ++offset) {
        const RackIndex rack = (first + offset) % racks;
        const uint32_t others = tasksInRack(job, rack);
        if (!isPenalised && others >= best.otherTasksInRack)
            continue;
        const WorkerIndex worker = bestInRack(state, job, rack);
        if (worker == noIndex)
            continue;
        ++best.comparedCount;
        const bool isWorkerPenalised
            = std::get<0>(rankOf(state, job, worker)) || std::get<1>(rankOf(state, job, worker));
        if (best.isFound() && std::tuple(isWorkerPenalised, others) >= std::tuple(isPenalised, best.otherTasksInRack))
            continue;
        best.worker = worker;
        best.otherTasksInRack = others;
        isPenalised = isWorkerPenalised;
        // A rack without tasks of the job can't be beaten.
        if (!isPenalised && !others)
            break;
    }
    return best;
}

} // namespace hickoryknot

#include "placement/PackChooser.h"

#include <cmath>

namespace hickoryknot {

namespace {

// Bounds the work per decision; the search visits the tightest workers first.
constexpr uint32_t maxComparedWorkers = 16;

// Capacity left over on the worker plus the imbalance between its processors and memory; lower is better.
double costOf(const PlacementWorker& worker, const JobRecord& job)
{
    const auto share = [](int64_t part, int64_t whole) { return whole > 0 ? static_cast<double>(part) / whole : 0; };
    const Resources left = worker.unreserved() - job.perTask;
    const double processors = share(left.millicores.count(), worker.capacity.millicores.count());
    const double memory = share(left.mebibytes.count(), worker.capacity.mebibytes.count());
    const double accelerators = share(left.accelerators.count(), worker.capacity.accelerators.count());
    // Measured usage only breaks ties between workers that are equal by declared sizes.
    const double measured = share(worker.used.count(), worker.capacity.millicores.count());
    return processors + memory + accelerators + 0.5 * std::abs(processors - memory) + 0.001 * measured;
}

} // namespace

WorkerChoice PackChooser::choose(const EngineState& state, const JobRecord& job) const
{
    WorkerChoice best { noIndex, "tightest fit", 0, 0 };
    double bestCost = 0;
    bool avoidedWorkerFits = false;
    state.workers.search(job.perTask, [&](WorkerIndex worker) {
        if (!state.workers.fits(worker, job.perTask))
            return true;
        if (worker == job.avoidedWorker) {
            avoidedWorkerFits = true;
            return true;
        }
        const double cost = costOf(state.workers[worker], job);
        if (!best.isFound() || cost < bestCost || (cost == bestCost && worker < best.worker)) {
            best.worker = worker;
            bestCost = cost;
        }
        return ++best.comparedCount < maxComparedWorkers;
    });
    // Falls back to the worker of the last failure.
    if (!best.isFound() && avoidedWorkerFits)
        return { job.avoidedWorker, "the only worker with room", 0, 0 };
    return best;
}

} // namespace hickoryknot

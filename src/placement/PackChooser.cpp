#include "placement/PackChooser.h"

#include <cmath>

namespace hickoryknot {

namespace {

// Bounds the work per decision; the search starts with the tightest cells.
constexpr uint32_t maxCompared = 16;

// How badly the task would use the worker: what stays free, and how lopsided; lower is better.
double costOf(const PlacementWorker& worker, const JobRecord& job)
{
    const auto share = [](int64_t part, int64_t whole) { return whole > 0 ? static_cast<double>(part) / whole : 0; };
    const Resources left = worker.open() - job.perTask;
    const double processors = share(left.millicores.count(), worker.capacity.millicores.count());
    const double memory = share(left.mebibytes.count(), worker.capacity.mebibytes.count());
    const double accelerators = share(left.accelerators.count(), worker.capacity.accelerators.count());
    // Measured use only decides between workers that are equally tight by declared sizes.
    const double measured = share(worker.used.count(), worker.capacity.millicores.count());
    return processors + memory + accelerators + 0.5 * std::abs(processors - memory) + 0.001 * measured;
}

} // namespace

Choice PackChooser::choose(const EngineState& state, const JobRecord& job) const
{
    Choice best { noIndex, "tightest fit", 0, 0 };
    double bestCost = 0;
    bool isAvoidedFit = false;
    state.workers.search(job.perTask, [&](WorkerIndex worker) {
        if (!state.workers.fits(worker, job.perTask))
            return true;
        if (worker == job.avoidedWorker) {
            isAvoidedFit = true;
            return true;
        }
        const double cost = costOf(state.workers[worker], job);
        if (!best.isFound() || cost < bestCost || (cost == bestCost && worker < best.worker)) {
            best.worker = worker;
            bestCost = cost;
        }
        return ++best.compared < maxCompared;
    });
    // The worker of the last failure is better than none.
    if (!best.isFound() && isAvoidedFit)
        return { job.avoidedWorker, "the only worker with room", 0, 0 };
    return best;
}

} // namespace hickoryknot

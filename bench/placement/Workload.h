#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ClusterSimulation.h"

namespace hickoryknot {

/// A cell with its table, workers, arrivals and faults. Every engine variant runs the same workload.
struct Workload {
    std::string name;
    std::vector<Row> table;
    std::vector<WorkerDescription> workers;
    std::vector<bool> failsAllTasks;
    std::vector<Arrival> arrivals;
    std::vector<Fault> faults;
    WallTime wall {};
    TimePoint until;
    /// Demand of the folios over the cell's capacity in seconds, in the scarcest dimension; 0 if not applicable.
    double lowerBoundSeconds { 0 };
};

/// Counter lookups first, then matches, then a catalogue batch job, on 50 workers of 16 cores and 32 GB at 90% load.
Workload partsExchangeWorkload(uint64_t seed);

/// Folios in the night hours, border passes that can wait and proof peeks that start at once, on the same workers.
Workload overnightFoliosWorkload(uint64_t seed);

/// Faults in the design-size workload.
enum class DesignFault : uint8_t {
    None,
    WrongDeclarations, // Declared run times from a tenth to ten times the actual ones.
    FailingWorkers, // 5% of the workers fail every task.
    RackLost,
    CancellationWave, // Half of the queue is cancelled at once.
    ZoneCut, // A third of the workers is missing for 20 s.
};

/// 960 workers with 1,100 accelerators, scaled to `workers`: 140 teams, 580 starts/s and 3,700 running tasks, a fifth
/// of them of services; also urgent tasks and gangs of a quarter of the cell.
Workload designSizeWorkload(uint64_t seed, uint32_t workers, Duration length, DesignFault);

} // namespace hickoryknot

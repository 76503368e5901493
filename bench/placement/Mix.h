#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "World.h"

namespace hickoryknot {

/// A cell with its table, arrivals and faults; every variant of the engine runs the same one.
struct Mix {
    std::string name;
    std::vector<Row> table;
    std::vector<WorkerDescription> workers;
    std::vector<bool> failsEverything;
    std::vector<Arrival> arrivals;
    std::vector<Fault> faults;
    WallTime wall {};
    TimePoint until;
    /// Demand over capacity of the folios in seconds, in the dimension where it is largest; 0 where it does not apply.
    double lowerBoundSeconds { 0 };
};

/// Counter lookups first, matches, a catalogue batch job: 50 workers of 16 cores and 32 GB at 90% load.
Mix partsExchange(uint64_t seed);

/// Overnight folios in the closed hours, border passes that can wait, proof peeks at once; same workers.
Mix nightOfFolios(uint64_t seed);

/// What goes wrong in the mix of the design size.
enum class DesignFault : uint8_t {
    None,
    WrongDeclarations, // Actual sizes and run times from a tenth to ten times the declared ones.
    FailingWorkers, // 5% of the workers fail everything.
    RackLost,
    CancellationWave, // Half of the queue at once.
    ZoneCut, // A third of the workers is gone for 20 s.
};

/// 960 workers with 1,100 accelerators, scaled to `workers`: 140 teams, 580 starts/s, 3,700 running tasks of which a
/// fifth are services, urgent tasks and gangs of a quarter of the cell.
Mix designSize(uint64_t seed, uint32_t workers, Duration length, DesignFault);

} // namespace hickoryknot

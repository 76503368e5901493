#pragma once

#include <array>
#include <vector>

#include "placement/BackOff.h"
#include "placement/JobTable.h"
#include "placement/JobTimers.h"
#include "placement/PlacementSettings.h"
#include "placement/PlacementStatistics.h"
#include "placement/QuotaTracker.h"
#include "placement/Reservation.h"
#include "placement/RowRecord.h"
#include "placement/RunTable.h"
#include "placement/ShapeTable.h"
#include "placement/WaitingJobs.h"
#include "placement/WorkerTable.h"

namespace hickoryknot {

/// Complete state of a PlacementEngine, shared by the classes that make the decisions.
struct EngineState {
    explicit EngineState(const PlacementSettings& engineSettings)
        : settings(engineSettings)
        , workers(engineSettings.mechanisms.protectsAccelerators)
        , backOff(engineSettings.seed)
    {
    }

    /// Index of the row with this name, which is created if it doesn't exist.
    RowIndex internRow(const RowName& name)
    {
        const RowIndex index = rowNames.intern(name);
        if (index == rows.size())
            rows.emplace_back();
        return index;
    }

    /// Expected run time of one task of the job, from measured run times or the declared one. Not meaningful for
    /// services, which run until stopped.
    Duration expectedRun(const JobRecord&) const;
    /// Expected end of the run; for a run that is past it, a later estimate.
    TimePoint expectedEnd(const Run&, TimePoint now) const;
    RowRecord& rowOf(const JobRecord& job) { return rows[job.row]; }
    const RowRecord& rowOf(const JobRecord& job) const { return rows[job.row]; }

    // Settings.
    const PlacementSettings settings;

    // State.
    WorkerTable workers;
    Interner<RowName> rowNames;
    std::vector<RowRecord> rows;
    QuotaTracker teams;
    JobTable jobs;
    RunTable runs;
    WaitingJobs waiting;
    /// Fixed number of reservation slots; the memory of their allocations is reused.
    std::array<Reservation, 64> reservations;
    JobTimers timers;
    BackOff backOff;
    PlacementStatistics statistics;
    std::vector<WorkerIndex> workersOnProbation;
    std::vector<JobIndex> incompleteGangs;
    std::vector<JobIndex> jobsToCheck;
    /// The latest time passed in by a caller.
    TimePoint latestTime;
    /// When the engine last went from no known worker to one.
    TimePoint firstWorkerKnownSince;
    uint64_t nextSequence { 0 };
    uint32_t startsSinceOverdueStart { 0 };

    // Caches that can be rebuilt from the state above.
    ShapeTable shapes;
    /// Incremented whenever something that was blocked may be able to start.
    uint64_t unblockGeneration { 1 };
    /// Incremented whenever the free capacity of a worker grows.
    uint64_t releaseGeneration { 1 };
};

} // namespace hickoryknot

#pragma once

#include <array>
#include <vector>

#include "placement/BackOff.h"
#include "placement/JobTable.h"
#include "placement/PlacementSettings.h"
#include "placement/PlacementStatistics.h"
#include "placement/QuotaLedger.h"
#include "placement/Reservation.h"
#include "placement/RowRecord.h"
#include "placement/RunTable.h"
#include "placement/ShapeTable.h"
#include "placement/Timers.h"
#include "placement/WaitingJobs.h"
#include "placement/WorkerTable.h"

namespace hickoryknot {

/// The whole state of a PlacementEngine; the classes that decide share it.
struct EngineState {
    explicit EngineState(const PlacementSettings& engineSettings)
        : settings(engineSettings)
        , workers(engineSettings.mechanisms.protectsAccelerators)
        , backOff(engineSettings.seed)
    {
    }

    /// The row of a name, made on first use.
    RowIndex internRow(const RowName& name)
    {
        const RowIndex index = rowNames.intern(name);
        if (index == rows.size())
            rows.emplace_back();
        return index;
    }

    /// Declared or learned run time of a task of this job; services run on.
    Duration expectedRun(const JobRecord&) const;
    /// When the run should end, moved on for one that is late.
    TimePoint expectedEnd(const Run&, TimePoint now) const;
    RowRecord& rowOf(const JobRecord& job) { return rows[job.row]; }
    const RowRecord& rowOf(const JobRecord& job) const { return rows[job.row]; }

    // Settings.
    const PlacementSettings settings;

    // State.
    WorkerTable workers;
    Interner<RowName> rowNames;
    std::vector<RowRecord> rows;
    QuotaLedger teams;
    JobTable jobs;
    RunTable runs;
    WaitingJobs waiting;
    /// Slots for at most this many reservations at once; the memory of their holds is reused.
    std::array<Reservation, 64> reservations;
    Timers timers;
    BackOff backOff;
    PlacementStatistics statistics;
    std::vector<WorkerIndex> probation;
    std::vector<JobIndex> brokenGangs;
    std::vector<JobIndex> jobsToCheck;
    /// The latest time that a caller gave.
    TimePoint latestTime;
    /// When the first of the present workers was announced.
    TimePoint workersSince;
    uint64_t nextSequence { 0 };
    uint32_t startsSinceOverdue { 0 };

    // Rebuildable caches.
    ShapeTable shapes;
    /// Grows whenever something that was blocked may start.
    uint64_t progress { 1 };
    /// Grows whenever a worker has more free capacity.
    uint64_t releases { 1 };
};

} // namespace hickoryknot

#pragma once

#include <vector>

#include "core/Time.h"
#include "placement/WorkerAllocation.h"

namespace hickoryknot {

enum class ReservationKind : uint8_t {
    Gang, // All tasks start together once every allocation is ready.
    Overdue, // One task of a job that waited longer than its row's waitBoundMs.
    Urgent, // Tasks that start where preemptible tasks are being stopped.
};

/// Capacity that is kept for one job until all of it is free.
struct Reservation {
    JobIndex job { noIndex };
    ReservationKind kind { ReservationKind::Gang };
    TimePoint createdAt;
    /// When all allocations should be ready, from the expected ends of the tasks that run there.
    TimePoint expectedReadyAt;
    /// Tasks that are expected to end before `expectedReadyAt` may use the capacity until then.
    bool allowsBackfill { true };
    std::vector<WorkerAllocation> allocations;

    bool isUsed() const { return job != noIndex; }
};

} // namespace hickoryknot

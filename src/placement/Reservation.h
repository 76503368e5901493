#pragma once

#include <vector>

#include "core/Time.h"
#include "placement/Hold.h"

namespace hickoryknot {

enum class ReservationKind : uint8_t {
    Gang, // All holds must be ready; then all tasks start.
    Overdue, // One task of a job that waited past its row's waitBoundMs.
    Urgent, // Tasks that start where preemptible work is being stopped.
};

/// Capacity that is kept for one job until it is free.
struct Reservation {
    JobIndex job { noIndex };
    ReservationKind kind { ReservationKind::Gang };
    TimePoint madeAt;
    /// When all holds should be ready by expected ends.
    TimePoint due;
    /// Work expected to end before `due` may use the capacity meanwhile.
    bool isLent { true };
    std::vector<Hold> holds;

    bool isUsed() const { return job != noIndex; }
};

} // namespace hickoryknot

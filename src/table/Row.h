#pragma once

#include <cstdint>
#include <string>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// A class row configures the requests and jobs that name it; a team row holds the quota of one team.
enum class RowKind : uint8_t {
    Class,
    Team,
};

/// How tasks of a class are distributed over workers.
enum class PlacementStyle : uint8_t {
    Spread,
    Pack,
};

/// What happens to work of a class when its availability zone is cut off from the cell.
enum class CutOffRule : uint8_t {
    Keep, // Keeps running in its zone; no other zone may start it.
    Stop, // Stops when its lease runs out, so that another zone may start it.
};

/// Minutes of the day (UTC) in which work of a class may start; start == end means always. May span midnight.
struct HoursOfDay {
    uint16_t startMinute { 0 };
    uint16_t endMinute { 0 };

    friend bool operator==(const HoursOfDay&, const HoursOfDay&) = default;
};

/// One row of the operators' table.
struct Row {
    RowName name;
    RowKind kind { RowKind::Class };
    /// Weight in weighted fair sharing of free capacity and queue turns, 1 to 1000.
    uint32_t weight { 100 };
    /// Higher values are scheduled first, 0 to 100.
    uint32_t priority { 50 };
    bool isRepeatable { true };
    /// Service level objective for the wait before start; the burn report measures against it.
    Duration targetWait { 1s };
    /// Longest time a request may wait in a queue before it ends as not run.
    Duration waitBound { 5s };
    /// Longest queue of requests of this class on one entry host.
    uint32_t queueBound { 100 };
    /// Tasks and requests of this class that may run at once in the cell; 0 means no limit.
    uint32_t maxRunning { 0 };
    /// Retries allowed as a percentage of first attempts.
    uint32_t retryBudgetPercent { 10 };
    HoursOfDay hours;
    PlacementStyle placement { PlacementStyle::Pack };
    CutOffRule cutOff { CutOffRule::Stop };
    /// Tasks may be checkpointed or stopped in favour of urgent work and restarted later.
    bool isPreemptible { false };
    /// Work must start within 8 s and may preempt preemptible work.
    bool isUrgent { false };
    /// Quota of a team row over all its running tasks; 0 means no limit in that dimension.
    Resources quota;

    friend bool operator==(const Row&, const Row&) = default;
};

} // namespace hickoryknot

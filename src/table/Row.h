#pragma once

#include <cstdint>
#include <string>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// A class row steers requests and jobs that name it; a team row holds the quota of one team.
enum class RowKind : uint8_t {
    Class,
    Team,
};

/// How tasks of a class are laid out.
enum class PlacementStyle : uint8_t {
    Spread,
    Pack,
};

/// What happens to work of a class when its availability zone is cut off from the cell.
enum class CutOffRule : uint8_t {
    Keep, // Goes on where it is; nobody else may start it.
    Stop, // Stops when its lease runs out, so that another zone may start it.
};

/// Minutes of the day (UTC) in which work of a class may start; start == end means always. May pass midnight.
struct HoursOfDay {
    uint16_t startMinute { 0 };
    uint16_t endMinute { 0 };

    friend bool operator==(const HoursOfDay&, const HoursOfDay&) = default;
};

/// One line of the operators' table.
struct Row {
    RowName name;
    RowKind kind { RowKind::Class };
    /// Share of free capacity and queue turns relative to other rows, 1 to 1000.
    uint32_t weight { 100 };
    /// Higher goes first, 0 to 100.
    uint32_t priority { 50 };
    bool isRepeatable { true };
    /// Waiting time before start that the class should keep; the burn report measures against it.
    Duration targetWait { 1s };
    /// Longest time a request may wait in a queue before it is answered not run.
    Duration waitBound { 5s };
    /// Requests of this class that may wait on one entry host.
    uint32_t queueBound { 100 };
    /// Tasks and requests of this class that may run at once in the cell; 0 means no limit.
    uint32_t maxRunning { 0 };
    /// Retries allowed as a percentage of first attempts.
    uint32_t retryBudgetPercent { 10 };
    HoursOfDay hours;
    PlacementStyle placement { PlacementStyle::Pack };
    CutOffRule cutOff { CutOffRule::Stop };
    /// Tasks may be checkpointed or stopped for urgent work and started again later.
    bool isPreemptible { false };
    /// Work that starts within 8 s, at the cost of preemptible work if need be.
    bool isUrgent { false };
    /// Quota of a team row over all its running tasks; 0 means no limit in that dimension.
    Resources quota;

    friend bool operator==(const Row&, const Row&) = default;
};

} // namespace hickoryknot

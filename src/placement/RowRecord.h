#pragma once

#include <algorithm>
#include <vector>

#include "placement/Indices.h"
#include "placement/MovingAverage.h"
#include "table/Row.h"

namespace hickoryknot {

/// Placement state of one class row.
struct RowRecord {
    Row row;
    bool isInTable { false };
    uint32_t running { 0 };
    /// Declared sizes of its running tasks.
    Resources used;
    uint32_t waitingJobs { 0 };
    JobIndex oldestWaiting { noIndex };
    JobIndex newestWaiting { noIndex };
    /// One queue per team that ever submitted to this row, served round-robin from `nextQueue`.
    std::vector<QueueIndex> queues;
    uint32_t nextQueue { 0 };
    /// Nothing of the row could start at this EngineState::unblockGeneration.
    uint64_t blockedAtGeneration { 0 };
    /// Logarithm of measured over declared run time.
    MovingAverage logRunTimeRatio;
    MovingAverage runSeconds;

    bool isAtMaxRunning() const { return row.maxRunning && running >= row.maxRunning; }
    uint32_t remainingRunningLimit() const
    {
        return row.maxRunning ? row.maxRunning - std::min(running, row.maxRunning) : UINT32_MAX;
    }
    /// True if tasks may start at this minute of the day (UTC).
    bool isOpenAt(uint32_t minute) const
    {
        const uint32_t start = row.hours.startMinute;
        const uint32_t end = row.hours.endMinute;
        if (start == end)
            return true;
        return start < end ? minute >= start && minute < end : minute >= start || minute < end;
    }
};

} // namespace hickoryknot

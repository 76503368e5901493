#pragma once

#include <cstdint>
#include <optional>

#include "core/Time.h"

namespace hickoryknot::workflow {

/// Milliseconds of a worker's steady clock, which restarts with each incarnation.
using WorkerClockMs = int64_t;

/// Bounds of a worker's clock, derived from readings in its responses. The clock may run slow by `maxSlownessPermille`.
class WorkerClock {
public:
    /// Maximum deviation of the workers' clocks according to the platform: 2% slow.
    static constexpr int64_t maxSlownessPermille = 20;

    /// Adds a reading from a response that was received at `receivedAt`.
    void update(WorkerClockMs, TimePoint receivedAt);

    bool isKnown() const { return m_reading.has_value(); }

    /// Lower bound of the reading at `now`; requires isKnown().
    WorkerClockMs lowerBound(TimePoint now) const;

    /// Latest real time at which the clock reaches the reading; requires isKnown().
    TimePoint latestTimeOf(WorkerClockMs) const;

    /// Maximum real time in which a slow clock counts `lease`.
    static Duration maxRealTime(Duration lease) { return lease * 1000 / (1000 - maxSlownessPermille); }

private:
    std::optional<WorkerClockMs> m_reading;
    TimePoint m_receivedAt;
};

} // namespace hickoryknot::workflow

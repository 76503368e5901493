#pragma once

#include <cstdint>
#include <optional>

#include "core/Time.h"

namespace hickoryknot::workflow {

/// Milliseconds of a worker's steady clock, which restarts with each incarnation.
using WorkerClockMs = int64_t;

/// Bounds of a worker's clock, derived from readings in its messages. The clock may run slow by `maxSlownessPermille`.
class WorkerClock {
public:
    /// Maximum deviation of the workers' clocks according to the platform: 2% slow.
    static constexpr int64_t maxSlownessPermille = 20;
    /// Allowance for a clock that runs faster than this host's; quartz clocks deviate by a tenth of this.
    static constexpr int64_t maxFastnessPermille = 1;

    /// Adds a reading from a message that was received at `receivedAt`.
    void update(WorkerClockMs, TimePoint receivedAt);
    /// Adds a reading from the response to a request that was sent after `sentAt`.
    void update(WorkerClockMs, TimePoint sentAt, TimePoint receivedAt);

    bool isKnown() const { return m_lower.has_value(); }

    /// Lower bound of the reading at `time`; requires isKnown().
    WorkerClockMs lowerBound(TimePoint time) const;
    /// Upper bound of the reading at `time`; missing before the first response, since reports may have been delayed.
    std::optional<WorkerClockMs> upperBound(TimePoint time) const;

    /// Latest real time at which the clock reaches the reading; requires isKnown().
    TimePoint latestTimeOf(WorkerClockMs) const;
    /// Earliest real time at which the clock reaches the reading; missing before the first response.
    std::optional<TimePoint> earliestTimeOf(WorkerClockMs) const;

    /// Maximum real time in which a slow clock counts `lease`.
    static Duration maxRealTime(Duration lease) { return lease * 1000 / (1000 - maxSlownessPermille); }
    /// Minimum that a slow clock counts in this real time.
    static Duration minCounted(Duration realTime) { return realTime * (1000 - maxSlownessPermille) / 1000; }

private:
    struct Bound {
        WorkerClockMs reading;
        TimePoint time;
    };
    std::optional<Bound> m_lower; // The clock has shown at least this reading by this time.
    std::optional<Bound> m_upper; // The clock has not shown more than this reading before this time.
};

} // namespace hickoryknot::workflow

#pragma once

#include <cstdint>
#include <optional>

#include "core/Time.h"

namespace hickoryknot::workflow {

/// Milliseconds of a worker's own steady clock, which begins anew with each of its lives.
using WorkerClockMs = int64_t;

/// What this host knows of a worker's clock from its answers. The clock may run slow by `slowPermille`.
class WorkerClock {
public:
    /// Slowest clock that the platform's workers have: 2%.
    static constexpr int64_t slowPermille = 20;

    /// An answer that was received at `receivedAt` showed this reading.
    void observed(WorkerClockMs, TimePoint receivedAt);

    bool isKnown() const { return m_reading.has_value(); }

    /// The clock shows at least this at `now`; requires isKnown().
    WorkerClockMs atLeast(TimePoint now) const;

    /// From this moment on the clock has surely reached the reading; requires isKnown().
    TimePoint surelyReached(WorkerClockMs) const;

    /// Real time in which a clock that may be slow surely counts `lease`.
    static Duration stretched(Duration lease) { return lease * 1000 / (1000 - slowPermille); }

private:
    std::optional<WorkerClockMs> m_reading;
    TimePoint m_receivedAt;
};

} // namespace hickoryknot::workflow

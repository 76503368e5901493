#pragma once

#include <optional>

#include "core/Time.h"
#include "workflow/MessageSender.h"
#include "workflow/WorkerClock.h"

namespace hickoryknot::workflow {

/// What its messages show about one incarnation of a worker: when it was certainly running, and its clock. Tells
/// whether a response came from it: each incarnation's clock starts anew, from the same value.
class IncarnationLifetime {
public:
    /// Adds a message that the incarnation sent on its own; it may have been delayed.
    void addReport(std::optional<WorkerClockMs>, TimePoint receivedAt);
    /// Adds a response, certainly by this incarnation, to a request that was sent after `sentAt`.
    void addResponse(std::optional<WorkerClockMs>, TimePoint sentAt, TimePoint receivedAt);

    /// Identifies the sender of a response, which may be this incarnation or a later one, by the clock in it. The
    /// request was sent after `sentAt`.
    MessageSender senderOf(std::optional<WorkerClockMs>, TimePoint sentAt, TimePoint receivedAt) const;

    /// True if the incarnation was certainly still running at, or after, this time.
    bool wasRunningAt(TimePoint time) const { return m_runningUntil && *m_runningUntil >= time; }
    bool wasRunningAfter(TimePoint time) const { return m_runningUntil && *m_runningUntil > time; }
    const WorkerClock& clock() const { return m_clock; }

private:
    WorkerClock m_clock;
    std::optional<TimePoint> m_runningSince; // It had started by then.
    std::optional<TimePoint> m_runningUntil; // It had not ended before.
};

} // namespace hickoryknot::workflow

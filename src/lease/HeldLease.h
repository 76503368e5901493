#pragma once

#include "core/Time.h"

namespace hickoryknot {

/// The holder's side of a zone or table lease, counted from the time at which the request was sent.
class HeldLease {
public:
    /// Never shortens the lease: responses may arrive out of order.
    void renew(TimePoint requestSentAt, Duration lease)
    {
        if (requestSentAt + lease > m_end)
            m_end = requestSentAt + lease;
    }
    void drop() { m_end = TimePoint::min(); }

    bool isHeld(TimePoint now) const { return now < m_end; }
    /// First time at which the lease is no longer held.
    TimePoint end() const { return m_end; }

private:
    TimePoint m_end { TimePoint::min() };
};

} // namespace hickoryknot

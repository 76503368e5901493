#pragma once

#include "core/Time.h"

namespace hickoryknot {

/// Exponential moving average of the time between send and response for one row. Expires without new measurements:
/// otherwise a row whose requests are all rejected early would never measure that its servers became faster.
class ServiceTimeEstimate {
public:
    void observe(Duration serviceTime, TimePoint now)
    {
        constexpr int64_t smoothing = 16;
        m_mean = m_isKnown ? m_mean + (serviceTime - m_mean) / smoothing : serviceTime;
        m_isKnown = true;
        m_observedAt = now;
    }

    /// Zero if unknown or expired.
    Duration mean(TimePoint now) const { return m_isKnown && now < m_observedAt + validity ? m_mean : Duration(0); }

    /// The last known mean, also if expired, or 1 ms; used as cost estimate of the fair sharing between rows.
    Duration meanOrDefault() const { return m_isKnown && m_mean > 0us ? m_mean : Duration(1ms); }

private:
    static constexpr Duration validity { 1s };

    Duration m_mean { 0 };
    TimePoint m_observedAt;
    bool m_isKnown { false };
};

} // namespace hickoryknot

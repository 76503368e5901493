#pragma once

#include "core/Time.h"

namespace hickoryknot {

/// Moving mean of the time between send and answer of one row. Unknown again when nothing was measured for a while:
/// otherwise a row whose requests are all refused as too slow would never learn that its servers became faster.
class ServiceTimeEstimate {
public:
    void observe(Duration serviceTime, TimePoint now)
    {
        constexpr int64_t smoothing = 16;
        m_mean = m_isKnown ? m_mean + (serviceTime - m_mean) / smoothing : serviceTime;
        m_isKnown = true;
        m_observedAt = now;
    }

    /// Zero when unknown.
    Duration mean(TimePoint now) const { return m_isKnown && now < m_observedAt + validity ? m_mean : Duration(0); }

    /// The last known mean whatever its age, or 1 ms; for weighing rows against each other.
    Duration meanOrDefault() const { return m_isKnown && m_mean > 0us ? m_mean : Duration(1ms); }

private:
    static constexpr Duration validity { 1s };

    Duration m_mean { 0 };
    TimePoint m_observedAt;
    bool m_isKnown { false };
};

} // namespace hickoryknot

#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot::workflow {

/// Bounds the copies of overdue requests by the responses that arrive, so that workers which are slow or overloaded are
/// not loaded further by them.
class ResendBudget {
public:
    void onResponse();
    /// True if one more copy may be sent.
    bool take(TimePoint now);
    /// Copies sent so far.
    uint64_t taken() const { return m_taken; }

private:
    void refill(TimePoint now);

    double m_copies { 0 };
    uint64_t m_taken { 0 };
    TimePoint m_lastRefill;
};

} // namespace hickoryknot::workflow

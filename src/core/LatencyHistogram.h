#pragma once

#include <cstdint>
#include <memory>

#include "core/Time.h"

namespace hickoryknot {

/// Counts latencies from 1 us to 1,000 s in bins 1% wide.
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram&&) noexcept;
    LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

    void add(Duration);
    uint64_t count() const { return m_count; }

    /// Upper edge of the bin that holds the given share (0 to 1) of all latencies; 0 if there are none.
    Duration quantile(double share) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
    uint64_t m_count { 0 };
};

} // namespace hickoryknot

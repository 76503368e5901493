#include "core/LatencyHistogram.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>

namespace hickoryknot {

namespace histogram = boost::histogram;

namespace {

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

/// The range from 1 us to 1,000 s spans 20.7 in natural logarithms; each bin spans 0.01.
constexpr unsigned binCount = 2072;

} // namespace

struct LatencyHistogram::Impl {
    using Histogram = decltype(histogram::make_histogram(LogAxis()));

    Histogram bins = histogram::make_histogram(LogAxis(binCount, 1.0, 1e9));
};

LatencyHistogram::LatencyHistogram()
    : m_impl(std::make_unique<Impl>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;

void LatencyHistogram::add(Duration latency)
{
    m_impl->bins(static_cast<double>(latency.count()));
    ++m_count;
}

Duration LatencyHistogram::quantile(double share) const
{
    const double targetCount = share * static_cast<double>(m_count);
    const auto& axis = m_impl->bins.axis();
    double cumulativeCount = 0;
    // Bin -1 is the underflow bin, bin `binCount` the overflow bin.
    for (int bin = -1; m_count > 0 && bin < static_cast<int>(binCount); ++bin) {
        cumulativeCount += m_impl->bins.at(bin);
        if (cumulativeCount >= targetCount && cumulativeCount > 0)
            return Duration(std::llround(axis.value(bin + 1)));
    }
    return Duration(m_count > 0 ? std::llround(axis.value(binCount)) : 0);
}

} // namespace hickoryknot

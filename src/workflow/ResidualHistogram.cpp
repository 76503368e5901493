#include "workflow/ResidualHistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hickoryknot::workflow {

namespace {

constexpr double lowestResidual = -3.2;
/// Width of a bin: quantiles are precise to about a tenth.
constexpr double binWidth = 0.1;

double middleOf(size_t bin) { return lowestResidual + binWidth * (static_cast<double>(bin) + 0.5); }

} // namespace

size_t ResidualHistogram::binOf(double residual)
{
    const double position = std::floor((residual - lowestResidual) / binWidth);
    return static_cast<size_t>(std::clamp(position, 0.0, static_cast<double>(bins - 1)));
}

void ResidualHistogram::addCensored(double lowerBound, double weight)
{
    const size_t first = binOf(lowerBound);
    const double above = std::accumulate(m_weights.begin() + static_cast<std::ptrdiff_t>(first), m_weights.end(), 0.0);
    if (above <= 0) {
        m_weights[first] += weight;
        return;
    }
    for (size_t bin = first; bin < bins; ++bin)
        m_weights[bin] *= 1 + weight / above;
}

void ResidualHistogram::fade(double factor)
{
    for (double& weight : m_weights)
        weight *= factor;
}

double ResidualHistogram::total() const { return std::accumulate(m_weights.begin(), m_weights.end(), 0.0); }

double ResidualHistogram::quantile(double fraction) const
{
    const double wanted = fraction * total();
    double below = 0;
    for (size_t bin = 0; bin < bins; ++bin) {
        const double weight = m_weights[bin];
        if (weight > 0 && below + weight >= wanted)
            return middleOf(bin) + binWidth * ((wanted - below) / weight - 0.5);
        below += weight;
    }
    return 0;
}

double ResidualHistogram::meanAbove(double bound) const
{
    double weights = 0;
    double sum = 0;
    for (size_t bin = binOf(bound); bin < bins; ++bin) {
        weights += m_weights[bin];
        sum += m_weights[bin] * std::max(bound, middleOf(bin));
    }
    return weights > 0 ? sum / weights : bound;
}

std::array<uint16_t, ResidualHistogram::bins> ResidualHistogram::pack() const
{
    std::array<uint16_t, bins> packed {};
    const double largest = *std::max_element(m_weights.begin(), m_weights.end());
    for (size_t bin = 0; bin < bins && largest > 0; ++bin)
        packed[bin] = static_cast<uint16_t>(std::lround(m_weights[bin] / largest * UINT16_MAX));
    return packed;
}

void ResidualHistogram::unpack(const std::array<uint16_t, bins>& packed, double total)
{
    const double sum = std::accumulate(packed.begin(), packed.end(), 0.0);
    for (size_t bin = 0; bin < bins; ++bin)
        m_weights[bin] = sum > 0 ? packed[bin] / sum * total : 0;
}

} // namespace hickoryknot::workflow

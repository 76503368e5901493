#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace hickoryknot::workflow {

/// Weighted distribution of residuals of log(run time), in which old samples fade. For run times with heavy tails,
/// whose high quantiles no mean and variance describe. Has a fixed size.
class ResidualHistogram {
public:
    /// The first and last bin also hold everything beyond -3.2 and 3.2 (a factor of 24).
    static constexpr size_t bins = 64;

    void add(double residual, double weight) { m_weights[binOf(residual)] += weight; }
    /// A residual of which only a lower bound is known: its weight is spread like that of the larger ones seen so far.
    void addCensored(double lowerBound, double weight);
    /// Multiplies all weights.
    void fade(double factor);

    double total() const;
    /// Interpolated within a bin; zero without samples.
    double quantile(double fraction) const;
    /// Mean of the residuals above a bound; the bound itself without such samples.
    double meanAbove(double bound) const;

    /// Weights in units of the largest one / 65535, for a summary.
    std::array<uint16_t, bins> pack() const;
    void unpack(const std::array<uint16_t, bins>&, double total);

private:
    static size_t binOf(double residual);

    std::array<double, bins> m_weights {};
};

} // namespace hickoryknot::workflow

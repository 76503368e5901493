#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/Time.h"
#include "report/MetricFamily.h"

namespace hickoryknot {

/// Handles of registered time series; recording by handle is an array access.
enum class CounterId : uint32_t {};
enum class GaugeId : uint32_t {};
enum class LatencyId : uint32_t {};

struct MetricsSettings {
    /// Maximum number of series of all kinds; further ones share the `hickoryknot_overflow...` series of their kind.
    size_t maxSeries { 4096 };
};

/// Registry of counters, gauges and latency histograms with bounded memory. Not thread safe: each thread records into
/// its own instance and passes copies to the reporting thread, which merges them. Names must match
/// [a-zA-Z_][a-zA-Z0-9_]*, and all series of a name have the same kind.
class Metrics {
public:
    explicit Metrics(MetricsSettings = {});
    ~Metrics();
    Metrics(const Metrics&);
    Metrics& operator=(const Metrics&);

    /// Registers a series, or returns the handle of the existing one.
    CounterId counter(const std::string& name, const std::string& help, const MetricLabels& = {});
    GaugeId gauge(const std::string& name, const std::string& help, const MetricLabels& = {});
    LatencyId latency(const std::string& name, const std::string& help, const MetricLabels& = {});

    void add(CounterId, uint64_t count = 1);
    void set(GaugeId, double value);
    /// Histogram buckets are logarithmic, four per decade, from 10 us to 100 s.
    void record(LatencyId, Duration);

    uint64_t value(CounterId) const;
    double value(GaugeId) const;
    uint64_t count(LatencyId) const;
    /// Upper bound of the bucket with the quantile `q` in 0..1. Zero without records, Duration::max() above 100 s.
    Duration quantile(LatencyId, double q) const;

    /// Adds the counters and latencies of another instance; its gauges replace those of the same series.
    void merge(const Metrics&);

    /// Number of registrations beyond maxSeries.
    uint64_t droppedSeries() const;

    /// All series; families are sorted by name and samples by labels.
    std::vector<MetricFamily> families() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot

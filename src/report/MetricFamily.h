#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hickoryknot {

enum class MetricKind : uint8_t {
    Counter,
    Gauge,
    Latency,
};

/// Label names and values of one time series, for example {{"row", "lookup"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Current value of one time series.
struct MetricSample {
    MetricLabels labels;
    /// Value of a counter or gauge; sum of a latency in seconds.
    double value { 0 };
    /// Number of records of a latency.
    uint64_t count { 0 };
    /// Cumulative histogram of a latency: ascending upper bounds in seconds with the number of records up to each; the
    /// last bound is infinite.
    std::vector<std::pair<double, uint64_t>> cumulative {};
};

/// All time series of one metric name.
struct MetricFamily {
    std::string name;
    std::string help;
    MetricKind kind { MetricKind::Counter };
    std::vector<MetricSample> samples;
};

} // namespace hickoryknot

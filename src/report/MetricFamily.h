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

/// Label names and values of one series, for example {{"row", "lookup"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Present value of one series.
struct MetricSample {
    MetricLabels labels;
    /// Counter or gauge; sum in seconds of a latency.
    double value { 0 };
    /// Records of a latency.
    uint64_t count { 0 };
    /// Upper bounds in seconds of a latency with the number of records up to each, rising; the last bound is infinite.
    std::vector<std::pair<double, uint64_t>> cumulative {};
};

/// All series of one name.
struct MetricFamily {
    std::string name;
    std::string help;
    MetricKind kind { MetricKind::Counter };
    std::vector<MetricSample> samples;
};

} // namespace hickoryknot

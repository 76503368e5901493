#pragma once

#include <string>

namespace hickoryknot {

class Metrics;

/// All series in the Prometheus text format 0.0.4, ordered by name; latencies as histograms in seconds.
std::string renderPrometheus(const Metrics&);

} // namespace hickoryknot

#pragma once

#include <string>

namespace hickoryknot {

class Metrics;

/// All series in the Prometheus text exposition format 0.0.4, sorted by name; latencies are histograms in seconds.
std::string renderPrometheus(const Metrics&);

} // namespace hickoryknot

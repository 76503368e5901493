#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/LatencyHistogram.h"

namespace hickoryknot {

/// Results of a load run. Latencies are measured from the scheduled send time, so that they include queueing in the
/// sender.
struct LoadReport {
    uint64_t requestsSent { 0 };
    uint64_t jobsSent { 0 };
    uint64_t resends { 0 };
    uint64_t wrongAnswers { 0 };
    /// Counts by outcome, or by error code with the prefix `error_`.
    std::map<std::string, uint64_t> requestOutcomes;
    std::map<std::string, uint64_t> jobOutcomes;
    LatencyHistogram requestLatency;
    LatencyHistogram jobLatency;
    /// Time from the first scheduled send to the last response.
    Duration elapsed { 0 };

    /// One line per value.
    std::string toText() const;
    std::string toJson() const;
};

} // namespace hickoryknot

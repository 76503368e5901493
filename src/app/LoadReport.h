#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "app/LatencyHistogram.h"

namespace hickoryknot {

/// What a load run counts. Latencies run from the scheduled send time, so that queueing in the sender is not hidden.
struct LoadReport {
    uint64_t requestsSent { 0 };
    uint64_t jobsSent { 0 };
    uint64_t resends { 0 };
    uint64_t wrongAnswers { 0 };
    /// By outcome, or by error code with the prefix `error_`.
    std::map<std::string, uint64_t> requestOutcomes;
    std::map<std::string, uint64_t> jobOutcomes;
    LatencyHistogram requestLatency;
    LatencyHistogram jobLatency;
    /// From the first scheduled send to the last answer.
    Duration elapsed { 0 };

    /// One line per figure.
    std::string toText() const;
    std::string toJson() const;
};

} // namespace hickoryknot

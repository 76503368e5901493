#pragma once

#include <vector>

#include "core/Ids.h"

namespace hickoryknot {

/// Cancels any number of jobs with one log entry.
struct CancelBatch {
    RequestId request;
    std::vector<JobId> jobs;

    friend bool operator==(const CancelBatch&, const CancelBatch&) = default;
};

} // namespace hickoryknot

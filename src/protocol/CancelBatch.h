#pragma once

#include <vector>

#include "core/Ids.h"

namespace hickoryknot {

/// Cancels many jobs with one record.
struct CancelBatch {
    RequestId request;
    std::vector<JobId> jobs;

    friend bool operator==(const CancelBatch&, const CancelBatch&) = default;
};

} // namespace hickoryknot

#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot {

struct RouterSettings {
    /// Seeds server choice and back-off.
    uint64_t seed { 1 };
    /// Sends of one request at most, the first included.
    uint32_t maxAttempts { 3 };
    /// Back-off before the first retry; doubles with each further one and is jittered by half.
    Duration retryBackoff { 5ms };
    /// Used for submissions that name no deadline.
    Duration defaultDeadline { 30s };
    /// Longer deadlines are cut to this, which bounds how long a request is kept.
    Duration maxDeadline { 600s };
    /// Requests of all rows that may wait or run on this host; bounds memory.
    uint32_t maxRequests { 20000 };
    /// One in this many parts of the server time goes to rows below the highest waiting priority, so that none starves.
    uint32_t lowPriorityPart { 8 };
    /// Answers `not run` at once when the deadline cannot be kept.
    bool usesEarlyNotRun { true };
    /// Limits failing servers to one probe at a time.
    bool usesFailureScores { true };
    /// Limits retries by the row's retryBudgetPercent.
    bool usesRetryBudget { true };
};

} // namespace hickoryknot

#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot {

struct RouterSettings {
    /// Seed of the random server choice and the backoff jitter.
    uint64_t seed { 1 };
    /// Maximum number of sends of one request, including the first.
    uint32_t maxAttempts { 3 };
    /// Backoff before the first retry; doubles with each further retry, with a jitter of plus or minus half.
    Duration retryBackoff { 5ms };
    /// Deadline of submissions without one.
    Duration defaultDeadline { 30s };
    /// Upper limit of deadlines; bounds how long a request is kept.
    Duration maxDeadline { 600s };
    /// Maximum number of waiting and running requests of all rows on this host; bounds memory.
    uint32_t maxRequests { 20000 };
    /// 1/lowPriorityDivisor of the server time is reserved for rows below the highest backlogged priority, so that no
    /// row starves.
    uint32_t lowPriorityDivisor { 8 };
    /// Responds `not run` at admission if the deadline cannot be met.
    bool usesEarlyRejection { true };
    /// Puts failing servers on probation: one probe request at a time.
    bool usesFailureScores { true };
    /// Limits retries to the row's retryBudgetPercent.
    bool usesRetryBudget { true };
};

} // namespace hickoryknot

#pragma once

#include <cstdint>
#include <string>

#include "core/Time.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// What asking for permission costs on a queue whose policy allows only some workers to run a step.
struct PermissionCost {
    bool isNeeded { false };
    /// Time that one call takes, and time that each worker named in it adds.
    Duration perCall { 0 };
    Duration perWorker { 0 };
    /// How long a permission lasts.
    Duration validity { 0 };

    friend bool operator==(const PermissionCost&, const PermissionCost&) = default;
};

/// A row of the queue table: where callers reach the queue and how its work is treated.
struct Queue {
    QueueName name;
    /// Host name and path prefix under which callers submit.
    std::string callerHost;
    std::string urlPrefix;
    /// Pool whose workers run the tasks.
    PoolName pool;
    /// 0 comes first and may preempt others.
    uint32_t priority { 0 };
    /// Runs of one task or gang that may end as failed.
    uint32_t maxAttempts { 1 };
    /// Objective: this many thousandths of the longest chain of work, plus latency.
    uint32_t stretchPermille { 1000 };
    Duration targetLatency { 0 };
    Duration callTimeout { 0 };
    PermissionCost permission;

    friend bool operator==(const Queue&, const Queue&) = default;
};

/// A named set of workers.
struct Pool {
    PoolName name;
    /// Workers of the pool refuse what exceeds their capacity; otherwise they start whatever they are told to.
    bool rejectsOverload { false };
    /// Machines of the pool are off and cost nothing.
    bool isStandby { false };

    friend bool operator==(const Pool&, const Pool&) = default;
};

} // namespace hickoryknot::workflow

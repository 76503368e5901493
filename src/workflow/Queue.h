#pragma once

#include <cstdint>
#include <string>

#include "core/Time.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Cost of permission requests for a queue whose policy allows only some workers to run a step.
struct PermissionCost {
    bool isNeeded { false };
    /// Fixed time per call, and additional time per named worker.
    Duration perCall { 0 };
    Duration perWorker { 0 };
    /// Validity of a permission token.
    Duration validity { 0 };

    friend bool operator==(const PermissionCost&, const PermissionCost&) = default;
};

/// A row of the queue table: where callers submit, and how the work is scheduled.
struct Queue {
    QueueName name;
    /// Host name and path prefix at which callers submit.
    std::string callerHost;
    std::string urlPrefix;
    /// Pool whose workers run the tasks.
    PoolName pool;
    /// 0 is the most urgent; lower numbers may preempt higher ones.
    uint32_t priority { 0 };
    /// Number of failed runs of a task or gang after which the workflow fails.
    uint32_t maxAttempts { 1 };
    /// The completion objective is this many thousandths of the critical path plus targetLatency.
    uint32_t stretchPermille { 1000 };
    Duration targetLatency { 0 };
    Duration callTimeout { 0 };
    PermissionCost permission;
    /// Callers need no key, and their workflows belong to no organisation.
    bool isPublic { false };

    friend bool operator==(const Queue&, const Queue&) = default;
};

/// A named set of workers.
struct Pool {
    PoolName name;
    /// Workers of the pool reject starts beyond their capacity; otherwise they execute every start.
    bool rejectsOverload { false };
    /// Machines of the pool are powered off and cost nothing.
    bool isStandby { false };

    friend bool operator==(const Pool&, const Pool&) = default;
};

} // namespace hickoryknot::workflow

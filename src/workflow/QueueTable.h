#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "workflow/Queue.h"

namespace hickoryknot::workflow {

/// The operators' table of queues and pools. The highest version is in force.
struct QueueTable {
    uint64_t version { 0 };
    std::vector<Queue> queues;
    std::vector<Pool> pools;
    /// The table as the operator wrote it, for reading back.
    std::string document;

    /// What a path names: a queue and the rest of the path behind its prefix.
    struct Target {
        const Queue* queue;
        std::string remainingPath;
    };

    /// The queue with this caller host and the longest prefix that the path begins with; empty if there is none.
    std::optional<Target> resolve(std::string_view callerHost, std::string_view path) const;

    const Queue* find(const QueueName&) const;
    const Pool* findPool(const PoolName&) const;

    friend bool operator==(const QueueTable&, const QueueTable&) = default;
};

/// InvalidArgument: a queue names a pool that the table lacks, two queues share host and prefix, a name stands twice, a
/// call timeout is zero or a prefix does not begin with a slash.
Expected<void> checkQueueTable(const QueueTable&);

} // namespace hickoryknot::workflow

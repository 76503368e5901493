#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "workflow/Organisation.h"
#include "workflow/Queue.h"

namespace hickoryknot::workflow {

/// The operators' table of queues and pools. The highest version is in effect.
struct QueueTable {
    uint64_t version { 0 };
    std::vector<Queue> queues;
    std::vector<Pool> pools;
    /// Empty: callers need no keys.
    std::vector<Organisation> organisations;
    /// The table as written by the operator, returned on reads.
    std::string document;

    /// A resolved path: the queue, and the part of the path after its prefix.
    struct Target {
        const Queue* queue;
        std::string remainingPath;
    };

    /// Finds the queue with this caller host and the longest matching path prefix; nullopt if there is none.
    std::optional<Target> resolve(std::string_view callerHost, std::string_view path) const;

    const Queue* find(const QueueName&) const;
    const Pool* findPool(const PoolName&) const;
    const Organisation* findOrganisation(const OrganisationName&) const;

    friend bool operator==(const QueueTable&, const QueueTable&) = default;
};

/// TooLarge: the document does not fit into the log. InvalidArgument: a queue refers to an unknown pool, two queues
/// share host and prefix, a name is duplicated, a call timeout is zero, or a prefix does not begin with a slash.
Expected<void> checkQueueTable(const QueueTable&);

} // namespace hickoryknot::workflow

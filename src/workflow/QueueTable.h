#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "workflow/Authentication.h"
#include "workflow/KeyIndex.h"
#include "workflow/Organisation.h"
#include "workflow/Queue.h"
#include "workflow/WorkflowOwner.h"

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
    /// Owners of the keys; see indexKeys(). Derived from `organisations` and not recorded.
    KeyIndex keyIndex;

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

    /// Decides whether a call with this key may use the queue, and for whom. Takes O(1) after indexKeys(), otherwise
    /// time in proportion to the number of keys. The time does not depend on how much of a key is right.
    Authentication authenticate(const Queue&, const KeyDigest&) const;
    /// True if an authorised caller may read, cancel and submit again a workflow: one of its own organisation, or of
    /// none. Callers without a key, by way of a public queue, reach only workflows of public queues, of queues that
    /// were removed, and of that queue itself. Without organisations all callers reach all workflows.
    bool mayAccess(const QueueName& calledQueue, const OrganisationName& caller, const WorkflowOwner&) const;
    /// Call it after the last change of `organisations`. WorkflowState does so for the table in force.
    void indexKeys() { keyIndex = KeyIndex(organisations); }

    friend bool operator==(const QueueTable&, const QueueTable&) = default;
};

/// TooLarge: the document or the whole table does not fit into the log. InvalidArgument: a queue refers to an unknown
/// pool, two queues share host and prefix, a name is duplicated, a call timeout is zero, a prefix does not begin with a
/// slash; or of an organisation, the name is empty, too long or duplicated, a key is empty, one of too many or also
/// that of another organisation, or the weight or a limit is out of range. Messages name no keys.
Expected<void> checkQueueTable(const QueueTable&);

} // namespace hickoryknot::workflow

#pragma once

#include <string>
#include <vector>

#include "consensus/LogTimings.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "workflow/SchedulerSettings.h"

namespace hickoryknot {

/// Settings of a host that stores a replica of the workflow state.
struct WorkflowHostSettings {
    HostId self;
    ZoneId zone;
    std::string dataFolder;
    /// Members of the replication group at its first start; empty if this host joins an existing group.
    std::vector<HostId> initialMembers;
    /// Number of replicas that may fail at the same time; the group has 2 * toleratedLosses + 1 voters.
    size_t toleratedLosses { 1 };
    /// Followers need the commit index only for reads and when they become leader, so it may reach them a tick later.
    LogTimings timings { .commitDelay = 25ms };
    workflow::SchedulerSettings scheduler;
    uint64_t seed { 0 };
    uint64_t incarnation { 0 };
};

} // namespace hickoryknot

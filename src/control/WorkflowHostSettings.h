#pragma once

#include <string>
#include <vector>

#include "consensus/LogTimings.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "workflow/SchedulerSettings.h"

namespace hickoryknot {

/// Settings of a host that keeps workflows.
struct WorkflowHostSettings {
    HostId self;
    ZoneId zone;
    std::string dataFolder;
    /// Hosts that form the group at the very first start; empty: this host joins a group that exists.
    std::vector<HostId> initialMembers;
    /// Hosts with a disk that may be lost at the same time; the group has twice as many voters and one more.
    size_t toleratedLosses { 1 };
    /// Followers only have to know what is committed when they take over, so they may learn it a tick later.
    LogTimings timings { .commitDelay = 25ms };
    workflow::SchedulerSettings scheduler;
    uint64_t seed { 0 };
    uint64_t incarnation { 0 };
};

} // namespace hickoryknot

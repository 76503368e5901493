#pragma once

#include <cstddef>

#include "core/Time.h"
#include "lease/LeaseTimes.h"
#include "membership/HostRegistry.h"

namespace hickoryknot {

/// Settings of one CellController; constant over its lifetime.
struct CellControllerSettings {
    LeaseTimes leases {};
    HostRegistrySettings hosts {};
    /// Time for a host to apply a committed table version before it is denied table leases. With the lease of 2 s and
    /// its drift bound, a change is in force everywhere within 3 s.
    Duration tableApplyGrace { 500ms };
    /// Hosts silent for this long are removed; table changes no longer list them as missing.
    Duration forgetHostAfter { 3600s };
    /// In a group of two, a member silent for this long is removed so that the other can commit alone.
    Duration removeVoterAfter { 5s };
    size_t maxAssignmentsPerTick { 4096 };
    Duration expiryInterval { 10s };
    /// A proposal without a result is repeated after this time. Epochs and generations make the repetition idempotent.
    Duration proposalRetry { 1s };
};

} // namespace hickoryknot

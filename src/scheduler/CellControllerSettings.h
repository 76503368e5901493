#pragma once

#include <cstddef>

#include "core/Time.h"
#include "lease/LeaseTimes.h"
#include "membership/HostRegistry.h"

namespace hickoryknot {

/// Settings of one CellController, fixed for its life.
struct CellControllerSettings {
    LeaseTimes leases {};
    HostRegistrySettings hosts {};
    /// A host that is still not on the newest table version this long after its commit gets no table lease. With the
    /// lease of 2 s and its drift bound this keeps a change in force everywhere within 3 s.
    Duration tableLag { 500ms };
    /// Hosts silent for this long are forgotten; a table change no longer names them.
    Duration forgetHostAfter { 3600s };
    /// In a group of two, a member silent for this long is removed so that the other can go on.
    Duration removeVoterAfter { 5s };
    size_t maxAssignmentsPerTick { 4096 };
    Duration expiryInterval { 10s };
    /// A proposal without a result is repeated after this time; its effect is guarded by epochs and generations.
    Duration proposalRetry { 1s };
};

} // namespace hickoryknot

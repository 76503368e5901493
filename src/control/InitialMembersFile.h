#pragma once

#include <string>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"

namespace hickoryknot {

/// Returns the initial members of the replication group as stored beside its log, or an empty list. If the file is
/// missing and `initialMembers` is not empty, stores that list first. A host that restarts before the group has written
/// its first log entry must bootstrap the group with the same members. Error Storage: the folder cannot be read or
/// written.
Expected<std::vector<HostId>> loadOrStoreInitialMembers(
    const std::string& folder, const std::vector<HostId>& initialMembers);

} // namespace hickoryknot

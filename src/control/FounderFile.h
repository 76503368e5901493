#pragma once

#include <string>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"

namespace hickoryknot {

/// Names of the hosts that form the group, kept beside its log. A host that ends before the group has written its first
/// entry must form it with the same hosts after its restart. Writes the file if it is missing and `founders` is not
/// empty; returns what the file holds, or nothing. Storage: the folder cannot be read or written.
Expected<std::vector<HostId>> rememberFounders(const std::string& folder, const std::vector<HostId>& founders);

} // namespace hickoryknot

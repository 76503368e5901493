#pragma once

#include "core/Error.h"
#include "core/Ids.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

/// Hosts of a fleet are named by the address on which they take calls of other hosts, so that a host at a new address
/// is a new host and no directory of names is needed.
HostId hostIdOf(const Endpoint&);

/// InvalidArgument: the id is no address.
Expected<Endpoint> endpointOf(const HostId&);

} // namespace hickoryknot

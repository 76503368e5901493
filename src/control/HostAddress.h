#pragma once

#include "core/Error.h"
#include "core/Ids.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

/// The id of a host is the address on which it accepts calls of other hosts. So ids need no directory, and a host with
/// a new address is a new host.
HostId hostIdOf(const Endpoint&);

/// Error InvalidArgument: the id is not an address.
Expected<Endpoint> endpointOf(const HostId&);

} // namespace hickoryknot

#include "control/HostAddress.h"

#include "net/EndpointText.h"

namespace hickoryknot {

HostId hostIdOf(const Endpoint& endpoint) { return HostId(formatEndpoint(endpoint)); }

Expected<Endpoint> endpointOf(const HostId& host) { return parseEndpoint(host.value()); }

} // namespace hickoryknot

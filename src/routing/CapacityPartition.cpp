#include "routing/CapacityPartition.h"

#include "core/Hash.h"

#include <algorithm>

namespace hickoryknot {

namespace {

// Number of hosts with a base slot on a server with this many slots.
uint32_t baseShareHosts(uint32_t hostCount, uint32_t slots) { return std::min(hostCount, slots / 2); }

// Connections of one base share: half of the connection limit, divided evenly. With 0 there are no base shares, since a
// slot needs at least one connection.
uint32_t baseConnections(uint32_t hostCount, uint32_t connections) { return connections / (2 * hostCount); }

// Number of base shares, given the slots and the connection limit.
uint32_t baseShareCount(uint32_t hostCount, ServerCapacity capacity)
{
    return baseConnections(hostCount, capacity.connections) ? baseShareHosts(hostCount, capacity.slots) : 0;
}

} // namespace

ServerCapacity CapacityPartition::baseShare(uint32_t hostIndex, const ServerId& server, ServerCapacity capacity) const
{
    if (hostIndex >= m_hostCount)
        return {};
    const uint64_t rotation = hashBytes(server.value());
    if ((hostIndex + rotation % m_hostCount) % m_hostCount >= baseShareCount(m_hostCount, capacity))
        return {};
    return { 1, baseConnections(m_hostCount, capacity.connections) };
}

ServerCapacity CapacityPartition::sharedPool(ServerCapacity capacity) const
{
    if (!m_hostCount)
        return capacity;
    const uint32_t shares = baseShareCount(m_hostCount, capacity);
    return { capacity.slots - shares,
        capacity.connections - shares * baseConnections(m_hostCount, capacity.connections) };
}

} // namespace hickoryknot

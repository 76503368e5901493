#include "routing/SharePartition.h"

#include "core/Hash.h"

#include <algorithm>

namespace hickoryknot {

namespace {

// Seats that have a base slot on a server with this many slots.
uint32_t seatsWithBase(uint32_t seats, uint32_t slots) { return std::min(seats, slots / 2); }

// Connections of one base share: half of the limit is split evenly, but a slot needs at least one connection.
uint32_t baseConnections(uint32_t seats, uint32_t connections) { return connections / (2 * seats); }

// Base shares that the connection limit allows.
uint32_t baseShares(uint32_t seats, SlotCount capacity)
{
    return baseConnections(seats, capacity.connections) ? seatsWithBase(seats, capacity.slots) : 0;
}

} // namespace

SlotCount SharePartition::baseOf(uint32_t seat, const ServerId& server, SlotCount capacity) const
{
    if (seat >= m_seats)
        return {};
    const uint64_t rotation = hashBytes(server.value());
    if ((seat + rotation % m_seats) % m_seats >= baseShares(m_seats, capacity))
        return {};
    return { 1, baseConnections(m_seats, capacity.connections) };
}

SlotCount SharePartition::poolOf(SlotCount capacity) const
{
    if (!m_seats)
        return capacity;
    const uint32_t shares = baseShares(m_seats, capacity);
    return { capacity.slots - shares, capacity.connections - shares * baseConnections(m_seats, capacity.connections) };
}

} // namespace hickoryknot

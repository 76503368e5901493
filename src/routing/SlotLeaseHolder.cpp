#include "routing/SlotLeaseHolder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hickoryknot {

namespace {

// Requests whose responses may still arrive: a lease of 2 s spans eight requests at 250 ms intervals.
constexpr size_t maxSentRequests = 32;

} // namespace

SlotLeaseHolder::SlotLeaseHolder(SlotLeaseHolderSettings settings)
    : m_settings(std::move(settings))
    , m_partition(m_settings.hostCount)
    , m_leasedUntil(TimePoint::min())
{
}

SlotRequest SlotLeaseHolder::makeRequest(const std::vector<TrackedServer>& trackedServers,
    const std::vector<ServerUsage>& uses, uint32_t demand, TimePoint now)
{
    SlotRequest request { .host = m_settings.host,
        .incarnation = m_settings.incarnation,
        .number = ++m_lastRequestNumber,
        .demand = demand,
        .adoptedTerm = m_adopted.term,
        .adoptedNumber = m_adopted.number,
        .inUse = {} };
    m_sentRequests.push_back({ request.number, now });
    if (m_sentRequests.size() > maxSentRequests)
        m_sentRequests.pop_front();

    // Only use beyond the base share counts against the pool.
    for (const ServerUsage& use : uses) {
        const auto tracked = std::ranges::find_if(trackedServers, [&](const TrackedServer& candidate) {
            return candidate.server == use.server && candidate.incarnation == use.incarnation;
        });
        if (tracked == trackedServers.end())
            continue;
        const ServerCapacity base = m_partition.baseShare(
            m_settings.hostIndex, tracked->server, { tracked->slots, tracked->connectionLimit });
        if (use.running > base.slots) {
            const uint32_t connections = use.running - std::min(use.running, base.connections);
            request.inUse.push_back({ use.server, use.incarnation, { use.running - base.slots, connections } });
        }
    }
    return request;
}

bool SlotLeaseHolder::adopt(const SlotGrant& grant, TimePoint now)
{
    if (grant.host != m_settings.host || grant.incarnation != m_settings.incarnation)
        return false;
    if (std::tie(grant.term, grant.number) <= std::tie(m_adopted.term, m_adopted.number))
        return false;
    const auto sent = std::ranges::find(m_sentRequests, grant.requestNumber, &SentRequest::number);
    if (sent == m_sentRequests.end() || now >= sent->sentAt + grant.lease)
        return false;
    m_leasedUntil = sent->sentAt + grant.lease;
    m_adopted = grant;
    return true;
}

std::vector<ServerShare> SlotLeaseHolder::shares(const std::vector<TrackedServer>& trackedServers) const
{
    std::vector<ServerShare> shares;
    shares.reserve(trackedServers.size());
    for (const TrackedServer& tracked : trackedServers) {
        ServerShare share { .server = tracked.server,
            .incarnation = tracked.incarnation,
            .base
            = m_partition.baseShare(m_settings.hostIndex, tracked.server, { tracked.slots, tracked.connectionLimit }),
            .leased = {} };
        const auto granted = std::ranges::find_if(m_adopted.servers, [&](const ServerAllocation& allocation) {
            return allocation.server == tracked.server && allocation.incarnation == tracked.incarnation;
        });
        if (granted != m_adopted.servers.end())
            share.leased = granted->capacity;
        shares.push_back(share);
    }
    return shares;
}

} // namespace hickoryknot

#include "routing/SlotLeaseHolder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hickoryknot {

namespace {

// Asks whose answers may still come: a lease of 2 s holds eight asks of 250 ms.
constexpr size_t maxSentAsks = 32;

} // namespace

SlotLeaseHolder::SlotLeaseHolder(SlotLeaseHolderSettings settings)
    : m_settings(std::move(settings))
    , m_partition(m_settings.hostCount)
    , m_leasedUntil(TimePoint::min())
{
}

SlotRequest SlotLeaseHolder::makeRequest(
    const std::vector<TrackedServer>& views, const std::vector<ServerUsage>& uses, uint32_t demand, TimePoint now)
{
    SlotRequest ask { .host = m_settings.host,
        .incarnation = m_settings.incarnation,
        .number = ++m_lastAsk,
        .demand = demand,
        .adoptedTerm = m_adopted.term,
        .adoptedNumber = m_adopted.number,
        .inUse = {} };
    m_sent.push_back({ ask.number, now });
    if (m_sent.size() > maxSentAsks)
        m_sent.pop_front();

    // Only what goes beyond the base share takes from the pool.
    for (const ServerUsage& use : uses) {
        const auto view = std::ranges::find_if(views, [&](const TrackedServer& candidate) {
            return candidate.server == use.server && candidate.incarnation == use.incarnation;
        });
        if (view == views.end())
            continue;
        const SlotCount base
            = m_partition.baseOf(m_settings.hostIndex, view->server, { view->slots, view->connectionLimit });
        if (use.running > base.slots) {
            const uint32_t connections = use.running - std::min(use.running, base.connections);
            ask.inUse.push_back({ use.server, use.incarnation, { use.running - base.slots, connections } });
        }
    }
    return ask;
}

bool SlotLeaseHolder::adopt(const SlotGrant& grant, TimePoint now)
{
    if (grant.host != m_settings.host || grant.incarnation != m_settings.incarnation)
        return false;
    if (std::tie(grant.term, grant.number) <= std::tie(m_adopted.term, m_adopted.number))
        return false;
    const auto sent = std::ranges::find(m_sent, grant.askNumber, &SentAsk::number);
    if (sent == m_sent.end() || now >= sent->sentAt + grant.lease)
        return false;
    m_leasedUntil = sent->sentAt + grant.lease;
    m_adopted = grant;
    return true;
}

std::vector<ServerShare> SlotLeaseHolder::shares(const std::vector<TrackedServer>& views) const
{
    std::vector<ServerShare> shares;
    shares.reserve(views.size());
    for (const TrackedServer& view : views) {
        ServerShare share { .server = view.server,
            .incarnation = view.incarnation,
            .base = m_partition.baseOf(m_settings.hostIndex, view.server, { view.slots, view.connectionLimit }),
            .leased = {} };
        const auto granted = std::ranges::find_if(m_adopted.servers, [&](const ServerSlots& slots) {
            return slots.server == view.server && slots.incarnation == view.incarnation;
        });
        if (granted != m_adopted.servers.end())
            share.leased = granted->count;
        shares.push_back(share);
    }
    return shares;
}

} // namespace hickoryknot

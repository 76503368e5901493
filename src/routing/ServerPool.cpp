#include "routing/ServerPool.h"

#include <algorithm>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

bool contains(std::span<const uint32_t> servers, uint32_t server)
{
    return std::ranges::find(servers, server) != servers.end();
}

uint32_t freeSlotsOf(uint32_t slotLimit, uint32_t running) { return slotLimit - std::min(slotLimit, running); }

// A rejection counts half, because a server that is briefly full rejects requests too.
constexpr double rejectionWeight = 0.5;

} // namespace

ServerPool::ServerPool(uint64_t seed, bool usesFailureScores)
    : m_usesFailureScores(usesFailureScores)
    , m_random(seed)
    , m_leasedUntil(TimePoint::min())
    , m_cacheValidUntil(TimePoint::min())
{
}

void ServerPool::setServers(const std::vector<TrackedServer>& trackedServers)
{
    for (Server& server : m_servers)
        server.isListed = false;
    for (const TrackedServer& tracked : trackedServers) {
        const auto found = m_indexByServer.find(tracked.server);
        const uint32_t index = found != m_indexByServer.end() ? found->second : freeIndex();
        m_indexByServer[tracked.server] = index;
        Server& server = m_servers[index];
        // Shares and failure scores belong to one incarnation.
        if (server.tracked.incarnation != tracked.incarnation) {
            server.base = {};
            server.leased = {};
            server.score = {};
        }
        server.tracked = tracked;
        server.isListed = true;
    }
    // Forgets removed servers without running requests.
    for (auto it = m_indexByServer.begin(); it != m_indexByServer.end();) {
        const Server& server = m_servers[it->second];
        it = server.isListed || server.running ? std::next(it) : m_indexByServer.erase(it);
    }
    m_cacheValidUntil = TimePoint::min();
}

uint32_t ServerPool::freeIndex()
{
    for (uint32_t i = 0; i < m_servers.size(); ++i) {
        const auto found = m_indexByServer.find(m_servers[i].tracked.server);
        const bool isIndexed = found != m_indexByServer.end() && found->second == i;
        if (!isIndexed && !m_servers[i].running) {
            m_servers[i] = {};
            return i;
        }
    }
    m_servers.emplace_back();
    return static_cast<uint32_t>(m_servers.size() - 1);
}

void ServerPool::setShares(const std::vector<ServerShare>& shares, TimePoint leasedUntil)
{
    for (Server& server : m_servers) {
        server.base = {};
        server.leased = {};
    }
    for (const ServerShare& share : shares) {
        const auto found = m_indexByServer.find(share.server);
        if (found == m_indexByServer.end() || m_servers[found->second].tracked.incarnation != share.incarnation)
            continue;
        m_servers[found->second].base = share.base;
        m_servers[found->second].leased = share.leased;
    }
    m_leasedUntil = leasedUntil;
    m_cacheValidUntil = TimePoint::min();
}

uint32_t ServerPool::slotLimitAt(const Server& server, TimePoint now) const
{
    if (!server.isListed || server.tracked.isLeaving || now >= server.tracked.freshUntil)
        return 0;
    const bool isLeased = now < m_leasedUntil;
    const uint32_t slots = server.base.slots + (isLeased ? server.leased.slots : 0);
    const uint32_t connections = server.base.connections + (isLeased ? server.leased.connections : 0);
    const uint32_t slotLimit = std::min(slots, connections);
    return server.score.isOnProbation() ? std::min(slotLimit, 1U) : slotLimit;
}

void ServerPool::refresh(TimePoint now)
{
    if (now < m_cacheValidUntil)
        return;
    m_healthy.clear();
    m_probation.clear();
    m_freeHealthySlots = 0;
    m_totalSlots = 0;
    m_cacheValidUntil = now < m_leasedUntil ? m_leasedUntil : TimePoint::max();
    for (uint32_t i = 0; i < m_servers.size(); ++i) {
        Server& server = m_servers[i];
        server.slotLimit = slotLimitAt(server, now);
        if (!server.slotLimit)
            continue;
        m_cacheValidUntil = std::min(m_cacheValidUntil, server.tracked.freshUntil);
        m_totalSlots += server.slotLimit;
        if (server.score.isOnProbation()) {
            m_probation.push_back(i);
            continue;
        }
        m_healthy.push_back(i);
        m_freeHealthySlots += freeSlotsOf(server.slotLimit, server.running);
    }
}

bool ServerPool::isProbeDue(const Server& server, TimePoint now) const
{
    return !server.running && now >= server.score.nextProbe();
}

std::optional<uint32_t> ServerPool::choose(std::span<const uint32_t> excluded, bool mayProbe, TimePoint now)
{
    refresh(now);
    if (mayProbe) {
        if (const auto probe = chooseProbe(excluded, now))
            return probe;
    }
    if (const auto open = chooseHealthy(excluded))
        return open;
    const bool hasUsableHealthy
        = std::ranges::any_of(m_healthy, [&](uint32_t server) { return !contains(excluded, server); });
    return hasUsableHealthy ? std::nullopt : chooseProbe(excluded, now);
}

std::optional<uint32_t> ServerPool::chooseProbe(std::span<const uint32_t> excluded, TimePoint now) const
{
    for (const uint32_t server : m_probation) {
        if (isProbeDue(m_servers[server], now) && !contains(excluded, server))
            return server;
    }
    return std::nullopt;
}

std::optional<uint32_t> ServerPool::chooseHealthy(std::span<const uint32_t> excluded)
{
    const auto count = static_cast<uint32_t>(m_healthy.size());
    if (!count || !m_freeHealthySlots)
        return std::nullopt;
    const auto isFree = [&](uint32_t server) {
        return m_servers[server].running < m_servers[server].slotLimit && !contains(excluded, server);
    };

    // Power of two choices: the less loaded of two different random servers.
    const uint32_t firstPosition = m_random(count);
    const uint32_t first = m_healthy[firstPosition];
    const uint32_t second = count > 1 ? m_healthy[(firstPosition + 1 + m_random(count - 1)) % count] : first;
    if (isFree(first) && isFree(second)) {
        const Server& a = m_servers[first];
        const Server& b = m_servers[second];
        return static_cast<uint64_t>(a.running) * b.slotLimit <= static_cast<uint64_t>(b.running) * a.slotLimit
            ? first
            : second;
    }
    if (isFree(first))
        return first;
    if (isFree(second))
        return second;

    // Both are full: the next server with a free slot.
    for (uint32_t step = 1; step < count; ++step) {
        const uint32_t candidate = m_healthy[(firstPosition + step) % count];
        if (isFree(candidate))
            return candidate;
    }
    return std::nullopt;
}

bool ServerPool::hasUsableServer(std::span<const uint32_t> excluded, TimePoint now)
{
    refresh(now);
    const auto isOther = [&](uint32_t server) { return !contains(excluded, server); };
    return std::ranges::any_of(m_healthy, isOther) || std::ranges::any_of(m_probation, isOther);
}

bool ServerPool::isWithinShare(uint32_t server, TimePoint now)
{
    refresh(now);
    // The request is already counted as running.
    return m_servers[server].running <= m_servers[server].slotLimit;
}

void ServerPool::allocateSlot(uint32_t index)
{
    Server& server = m_servers[index];
    if (!server.score.isOnProbation() && server.running < server.slotLimit)
        --m_freeHealthySlots;
    ++server.running;
    ++m_running;
}

void ServerPool::releaseSlot(uint32_t index, SendResult result, TimePoint now)
{
    Server& server = m_servers[index];
    HICKORYKNOT_ASSERT(server.running, "a slot is released once");
    const bool wasOnProbation = server.score.isOnProbation();
    --server.running;
    --m_running;
    if (!wasOnProbation && server.running < server.slotLimit)
        ++m_freeHealthySlots;

    if (!m_usesFailureScores)
        return;
    if (result == SendResult::Succeeded)
        server.score.recordSuccess();
    else if (result == SendResult::Rejected)
        server.score.recordFailure(rejectionWeight, now);
    else if (result == SendResult::Failed)
        server.score.recordFailure(1, now);
    if (server.score.isOnProbation() != wasOnProbation)
        m_cacheValidUntil = TimePoint::min();
}

uint32_t ServerPool::totalSlots(TimePoint now)
{
    refresh(now);
    return m_totalSlots;
}

uint32_t ServerPool::freeSlots(TimePoint now)
{
    refresh(now);
    return m_freeHealthySlots;
}

bool ServerPool::hasFreeSlot(TimePoint now)
{
    refresh(now);
    return m_freeHealthySlots
        || std::ranges::any_of(m_probation, [&](uint32_t server) { return isProbeDue(m_servers[server], now); });
}

std::optional<TimePoint> ServerPool::nextProbe() const
{
    std::optional<TimePoint> next;
    for (const uint32_t index : m_probation) {
        const Server& server = m_servers[index];
        if (!server.running && (!next || server.score.nextProbe() < *next))
            next = server.score.nextProbe();
    }
    return next;
}

std::vector<ServerUsage> ServerPool::usage() const
{
    std::vector<ServerUsage> usage;
    for (const Server& server : m_servers) {
        if (server.running)
            usage.push_back({ server.tracked.server, server.tracked.incarnation, server.running });
    }
    return usage;
}

std::vector<ServerId> ServerPool::serversOnProbation() const
{
    std::vector<ServerId> servers;
    for (const Server& server : m_servers) {
        if (server.isListed && server.score.isOnProbation())
            servers.push_back(server.tracked.server);
    }
    std::ranges::sort(servers);
    return servers;
}

} // namespace hickoryknot

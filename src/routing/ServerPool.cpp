#include "routing/ServerPool.h"

#include <algorithm>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

bool contains(std::span<const uint32_t> servers, uint32_t server)
{
    return std::ranges::find(servers, server) != servers.end();
}

uint32_t freeOf(uint32_t allowed, uint32_t running) { return allowed - std::min(allowed, running); }

// A refusal counts half, because a server that is full for a moment refuses too.
constexpr double refusalWeight = 0.5;

} // namespace

ServerPool::ServerPool(uint64_t seed, bool usesFailureScores)
    : m_usesFailureScores(usesFailureScores)
    , m_random(seed)
    , m_leasedUntil(TimePoint::min())
    , m_validUntil(TimePoint::min())
{
}

void ServerPool::setServers(const std::vector<TrackedServer>& views)
{
    for (Server& server : m_servers)
        server.isListed = false;
    for (const TrackedServer& view : views) {
        const auto found = m_indexByServer.find(view.server);
        const uint32_t index = found != m_indexByServer.end() ? found->second : freeIndex();
        m_indexByServer[view.server] = index;
        Server& server = m_servers[index];
        // Shares and failures belong to one incarnation.
        if (server.view.incarnation != view.incarnation) {
            server.base = {};
            server.leased = {};
            server.score = {};
        }
        server.view = view;
        server.isListed = true;
    }
    // Forgets servers that are gone and have nothing running.
    for (auto it = m_indexByServer.begin(); it != m_indexByServer.end();) {
        const Server& server = m_servers[it->second];
        it = server.isListed || server.running ? std::next(it) : m_indexByServer.erase(it);
    }
    m_validUntil = TimePoint::min();
}

uint32_t ServerPool::freeIndex()
{
    for (uint32_t i = 0; i < m_servers.size(); ++i) {
        const auto found = m_indexByServer.find(m_servers[i].view.server);
        const bool isNamed = found != m_indexByServer.end() && found->second == i;
        if (!isNamed && !m_servers[i].running) {
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
        if (found == m_indexByServer.end() || m_servers[found->second].view.incarnation != share.incarnation)
            continue;
        m_servers[found->second].base = share.base;
        m_servers[found->second].leased = share.leased;
    }
    m_leasedUntil = leasedUntil;
    m_validUntil = TimePoint::min();
}

uint32_t ServerPool::allowedNow(const Server& server, TimePoint now) const
{
    if (!server.isListed || server.view.isLeaving || now >= server.view.freshUntil)
        return 0;
    const bool isLeased = now < m_leasedUntil;
    const uint32_t slots = server.base.slots + (isLeased ? server.leased.slots : 0);
    const uint32_t connections = server.base.connections + (isLeased ? server.leased.connections : 0);
    const uint32_t allowed = std::min(slots, connections);
    return server.score.isOnProbation() ? std::min(allowed, 1U) : allowed;
}

void ServerPool::refresh(TimePoint now)
{
    if (now < m_validUntil)
        return;
    m_open.clear();
    m_probation.clear();
    m_freeOpen = 0;
    m_total = 0;
    m_validUntil = now < m_leasedUntil ? m_leasedUntil : TimePoint::max();
    for (uint32_t i = 0; i < m_servers.size(); ++i) {
        Server& server = m_servers[i];
        server.allowed = allowedNow(server, now);
        if (!server.allowed)
            continue;
        m_validUntil = std::min(m_validUntil, server.view.freshUntil);
        m_total += server.allowed;
        if (server.score.isOnProbation()) {
            m_probation.push_back(i);
            continue;
        }
        m_open.push_back(i);
        m_freeOpen += freeOf(server.allowed, server.running);
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
    if (const auto open = chooseOpen(excluded))
        return open;
    const bool hasOtherOpen = std::ranges::any_of(m_open, [&](uint32_t server) { return !contains(excluded, server); });
    return hasOtherOpen ? std::nullopt : chooseProbe(excluded, now);
}

std::optional<uint32_t> ServerPool::chooseProbe(std::span<const uint32_t> excluded, TimePoint now) const
{
    for (const uint32_t server : m_probation) {
        if (isProbeDue(m_servers[server], now) && !contains(excluded, server))
            return server;
    }
    return std::nullopt;
}

std::optional<uint32_t> ServerPool::chooseOpen(std::span<const uint32_t> excluded)
{
    const auto count = static_cast<uint32_t>(m_open.size());
    if (!count || !m_freeOpen)
        return std::nullopt;
    const auto isFree = [&](uint32_t server) {
        return m_servers[server].running < m_servers[server].allowed && !contains(excluded, server);
    };

    // The less loaded of two different random servers.
    const uint32_t firstPosition = m_random(count);
    const uint32_t first = m_open[firstPosition];
    const uint32_t second = count > 1 ? m_open[(firstPosition + 1 + m_random(count - 1)) % count] : first;
    if (isFree(first) && isFree(second)) {
        const Server& a = m_servers[first];
        const Server& b = m_servers[second];
        return static_cast<uint64_t>(a.running) * b.allowed <= static_cast<uint64_t>(b.running) * a.allowed ? first
                                                                                                            : second;
    }
    if (isFree(first))
        return first;
    if (isFree(second))
        return second;

    // Both are busy: the next free one in turn.
    for (uint32_t step = 1; step < count; ++step) {
        const uint32_t candidate = m_open[(firstPosition + step) % count];
        if (isFree(candidate))
            return candidate;
    }
    return std::nullopt;
}

bool ServerPool::hasOther(std::span<const uint32_t> excluded, TimePoint now)
{
    refresh(now);
    const auto isOther = [&](uint32_t server) { return !contains(excluded, server); };
    return std::ranges::any_of(m_open, isOther) || std::ranges::any_of(m_probation, isOther);
}

bool ServerPool::mayStillUse(uint32_t server, TimePoint now)
{
    refresh(now);
    // The request holds one of the running places already.
    return m_servers[server].running <= m_servers[server].allowed;
}

void ServerPool::started(uint32_t index)
{
    Server& server = m_servers[index];
    if (!server.score.isOnProbation() && server.running < server.allowed)
        --m_freeOpen;
    ++server.running;
    ++m_running;
}

void ServerPool::ended(uint32_t index, SendResult result, TimePoint now)
{
    Server& server = m_servers[index];
    HICKORYKNOT_ASSERT(server.running, "each end has a start");
    const bool wasOnProbation = server.score.isOnProbation();
    --server.running;
    --m_running;
    if (!wasOnProbation && server.running < server.allowed)
        ++m_freeOpen;

    if (!m_usesFailureScores)
        return;
    if (result == SendResult::Answered)
        server.score.recordSuccess();
    else if (result == SendResult::Refused)
        server.score.recordFailure(refusalWeight, now);
    else if (result == SendResult::Failed)
        server.score.recordFailure(1, now);
    if (server.score.isOnProbation() != wasOnProbation)
        m_validUntil = TimePoint::min();
}

uint32_t ServerPool::totalSlots(TimePoint now)
{
    refresh(now);
    return m_total;
}

uint32_t ServerPool::freeSlots(TimePoint now)
{
    refresh(now);
    return m_freeOpen;
}

bool ServerPool::hasFreeSlot(TimePoint now)
{
    refresh(now);
    return m_freeOpen
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

std::vector<ServerUsage> ServerPool::uses() const
{
    std::vector<ServerUsage> uses;
    for (const Server& server : m_servers) {
        if (server.running)
            uses.push_back({ server.view.server, server.view.incarnation, server.running });
    }
    return uses;
}

std::vector<ServerId> ServerPool::serversOnProbation() const
{
    std::vector<ServerId> servers;
    for (const Server& server : m_servers) {
        if (server.isListed && server.score.isOnProbation())
            servers.push_back(server.view.server);
    }
    std::ranges::sort(servers);
    return servers;
}

} // namespace hickoryknot

#include "routing/SlotAllocator.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>

namespace hickoryknot {

namespace {

// Limit of unacknowledged grants per host. Two leases at one request per 250 ms are 16 grants.
constexpr size_t maxOutstandingGrants = 32;

// Changes of demand up to this do not move slots: a moved slot is unused until its former holder acknowledges.
constexpr uint32_t maxIgnoredDemandChange = 2;

ServerCapacity componentwiseMax(ServerCapacity a, ServerCapacity b)
{
    return { std::max(a.slots, b.slots), std::max(a.connections, b.connections) };
}

ServerCapacity componentwiseMin(ServerCapacity a, ServerCapacity b)
{
    return { std::min(a.slots, b.slots), std::min(a.connections, b.connections) };
}

// `a` minus `b`, at least zero.
ServerCapacity saturatingSubtract(ServerCapacity a, ServerCapacity b)
{
    return { a.slots - std::min(a.slots, b.slots), a.connections - std::min(a.connections, b.connections) };
}

bool isZero(ServerCapacity capacity) { return capacity == ServerCapacity {}; }

} // namespace

SlotAllocator::SlotAllocator(SlotAllocatorSettings settings)
    : m_settings(settings)
    , m_partition(settings.hostCount)
    , m_leaderLeaseEnd(TimePoint::min())
{
}

Duration SlotAllocator::withClockDrift(Duration duration) const
{
    return duration + duration * m_settings.clockDriftPercent / 100 + m_settings.clockDriftMargin;
}

Duration SlotAllocator::takeoverDelay() const
{
    return m_settings.takeoverDelay.value_or(withClockDrift(m_settings.leaderLease + m_settings.lease));
}

void SlotAllocator::startGranting(uint64_t term, TimePoint now)
{
    if (term < m_term)
        return;
    m_isGranting = true;
    // Grants of this term are still tracked, so no further delay is needed.
    if (term == m_term)
        return;
    m_term = term;
    m_lastGrantNumber = 0;
    m_grantsAllowedFrom = now + takeoverDelay();
    m_leaderLeaseEnd = TimePoint::min();
    m_nextRebalance = now;
    m_isMembershipChanged = true;
    m_holders.clear();
    removeUnusedServers();
}

void SlotAllocator::renewLeaderLease(TimePoint roundStartedAt)
{
    m_leaderLeaseEnd = std::max(m_leaderLeaseEnd, roundStartedAt + m_settings.leaderLease);
}

void SlotAllocator::stopGranting() { m_isGranting = false; }

void SlotAllocator::setServers(const std::vector<TrackedServer>& trackedServers)
{
    for (Server& server : m_servers)
        server.isListed = false;
    for (const TrackedServer& tracked : trackedServers) {
        const auto [found, isNew] = m_indexByServer.try_emplace(tracked.server, m_servers.size());
        if (isNew) {
            m_servers.push_back({ .server = tracked.server, .incarnation = tracked.incarnation, .pool = {} });
            for (Holder& holder : m_holders)
                holder.targets.resize(m_servers.size());
        }
        Server& server = m_servers[found->second];
        // A restarted server does not run requests that its former incarnation received.
        if (server.incarnation != tracked.incarnation)
            clearServer(found->second);
        const ServerCapacity pool = m_partition.sharedPool({ tracked.slots, tracked.connectionLimit });
        m_isMembershipChanged = m_isMembershipChanged || isNew || server.pool != pool;
        server.incarnation = tracked.incarnation;
        server.pool = pool;
        server.isListed = true;
    }
    removeUnusedServers();
}

void SlotAllocator::clearServer(size_t serverIndex)
{
    for (Holder& holder : m_holders) {
        for (OutstandingGrant& grant : holder.grants) {
            if (serverIndex < grant.capacities.size())
                grant.capacities[serverIndex] = {};
        }
        if (serverIndex < holder.inUse.size())
            holder.inUse[serverIndex] = {};
    }
}

void SlotAllocator::removeUnusedServers()
{
    for (size_t i = m_servers.size(); i-- > 0;) {
        const auto isUsed = [i](const Holder& holder) { return !isZero(reserved(holder, i)); };
        if (m_servers[i].isListed || std::ranges::any_of(m_holders, isUsed))
            continue;
        // Erases the entry of this server from the vectors of each holder.
        const auto eraseFrom = [i](std::vector<ServerCapacity>& capacities) {
            if (i < capacities.size())
                capacities.erase(capacities.begin() + static_cast<std::ptrdiff_t>(i));
        };
        for (Holder& holder : m_holders) {
            eraseFrom(holder.inUse);
            eraseFrom(holder.targets);
            for (OutstandingGrant& grant : holder.grants)
                eraseFrom(grant.capacities);
        }
        m_servers.erase(m_servers.begin() + static_cast<std::ptrdiff_t>(i));
        m_isMembershipChanged = true;
    }
    m_indexByServer.clear();
    for (size_t i = 0; i < m_servers.size(); ++i)
        m_indexByServer[m_servers[i].server] = i;
}

std::optional<SlotGrant> SlotAllocator::handleRequest(const SlotRequest& request, TimePoint now)
{
    if (!m_isGranting || now < m_grantsAllowedFrom || now >= m_leaderLeaseEnd || request.adoptedTerm > m_term)
        return std::nullopt;

    removeExpired(now);
    Holder& holder = holderFor(request);
    if (request.number <= holder.lastRequestNumber)
        return std::nullopt;
    recordRequest(holder, request);
    rebalance(now);
    issueGrant(holder, now);

    const OutstandingGrant& issued = holder.grants.back();
    SlotGrant grant { .host = request.host,
        .incarnation = request.incarnation,
        .requestNumber = request.number,
        .term = m_term,
        .number = issued.number,
        .lease = m_settings.lease,
        .servers = {} };
    for (size_t i = 0; i < m_servers.size(); ++i) {
        if (!isZero(issued.capacities[i]))
            grant.servers.push_back({ m_servers[i].server, m_servers[i].incarnation, issued.capacities[i] });
    }
    return grant;
}

SlotAllocator::Holder& SlotAllocator::holderFor(const SlotRequest& request)
{
    const auto key = std::tie(request.host, request.incarnation);
    const auto found = std::ranges::lower_bound(
        m_holders, key, {}, [](const Holder& holder) { return std::tie(holder.host, holder.incarnation); });
    if (found != m_holders.end() && found->host == request.host && found->incarnation == request.incarnation)
        return *found;
    m_isMembershipChanged = true;
    Holder added;
    added.host = request.host;
    added.incarnation = request.incarnation;
    added.targets.resize(m_servers.size());
    return *m_holders.insert(found, std::move(added));
}

void SlotAllocator::removeExpired(TimePoint now)
{
    for (Holder& holder : m_holders)
        std::erase_if(holder.grants, [now](const OutstandingGrant& grant) { return grant.expiry <= now; });
    if (std::erase_if(m_holders, [now](const Holder& holder) { return holder.expiry <= now; }))
        m_isMembershipChanged = true;
}

void SlotAllocator::recordRequest(Holder& holder, const SlotRequest& request)
{
    holder.lastRequestNumber = request.number;
    holder.demand = request.demand;
    // The host never uses a grant that is older than the adopted one.
    if (request.adoptedTerm == m_term)
        std::erase_if(
            holder.grants, [&](const OutstandingGrant& grant) { return grant.number < request.adoptedNumber; });

    holder.inUse.assign(m_servers.size(), {});
    for (const ServerAllocation& use : request.inUse) {
        const auto found = m_indexByServer.find(use.server);
        if (found != m_indexByServer.end() && m_servers[found->second].incarnation == use.incarnation)
            holder.inUse[found->second] = use.capacity;
    }
}

void SlotAllocator::issueGrant(Holder& holder, TimePoint now)
{
    OutstandingGrant grant {
        .number = ++m_lastGrantNumber, .expiry = now + withClockDrift(m_settings.lease), .capacities = {}
    };
    grant.capacities.reserve(m_servers.size());
    for (size_t i = 0; i < m_servers.size(); ++i)
        grant.capacities.push_back(grantable(holder, i));
    holder.expiry = grant.expiry;
    holder.grants.push_back(std::move(grant));

    // Bounds the memory for a host that does not acknowledge: its two oldest grants are merged.
    if (holder.grants.size() > maxOutstandingGrants) {
        OutstandingGrant oldest = std::move(holder.grants.front());
        holder.grants.pop_front();
        OutstandingGrant& next = holder.grants.front();
        for (size_t i = 0; i < oldest.capacities.size(); ++i)
            next.capacities[i] = componentwiseMax(next.capacities[i], oldest.capacities[i]);
    }
}

ServerCapacity SlotAllocator::reserved(const Holder& holder, size_t serverIndex)
{
    ServerCapacity maximum = serverIndex < holder.inUse.size() ? holder.inUse[serverIndex] : ServerCapacity {};
    for (const OutstandingGrant& grant : holder.grants) {
        if (serverIndex < grant.capacities.size())
            maximum = componentwiseMax(maximum, grant.capacities[serverIndex]);
    }
    return maximum;
}

ServerCapacity SlotAllocator::grantable(const Holder& holder, size_t serverIndex) const
{
    // A removed server is kept only until its grants expire.
    if (!m_servers[serverIndex].isListed)
        return {};
    ServerCapacity available = m_servers[serverIndex].pool;
    for (const Holder& other : m_holders) {
        if (&other != &holder)
            available = saturatingSubtract(available, reserved(other, serverIndex));
    }
    return componentwiseMin(available, holder.targets[serverIndex]);
}

bool SlotAllocator::isBalanced() const
{
    return !m_isMembershipChanged && std::ranges::all_of(m_holders, [](const Holder& holder) {
        const uint32_t previous = holder.demandAtRebalance;
        const uint32_t change = std::max(previous, holder.demand) - std::min(previous, holder.demand);
        return change <= std::max(maxIgnoredDemandChange, previous / 4);
    });
}

void SlotAllocator::rebalance(TimePoint now)
{
    if (isBalanced() || (now < m_nextRebalance && !m_isMembershipChanged))
        return;
    m_nextRebalance = now + m_settings.rebalanceInterval;
    m_isMembershipChanged = false;
    for (Holder& holder : m_holders) {
        holder.demandAtRebalance = holder.demand;
        holder.targets.assign(m_servers.size(), {});
    }
    // Remainders carry over from server to server, so that no host gets all of them.
    std::vector<int64_t> deficits(m_holders.size(), 0);
    for (size_t i = 0; i < m_servers.size(); ++i) {
        if (m_servers[i].isListed)
            assignTargets(i, deficits);
    }
}

void SlotAllocator::assignTargets(size_t serverIndex, std::vector<int64_t>& deficits)
{
    const Server& server = m_servers[serverIndex];
    const auto hosts = static_cast<uint32_t>(m_holders.size());
    // Half of the pool is divided evenly, at least one slot per host if there are enough; the rest follows demand.
    const uint32_t minimum = server.pool.slots >= hosts ? std::max(1U, server.pool.slots / (2 * hosts)) : 0;
    const uint32_t rest = server.pool.slots - minimum * hosts;

    int64_t totalWeight = 0;
    for (const Holder& holder : m_holders)
        totalWeight += holder.demand + 1;
    for (size_t h = 0; h < hosts; ++h) {
        deficits[h] += static_cast<int64_t>(rest) * (m_holders[h].demand + 1);
        m_holders[h].targets[serverIndex].slots = minimum;
    }

    // Each slot goes to the host with the largest deficit; ties rotate by server.
    const uint64_t rotation = hashBytes(server.server.value()) % hosts;
    for (uint32_t slot = 0; slot < rest; ++slot) {
        size_t best = rotation;
        for (size_t step = 1; step < hosts; ++step) {
            const size_t candidate = (rotation + step) % hosts;
            if (deficits[candidate] > deficits[best])
                best = candidate;
        }
        deficits[best] -= totalWeight;
        ++m_holders[best].targets[serverIndex].slots;
    }

    // Connections are proportional to the slots.
    for (Holder& holder : m_holders) {
        ServerCapacity& target = holder.targets[serverIndex];
        if (target.slots)
            target.connections = static_cast<uint32_t>(
                static_cast<uint64_t>(server.pool.connections) * target.slots / server.pool.slots);
    }
}

size_t SlotAllocator::liveHosts(TimePoint now) const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_holders, [now](const Holder& holder) { return holder.expiry > now; }));
}

} // namespace hickoryknot

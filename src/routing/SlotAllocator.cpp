#include "routing/SlotAllocator.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>

namespace hickoryknot {

namespace {

// Unacknowledged grants kept apart per host: two leases of asks every 250 ms fit well below.
constexpr size_t maxOutstanding = 32;

// Smaller changes of demand move no slot: a moved slot stays unused until its old holder acknowledges.
constexpr uint32_t alwaysIgnoredChange = 2;

SlotCount larger(SlotCount a, SlotCount b)
{
    return { std::max(a.slots, b.slots), std::max(a.connections, b.connections) };
}

SlotCount smaller(SlotCount a, SlotCount b)
{
    return { std::min(a.slots, b.slots), std::min(a.connections, b.connections) };
}

// `a` less `b`, not below zero.
SlotCount less(SlotCount a, SlotCount b)
{
    return { a.slots - std::min(a.slots, b.slots), a.connections - std::min(a.connections, b.connections) };
}

bool isZero(SlotCount count) { return count == SlotCount {}; }

} // namespace

SlotAllocator::SlotAllocator(SlotAllocatorSettings settings)
    : m_settings(settings)
    , m_partition(settings.hostCount)
    , m_authorityUntil(TimePoint::min())
{
}

Duration SlotAllocator::withDrift(Duration duration) const
{
    return duration + duration * m_settings.driftPercent / 100 + m_settings.driftReserve;
}

Duration SlotAllocator::handoverWait() const
{
    return m_settings.handoverWait.value_or(withDrift(m_settings.leaderLease + m_settings.lease));
}

void SlotAllocator::startGranting(uint64_t term, TimePoint now)
{
    if (term < m_term)
        return;
    m_isGranter = true;
    // Grants of this term still count, so nothing has to be waited out again.
    if (term == m_term)
        return;
    m_term = term;
    m_lastNumber = 0;
    m_grantsFrom = now + handoverWait();
    m_authorityUntil = TimePoint::min();
    m_nextRebalance = now;
    m_isMembershipChanged = true;
    m_holders.clear();
    dropUnusedServers();
}

void SlotAllocator::renewLeaderLease(TimePoint roundStartedAt)
{
    m_authorityUntil = std::max(m_authorityUntil, roundStartedAt + m_settings.leaderLease);
}

void SlotAllocator::stopGranting() { m_isGranter = false; }

void SlotAllocator::setServers(const std::vector<TrackedServer>& views)
{
    for (Server& server : m_servers)
        server.isListed = false;
    for (const TrackedServer& view : views) {
        const auto [found, isNew] = m_indexByServer.try_emplace(view.server, m_servers.size());
        if (isNew) {
            m_servers.push_back({ .server = view.server, .incarnation = view.incarnation, .pool = {} });
            for (Holder& holder : m_holders)
                holder.targets.resize(m_servers.size());
        }
        Server& server = m_servers[found->second];
        // A restarted server runs nothing of what its predecessor was sent.
        if (server.incarnation != view.incarnation)
            clearServer(found->second);
        const SlotCount pool = m_partition.poolOf({ view.slots, view.connectionLimit });
        m_isMembershipChanged = m_isMembershipChanged || isNew || server.pool != pool;
        server.incarnation = view.incarnation;
        server.pool = pool;
        server.isListed = true;
    }
    dropUnusedServers();
}

void SlotAllocator::clearServer(size_t serverIndex)
{
    for (Holder& holder : m_holders) {
        for (Outstanding& grant : holder.grants) {
            if (serverIndex < grant.counts.size())
                grant.counts[serverIndex] = {};
        }
        if (serverIndex < holder.inUse.size())
            holder.inUse[serverIndex] = {};
    }
}

void SlotAllocator::dropUnusedServers()
{
    for (size_t i = m_servers.size(); i-- > 0;) {
        const auto isUsed = [i](const Holder& holder) { return !isZero(reserved(holder, i)); };
        if (m_servers[i].isListed || std::ranges::any_of(m_holders, isUsed))
            continue;
        // Erases one column of each holder's vectors.
        const auto eraseFrom = [i](std::vector<SlotCount>& counts) {
            if (i < counts.size())
                counts.erase(counts.begin() + static_cast<std::ptrdiff_t>(i));
        };
        for (Holder& holder : m_holders) {
            eraseFrom(holder.inUse);
            eraseFrom(holder.targets);
            for (Outstanding& grant : holder.grants)
                eraseFrom(grant.counts);
        }
        m_servers.erase(m_servers.begin() + static_cast<std::ptrdiff_t>(i));
        m_isMembershipChanged = true;
    }
    m_indexByServer.clear();
    for (size_t i = 0; i < m_servers.size(); ++i)
        m_indexByServer[m_servers[i].server] = i;
}

std::optional<SlotGrant> SlotAllocator::handleRequest(const SlotRequest& ask, TimePoint now)
{
    if (!m_isGranter || now < m_grantsFrom || now >= m_authorityUntil || ask.adoptedTerm > m_term)
        return std::nullopt;

    dropExpired(now);
    Holder& holder = holderFor(ask);
    if (ask.number <= holder.lastAsk)
        return std::nullopt;
    takeReport(holder, ask);
    rebalance(now);
    issue(holder, now);

    const Outstanding& issued = holder.grants.back();
    SlotGrant grant { .host = ask.host,
        .incarnation = ask.incarnation,
        .askNumber = ask.number,
        .term = m_term,
        .number = issued.number,
        .lease = m_settings.lease,
        .servers = {} };
    for (size_t i = 0; i < m_servers.size(); ++i) {
        if (!isZero(issued.counts[i]))
            grant.servers.push_back({ m_servers[i].server, m_servers[i].incarnation, issued.counts[i] });
    }
    return grant;
}

SlotAllocator::Holder& SlotAllocator::holderFor(const SlotRequest& ask)
{
    const auto key = std::tie(ask.host, ask.incarnation);
    const auto found = std::ranges::lower_bound(
        m_holders, key, {}, [](const Holder& holder) { return std::tie(holder.host, holder.incarnation); });
    if (found != m_holders.end() && found->host == ask.host && found->incarnation == ask.incarnation)
        return *found;
    m_isMembershipChanged = true;
    Holder added;
    added.host = ask.host;
    added.incarnation = ask.incarnation;
    added.targets.resize(m_servers.size());
    return *m_holders.insert(found, std::move(added));
}

void SlotAllocator::dropExpired(TimePoint now)
{
    for (Holder& holder : m_holders)
        std::erase_if(holder.grants, [now](const Outstanding& grant) { return grant.expiry <= now; });
    if (std::erase_if(m_holders, [now](const Holder& holder) { return holder.expiry <= now; }))
        m_isMembershipChanged = true;
}

void SlotAllocator::takeReport(Holder& holder, const SlotRequest& ask)
{
    holder.lastAsk = ask.number;
    holder.demand = ask.demand;
    // The host promised never to use a grant older than the one it adopted.
    if (ask.adoptedTerm == m_term)
        std::erase_if(holder.grants, [&](const Outstanding& grant) { return grant.number < ask.adoptedNumber; });

    holder.inUse.assign(m_servers.size(), {});
    for (const ServerSlots& use : ask.inUse) {
        const auto found = m_indexByServer.find(use.server);
        if (found != m_indexByServer.end() && m_servers[found->second].incarnation == use.incarnation)
            holder.inUse[found->second] = use.count;
    }
}

void SlotAllocator::issue(Holder& holder, TimePoint now)
{
    Outstanding grant { .number = ++m_lastNumber, .expiry = now + withDrift(m_settings.lease), .counts = {} };
    grant.counts.reserve(m_servers.size());
    for (size_t i = 0; i < m_servers.size(); ++i)
        grant.counts.push_back(grantable(holder, i));
    holder.expiry = grant.expiry;
    holder.grants.push_back(std::move(grant));

    // A host that never acknowledges costs bounded memory: its two oldest grants count as one.
    if (holder.grants.size() > maxOutstanding) {
        Outstanding oldest = std::move(holder.grants.front());
        holder.grants.pop_front();
        Outstanding& next = holder.grants.front();
        for (size_t i = 0; i < oldest.counts.size(); ++i)
            next.counts[i] = larger(next.counts[i], oldest.counts[i]);
    }
}

SlotCount SlotAllocator::reserved(const Holder& holder, size_t serverIndex)
{
    SlotCount most = serverIndex < holder.inUse.size() ? holder.inUse[serverIndex] : SlotCount {};
    for (const Outstanding& grant : holder.grants) {
        if (serverIndex < grant.counts.size())
            most = larger(most, grant.counts[serverIndex]);
    }
    return most;
}

SlotCount SlotAllocator::grantable(const Holder& holder, size_t serverIndex) const
{
    // A server that is no longer listed only waits for its grants to run out.
    if (!m_servers[serverIndex].isListed)
        return {};
    SlotCount left = m_servers[serverIndex].pool;
    for (const Holder& other : m_holders) {
        if (&other != &holder)
            left = less(left, reserved(other, serverIndex));
    }
    return smaller(left, holder.targets[serverIndex]);
}

bool SlotAllocator::isBalanced() const
{
    return !m_isMembershipChanged && std::ranges::all_of(m_holders, [](const Holder& holder) {
        const uint32_t previous = holder.balancedDemand;
        const uint32_t change = std::max(previous, holder.demand) - std::min(previous, holder.demand);
        return change <= std::max(alwaysIgnoredChange, previous / 4);
    });
}

void SlotAllocator::rebalance(TimePoint now)
{
    if (isBalanced() || (now < m_nextRebalance && !m_isMembershipChanged))
        return;
    m_nextRebalance = now + m_settings.rebalanceInterval;
    m_isMembershipChanged = false;
    for (Holder& holder : m_holders) {
        holder.balancedDemand = holder.demand;
        holder.targets.assign(m_servers.size(), {});
    }
    // Remainders carry over from server to server, so that no host gets all of them.
    std::vector<int64_t> deficits(m_holders.size(), 0);
    for (size_t i = 0; i < m_servers.size(); ++i) {
        if (m_servers[i].isListed)
            splitServer(i, deficits);
    }
}

void SlotAllocator::splitServer(size_t serverIndex, std::vector<int64_t>& deficits)
{
    const Server& server = m_servers[serverIndex];
    const auto hosts = static_cast<uint32_t>(m_holders.size());
    // Half of the pool is split evenly, at least one slot each if there are enough; the rest follows demand.
    const uint32_t minimum = server.pool.slots >= hosts ? std::max(1U, server.pool.slots / (2 * hosts)) : 0;
    const uint32_t rest = server.pool.slots - minimum * hosts;

    int64_t totalWeight = 0;
    for (const Holder& holder : m_holders)
        totalWeight += holder.demand + 1;
    for (size_t h = 0; h < hosts; ++h) {
        deficits[h] += static_cast<int64_t>(rest) * (m_holders[h].demand + 1);
        m_holders[h].targets[serverIndex].slots = minimum;
    }

    // Each slot goes to the host that is furthest behind; equal ones take turns by server.
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

    // Connections follow the slots.
    for (Holder& holder : m_holders) {
        SlotCount& target = holder.targets[serverIndex];
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

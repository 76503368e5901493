#include "membership/ServerRegistry.h"

#include <algorithm>
#include <tuple>

namespace hickoryknot {

namespace {

// True if `a` was sent after the heartbeat with this incarnation and sequence by the same server.
bool isNewer(const ServerHeartbeat& a, uint64_t incarnation, uint64_t sequence)
{
    return std::tie(a.incarnation, a.sequence) > std::tie(incarnation, sequence);
}

// True if the router must be updated at once.
bool differsForRouting(const ServerHeartbeat& a, const ServerHeartbeat& b)
{
    return std::tie(a.incarnation, a.zone, a.rack, a.address, a.port, a.slots, a.connectionLimit, a.isLeaving)
        != std::tie(b.incarnation, b.zone, b.rack, b.address, b.port, b.slots, b.connectionLimit, b.isLeaving);
}

} // namespace

ServerRegistry::ServerRegistry(ServerRegistrySettings settings)
    : m_settings(settings)
{
}

bool ServerRegistry::onHeartbeat(const ServerHeartbeat& heartbeat, Duration age, TimePoint now)
{
    // A heartbeat this old would leave the server silent at once; accepting it could only mask a more recent silence.
    if (age < 0us || age >= m_settings.silentAfter)
        return false;

    const auto found = m_servers.find(heartbeat.server);
    if (found == m_servers.end()) {
        if (m_servers.size() >= m_settings.maxServers)
            return false;
        Entry& added = m_servers[heartbeat.server];
        added = { heartbeat, now - age, ServerStatus::Silent };
        ++m_revision;
        changeStatus(added, heartbeat.isLeaving ? ServerStatus::Leaving : ServerStatus::Fresh);
        return true;
    }

    Entry& entry = found->second;
    if (!isNewer(heartbeat, entry.heartbeat.incarnation, entry.heartbeat.sequence))
        return false;
    const bool isRestarted = heartbeat.incarnation != entry.heartbeat.incarnation;
    if (differsForRouting(heartbeat, entry.heartbeat))
        ++m_revision;
    entry.heartbeat = heartbeat;
    // A newer heartbeat can arrive with a larger age over a slow relay; the last contact never moves back.
    entry.lastContactAt = std::max(entry.lastContactAt, now - age);
    if (isRestarted)
        entry.status = ServerStatus::Silent;
    changeStatus(entry, heartbeat.isLeaving ? ServerStatus::Leaving : ServerStatus::Fresh);
    return true;
}

void ServerRegistry::changeStatus(Entry& entry, ServerStatus status)
{
    if (entry.status == status)
        return;
    entry.status = status;
    ++m_revision;
    const ServerEventKind kind = status == ServerStatus::Fresh ? ServerEventKind::Joined
        : status == ServerStatus::Silent                       ? ServerEventKind::Silent
                                                               : ServerEventKind::Leaving;
    m_events.push_back({ kind, entry.heartbeat.server, entry.heartbeat.zone });
}

void ServerRegistry::tick(TimePoint now)
{
    // Sorted by server id, so that the events of one tick are in a deterministic order.
    std::vector<Entry*> silent;
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        Entry& entry = it->second;
        const Duration silence = now - entry.lastContactAt;
        if (silence >= m_settings.forgetAfter) {
            it = m_servers.erase(it);
            ++m_revision;
            continue;
        }
        if (entry.status != ServerStatus::Silent && silence >= m_settings.silentAfter)
            silent.push_back(&entry);
        ++it;
    }
    std::ranges::sort(silent, {}, [](const Entry* entry) { return entry->heartbeat.server; });
    for (Entry* entry : silent)
        changeStatus(*entry, ServerStatus::Silent);
}

std::vector<ServerEvent> ServerRegistry::drainEvents() { return std::exchange(m_events, {}); }

std::vector<TrackedServer> ServerRegistry::servers(const ZoneId& zone) const
{
    std::vector<TrackedServer> zoneServers;
    for (const auto& [id, entry] : m_servers) {
        const ServerHeartbeat& heartbeat = entry.heartbeat;
        if (heartbeat.zone != zone)
            continue;
        zoneServers.push_back({ .server = id,
            .incarnation = heartbeat.incarnation,
            .address = heartbeat.address,
            .port = heartbeat.port,
            .slots = heartbeat.slots,
            .connectionLimit = heartbeat.connectionLimit,
            .isLeaving = heartbeat.isLeaving,
            .freshUntil = entry.lastContactAt + m_settings.silentAfter });
    }
    std::ranges::sort(zoneServers, {}, &TrackedServer::server);
    return zoneServers;
}

ServerStatus ServerRegistry::status(const ServerId& server, TimePoint now) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || now - found->second.lastContactAt >= m_settings.silentAfter)
        return ServerStatus::Silent;
    return found->second.heartbeat.isLeaving ? ServerStatus::Leaving : ServerStatus::Fresh;
}

std::vector<ServerDigestEntry> ServerRegistry::digest(const ZoneId& zone) const
{
    std::vector<ServerDigestEntry> digest;
    for (const auto& [id, entry] : m_servers) {
        if (entry.heartbeat.zone == zone)
            digest.push_back({ id, entry.heartbeat.incarnation, entry.heartbeat.sequence });
    }
    std::ranges::sort(digest, {}, &ServerDigestEntry::server);
    return digest;
}

std::vector<RelayedHeartbeat> ServerRegistry::heartbeatsNewerThan(
    const ZoneId& zone, const std::vector<ServerDigestEntry>& peerDigest, TimePoint now) const
{
    std::unordered_map<ServerId, const ServerDigestEntry*> known;
    for (const ServerDigestEntry& entry : peerDigest)
        known.emplace(entry.server, &entry);

    std::vector<RelayedHeartbeat> newer;
    for (const auto& [id, entry] : m_servers) {
        const Duration age = std::max(Duration(0), now - entry.lastContactAt);
        if (entry.heartbeat.zone != zone || age >= m_settings.silentAfter)
            continue;
        const auto found = known.find(id);
        if (found == known.end() || isNewer(entry.heartbeat, found->second->incarnation, found->second->sequence))
            newer.push_back({ entry.heartbeat, age });
    }
    std::ranges::sort(newer, {}, [](const RelayedHeartbeat& relayed) { return relayed.heartbeat.server; });
    return newer;
}

} // namespace hickoryknot

#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "protocol/ServerHeartbeat.h"

namespace hickoryknot {

struct ServerRegistrySettings {
    /// A server not heard from for this long gets no new work. Three missed heartbeats of 500 ms.
    Duration silentAfter { 1500ms };
    /// A server not heard from for this long is forgotten.
    Duration forgetAfter { 60s };
    /// Bounds memory against a flood of invented server ids.
    size_t maxServers { 4096 };
};

enum class ServerStatus : uint8_t {
    Fresh, // May get work.
    Silent, // Missed its heartbeats; gets no new work.
    Leaving, // Announced that it leaves; gets no new work.
};

/// One backend server as the router sees it.
struct TrackedServer {
    ServerId server;
    uint64_t incarnation { 0 };
    std::string address;
    uint16_t port { 0 };
    uint32_t slots { 0 };
    uint32_t connectionLimit { 0 };
    bool isLeaving { false };
    /// The server gets no new work from this moment on unless it is heard from again.
    TimePoint freshUntil;
};

enum class ServerEventKind : uint8_t {
    Joined, // New, restarted, or heard from again after silence or leaving.
    Silent,
    Leaving,
};

struct ServerEvent {
    ServerEventKind kind { ServerEventKind::Joined };
    ServerId server;
    ZoneId zone;
};

/// Newest heartbeat that a host holds of one server.
struct ServerDigestEntry {
    ServerId server;
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
};

/// A heartbeat passed on between hosts with the time since the first host received it.
struct RelayedHeartbeat {
    ServerHeartbeat heartbeat;
    Duration age { 0 };
};

/// Backend servers that announced themselves to any entry host. The newest (incarnation, sequence) wins, so copies that
/// arrive late or in circles change nothing. Not thread safe; deterministic.
///
/// A server that dies or leaves gets no new work after silentAfter plus the age error of a relayed copy: ages add up
/// along relays, so a copy held back by a paused host never makes a dead server look fresh.
class ServerRegistry {
public:
    explicit ServerRegistry(ServerRegistrySettings = {});

    /// Takes a heartbeat whose first reception was `age` ago (0 when it came from the server itself). Returns false if
    /// it is not newer than what is known, too old to count, or over the limit of servers.
    bool onHeartbeat(const ServerHeartbeat&, Duration age, TimePoint now);

    /// Marks silent servers and forgets old ones. Call at least every 250 ms.
    void tick(TimePoint now);

    /// Events since the last call, in order.
    std::vector<ServerEvent> drainEvents();

    /// Changes whenever views() of some zone would differ in more than freshness times.
    uint64_t revision() const { return m_revision; }

    /// All known servers of a zone in order of their ids, for Router::setServers and SlotAllocator::setServers.
    std::vector<TrackedServer> servers(const ZoneId&) const;

    /// Status at `now`, also between ticks. Silent for servers not known.
    ServerStatus status(const ServerId&, TimePoint now) const;

    /// What this host knows of one zone's servers; sent to the zone's other hosts with each peer message.
    std::vector<ServerDigestEntry> digest(const ZoneId&) const;

    /// Heartbeats of `zone` that are newer than the peer's digest and still fresh, with their ages.
    std::vector<RelayedHeartbeat> heartbeatsNewerThan(
        const ZoneId& zone, const std::vector<ServerDigestEntry>& digestOfPeer, TimePoint now) const;

    size_t size() const { return m_servers.size(); }

private:
    struct Entry {
        ServerHeartbeat heartbeat;
        TimePoint heardAt;
        ServerStatus status { ServerStatus::Fresh };
    };

    void changeStatus(Entry&, ServerStatus);

    ServerRegistrySettings m_settings;

    std::unordered_map<ServerId, Entry> m_servers;
    std::vector<ServerEvent> m_events;
    uint64_t m_revision { 0 };
};

} // namespace hickoryknot

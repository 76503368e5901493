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
    /// A server without a heartbeat for this long gets no new requests. Three missed heartbeats, which are sent every
    /// 500 ms.
    Duration silentAfter { 1500ms };
    /// A server without a heartbeat for this long is removed.
    Duration forgetAfter { 60s };
    /// Bounds the memory that heartbeats with arbitrary server ids can use.
    size_t maxServers { 4096 };
};

enum class ServerStatus : uint8_t {
    Fresh, // Gets new requests.
    Silent, // Missed its heartbeats; gets no new requests.
    Leaving, // Announced that it leaves; gets no new requests.
};

/// State of one backend server for the router.
struct TrackedServer {
    ServerId server;
    uint64_t incarnation { 0 };
    std::string address;
    uint16_t port { 0 };
    uint32_t slots { 0 };
    uint32_t connectionLimit { 0 };
    bool isLeaving { false };
    /// The server gets no new requests from this time on unless another heartbeat arrives.
    TimePoint freshUntil;
};

enum class ServerEventKind : uint8_t {
    Joined, // New or restarted, or sent a heartbeat after being silent or leaving.
    Silent,
    Leaving,
};

struct ServerEvent {
    ServerEventKind kind { ServerEventKind::Joined };
    ServerId server;
    ZoneId zone;
};

/// Identifies the newest heartbeat of one server that a host has received.
struct ServerDigestEntry {
    ServerId server;
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
};

/// A heartbeat relayed between hosts, with the time since the first host received it.
struct RelayedHeartbeat {
    ServerHeartbeat heartbeat;
    Duration age { 0 };
};

/// Tracks backend servers that sent a heartbeat to any entry host. The newest (incarnation, sequence) wins, so late or
/// repeated copies have no effect. Deterministic and not thread safe.
/// A server that fails or leaves gets no new requests after silentAfter plus the age error of a relayed copy. Ages add
/// up along relays, so a copy delayed by a paused host never makes a failed server look fresh.
class ServerRegistry {
public:
    explicit ServerRegistry(ServerRegistrySettings = {});

    /// Handles a heartbeat that the first host received `age` ago (0 if it came from the server itself). Returns false
    /// if it is not newer than the known one, older than silentAfter, or exceeds maxServers.
    bool onHeartbeat(const ServerHeartbeat&, Duration age, TimePoint now);

    /// Marks silent servers and removes those past forgetAfter. Must be called at least every 250 ms.
    void tick(TimePoint now);

    /// Events since the last call, in order.
    std::vector<ServerEvent> drainEvents();

    /// Changes whenever the result of servers() differs for some zone in more than freshUntil.
    uint64_t revision() const { return m_revision; }

    /// All known servers of a zone in order of their ids, for Router::setServers and SlotAllocator::setServers.
    std::vector<TrackedServer> servers(const ZoneId&) const;

    /// Status at `now`, also between ticks. Silent for unknown servers.
    ServerStatus status(const ServerId&, TimePoint now) const;

    /// Digest of the newest heartbeats of one zone's servers; sent to the zone's other hosts with each peer message.
    std::vector<ServerDigestEntry> digest(const ZoneId&) const;

    /// Heartbeats of `zone` that are newer than the peer's digest and not older than silentAfter, with their ages.
    std::vector<RelayedHeartbeat> heartbeatsNewerThan(
        const ZoneId& zone, const std::vector<ServerDigestEntry>& peerDigest, TimePoint now) const;

    size_t size() const { return m_servers.size(); }

private:
    struct Entry {
        ServerHeartbeat heartbeat;
        TimePoint lastContactAt;
        ServerStatus status { ServerStatus::Fresh };
    };

    void changeStatus(Entry&, ServerStatus);

    ServerRegistrySettings m_settings;

    std::unordered_map<ServerId, Entry> m_servers;
    std::vector<ServerEvent> m_events;
    uint64_t m_revision { 0 };
};

} // namespace hickoryknot

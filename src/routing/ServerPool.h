#pragma once

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "membership/ServerRegistry.h"
#include "routing/FailureScore.h"
#include "routing/SlotLeaseHolder.h"

namespace hickoryknot {

/// Result of a send to a server, for the failure score of the server.
enum class SendResult : uint8_t {
    Succeeded,
    Rejected, // 503 with X-Not-Started.
    Failed,
    Neutral, // Does not change the failure score.
};

/// Load balancer over this host's slots on the servers of its zone. A server keeps its index while it is listed or has
/// running requests. Not thread safe; deterministic for a given seed.
class ServerPool {
public:
    ServerPool(uint64_t seed, bool usesFailureScores);

    void setServers(const std::vector<TrackedServer>&);
    void setShares(const std::vector<ServerShare>&, TimePoint leasedUntil);

    /// Index of a server with a free slot that is not in `excluded`, by power of two random choices. A server on
    /// probation is chosen only if its next probe is due, and only if `mayProbe` or if there is no other usable server.
    std::optional<uint32_t> choose(std::span<const uint32_t> excluded, bool mayProbe, TimePoint now);

    /// True if there is a usable server outside of `excluded`, with or without a free slot.
    bool hasUsableServer(std::span<const uint32_t> excluded, TimePoint now);

    /// True if the server is usable at `now` and its running requests are within this host's share.
    bool isWithinShare(uint32_t server, TimePoint now);

    void allocateSlot(uint32_t server);
    void releaseSlot(uint32_t server, SendResult, TimePoint now);

    /// Slots of usable servers, free or allocated.
    uint32_t totalSlots(TimePoint now);
    uint32_t freeSlots(TimePoint now);
    /// False if choose() would find no server for any request.
    bool hasFreeSlot(TimePoint now);
    /// Time of the next probe of an idle server on probation.
    std::optional<TimePoint> nextProbe() const;

    const TrackedServer& tracked(uint32_t server) const { return m_servers[server].tracked; }
    bool isOnProbation(uint32_t server) const { return m_servers[server].score.isOnProbation(); }
    uint32_t running() const { return m_running; }
    std::vector<ServerUsage> usage() const;
    std::vector<ServerId> serversOnProbation() const;

private:
    struct Server {
        TrackedServer tracked;
        ServerCapacity base;
        ServerCapacity leased;
        bool isListed { false };
        uint32_t running { 0 };
        FailureScore score;
        // Current limit of concurrent requests; 0 if the server is not usable.
        uint32_t slotLimit { 0 };
    };

    void refresh(TimePoint now);
    uint32_t slotLimitAt(const Server&, TimePoint now) const;
    bool isProbeDue(const Server&, TimePoint now) const;
    uint32_t freeIndex();
    std::optional<uint32_t> chooseHealthy(std::span<const uint32_t> excluded);
    std::optional<uint32_t> chooseProbe(std::span<const uint32_t> excluded, TimePoint now) const;

    bool m_usesFailureScores;

    pcg32 m_random;
    std::vector<Server> m_servers;
    TimePoint m_leasedUntil;
    uint32_t m_running { 0 };

    // Cache of setServers() and refresh(): valid until a lease or a freshness time ends, a setter is called or a server
    // enters or leaves probation.
    std::unordered_map<ServerId, uint32_t> m_indexByServer;
    std::vector<uint32_t> m_healthy; // usable and not on probation
    std::vector<uint32_t> m_probation; // usable and on probation
    uint32_t m_freeHealthySlots { 0 };
    uint32_t m_totalSlots { 0 };
    TimePoint m_cacheValidUntil;
};

} // namespace hickoryknot

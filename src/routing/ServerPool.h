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

/// How a send to a server ended, for its failure score.
enum class SendResult : uint8_t {
    Answered,
    Refused, // 503 with X-Not-Started.
    Failed,
    Neutral, // Says nothing about the server.
};

/// This host's slots on the servers of its zone. Servers keep their index while they are listed or have requests
/// running. Not thread safe; deterministic for one seed.
class ServerPool {
public:
    ServerPool(uint64_t seed, bool usesFailureScores);

    void setServers(const std::vector<TrackedServer>&);
    void setShares(const std::vector<ServerShare>&, TimePoint leasedUntil);

    /// Index of a server with a free slot that is not in `excluded`: the less loaded of two random ones. A server on
    /// probation is chosen when its probe is due and `mayProbe`, or when no other server can be used.
    std::optional<uint32_t> choose(std::span<const uint32_t> excluded, bool mayProbe, TimePoint now);

    /// True if some usable server is not in `excluded`, be it busy or not.
    bool hasOther(std::span<const uint32_t> excluded, TimePoint now);

    /// True if a request sent at `now` would be within this host's share of a usable server.
    bool mayStillUse(uint32_t server, TimePoint now);

    void started(uint32_t server);
    void ended(uint32_t server, SendResult, TimePoint now);

    /// Slots of usable servers, taken or not.
    uint32_t totalSlots(TimePoint now);
    uint32_t freeSlots(TimePoint now);
    /// False if choose() would find nothing for any request.
    bool hasFreeSlot(TimePoint now);
    /// When the next probe of an idle server on probation is due.
    std::optional<TimePoint> nextProbe() const;

    const TrackedServer& view(uint32_t server) const { return m_servers[server].view; }
    bool isOnProbation(uint32_t server) const { return m_servers[server].score.isOnProbation(); }
    uint32_t running() const { return m_running; }
    std::vector<ServerUsage> uses() const;
    std::vector<ServerId> serversOnProbation() const;

private:
    struct Server {
        TrackedServer view;
        SlotCount base;
        SlotCount leased;
        bool isListed { false };
        uint32_t running { 0 };
        FailureScore score;
        // Requests that may run at once at present; 0 when the server must not be used.
        uint32_t allowed { 0 };
    };

    void refresh(TimePoint now);
    uint32_t allowedNow(const Server&, TimePoint now) const;
    bool isProbeDue(const Server&, TimePoint now) const;
    uint32_t freeIndex();
    std::optional<uint32_t> chooseOpen(std::span<const uint32_t> excluded);
    std::optional<uint32_t> chooseProbe(std::span<const uint32_t> excluded, TimePoint now) const;

    bool m_usesFailureScores;

    pcg32 m_random;
    std::vector<Server> m_servers;
    TimePoint m_leasedUntil;
    uint32_t m_running { 0 };

    // Rebuilt by refresh(): valid until a lease or a freshness time ends, or something is set.
    std::unordered_map<ServerId, uint32_t> m_indexByServer;
    std::vector<uint32_t> m_open; // usable and not on probation
    std::vector<uint32_t> m_probation; // usable and on probation
    uint32_t m_freeOpen { 0 };
    uint32_t m_total { 0 };
    TimePoint m_validUntil;
};

} // namespace hickoryknot

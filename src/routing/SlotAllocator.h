#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "membership/ServerRegistry.h"
#include "routing/SharePartition.h"
#include "routing/SlotGrant.h"

namespace hickoryknot {

struct SlotAllocatorSettings {
    /// Entry hosts configured for the zone; see SharePartition.
    uint32_t hostCount { 3 };
    /// Time for which a host may use a grant, counted from the moment it sent its ask.
    Duration lease { 2s };
    /// How long after the start of a confirmed quorum round a leader may go on granting.
    Duration leaderLease { 500ms };
    /// Largest difference in speed between the clocks of two hosts, plus a fixed reserve.
    uint32_t driftPercent { 1 };
    Duration driftReserve { 50ms };
    /// A new granter gives nothing for this long. Missing: authority and lease of its predecessor, plus drift.
    std::optional<Duration> handoverWait {};
    /// Shares follow demand at most this often.
    Duration rebalanceInterval { 500ms };
};

/// Granting side of the slot leases; runs on the zone leader. For each server, the base shares and all grants that any
/// host may still use never exceed its slots nor its connections.
///
/// Why that holds: a host's reserve is the largest of the grants it may still hold and of what it reports in use; a
/// grant is cut to what the other hosts' reserves leave over. Older grants stop counting when the host acknowledges a
/// newer one, or after the lease plus drift. A former leader grants only until `authority` after the start of its last
/// confirmed quorum round, and no such round starts after its successor was elected; so a successor that waits
/// authority plus lease plus drift after its election meets no live grant of another term.
///
/// Call sequence on the leader:
///
///     shares.becomeGranter(term, now);                  // on election
///     shares.renewAuthority(roundStartedAt);            // after each confirmed quorum round of the zone log
///     shares.setServers(registry.views(zone));          // on change of registry.revision()
///     if (auto grant = shares.answer(ask, now)) send(*grant);
///     shares.resign();                                  // on loss of leadership
///
/// Not thread safe; deterministic.
class SlotAllocator {
public:
    explicit SlotAllocator(SlotAllocatorSettings);

    /// Starts granting under a new term after the wait for a predecessor's grants. `now` is the moment of the election
    /// or later. Forgets all grants of earlier terms. The present term resumes after resign(); a lower one is ignored.
    void startGranting(uint64_t term, TimePoint now);

    /// A majority of the zone log has confirmed this leader in a round that started at `roundStartedAt`.
    void renewLeaderLease(TimePoint roundStartedAt);

    /// Grants nothing any more.
    void stopGranting();

    /// The zone's servers. A new incarnation starts with no grants.
    void setServers(const std::vector<TrackedServer>&);

    /// Answers an ask, also with an empty grant when nothing can be given. Empty when this host does not grant at the
    /// moment, or the ask is older than one already answered.
    std::optional<SlotGrant> handleRequest(const SlotRequest&, TimePoint now);

    /// Hosts whose asks counted within the last lease.
    size_t liveHosts(TimePoint now) const;

    /// Time that a new granter waits before its first grant.
    Duration handoverWait() const;

private:
    // One grant that its host may still use.
    struct Outstanding {
        uint64_t number { 0 };
        TimePoint expiry;
        std::vector<SlotCount> counts; // by server index
    };

    // One process of an entry host that asked within the last lease.
    struct Holder {
        HostId host;
        uint64_t incarnation { 0 };
        uint64_t lastAsk { 0 };
        uint32_t demand { 0 };
        uint32_t balancedDemand { 0 };
        TimePoint expiry;
        std::deque<Outstanding> grants;
        std::vector<SlotCount> inUse; // by server index
        std::vector<SlotCount> targets; // by server index
    };

    struct Server {
        ServerId server;
        uint64_t incarnation { 0 };
        SlotCount pool;
        bool isListed { true };
    };

    Duration withDrift(Duration) const;
    Holder& holderFor(const SlotRequest&);
    void dropExpired(TimePoint now);
    void takeReport(Holder&, const SlotRequest&);
    void issue(Holder&, TimePoint now);

    void dropUnusedServers();
    void clearServer(size_t serverIndex);

    bool isBalanced() const;
    void rebalance(TimePoint now);
    void splitServer(size_t serverIndex, std::vector<int64_t>& deficits);

    static SlotCount reserved(const Holder&, size_t serverIndex);
    SlotCount grantable(const Holder&, size_t serverIndex) const;

    SlotAllocatorSettings m_settings;
    SharePartition m_partition;

    bool m_isGranter { false };
    uint64_t m_term { 0 };
    uint64_t m_lastNumber { 0 };
    TimePoint m_grantsFrom;
    TimePoint m_authorityUntil;
    std::vector<Holder> m_holders; // ordered by host and incarnation
    std::vector<Server> m_servers; // holders' vectors have the same order

    // Rebuildable: servers by id, and when shares follow demand again.
    std::unordered_map<ServerId, size_t> m_indexByServer;
    TimePoint m_nextRebalance;
    bool m_isMembershipChanged { true };
};

} // namespace hickoryknot

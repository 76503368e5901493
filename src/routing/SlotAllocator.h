#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "membership/ServerRegistry.h"
#include "routing/CapacityPartition.h"
#include "routing/SlotGrant.h"

namespace hickoryknot {

struct SlotAllocatorSettings {
    /// Number of entry hosts configured for the zone; see CapacityPartition.
    uint32_t hostCount { 3 };
    /// Time for which a host may use a grant, from the time at which it sent its request.
    Duration lease { 2s };
    /// Leader lease: how long after the start of a confirmed quorum round a leader may grant slots.
    Duration leaderLease { 500ms };
    /// Maximum drift between the clocks of two hosts, plus a fixed safety margin.
    uint32_t clockDriftPercent { 1 };
    Duration clockDriftMargin { 50ms };
    /// Delay before the first grant of a new leader. Default: leader lease and slot lease of its predecessor, plus
    /// clock drift.
    std::optional<Duration> takeoverDelay {};
    /// Minimum interval between adjustments of the shares to demand.
    Duration rebalanceInterval { 500ms };
};

/// Grants slot leases to the entry hosts of a zone; runs on the zone leader. Invariant: for each server, the sum of the
/// base shares and of all grants that any host may still use exceeds neither its slots nor its connections.
///
/// Why the invariant holds: the reservation of a host is the maximum of the grants that it may still use and of its
/// reported use. A grant is limited to what the reservations of the other hosts leave free. An older grant is released
/// when the host acknowledges a newer one, or after the lease plus clock drift. A former leader grants only until
/// `leaderLease` after the start of its last confirmed quorum round, and no such round starts after the election of its
/// successor. So when the successor has waited for leader lease plus slot lease plus clock drift after its election, no
/// grant of another term is valid any more.
///
/// Call sequence on the leader:
///
///     allocator.startGranting(term, now);          // on election
///     allocator.renewLeaderLease(roundStartedAt);  // after each confirmed quorum round of the zone log
///     allocator.setServers(registry.servers(zone)); // on change of registry.revision()
///     if (auto grant = allocator.handleRequest(request, now)) send(*grant);
///     allocator.stopGranting();                    // on loss of leadership
///
/// Not thread safe; deterministic.
class SlotAllocator {
public:
    explicit SlotAllocator(SlotAllocatorSettings);

    /// Starts to grant in a new term, after the delay in which grants of a predecessor expire. `now` is the time of the
    /// election or later. Discards all grants of earlier terms. The current term resumes after stopGranting(); a lower
    /// term is ignored.
    void startGranting(uint64_t term, TimePoint now);

    /// A majority of the zone log confirmed this leader in a quorum round that started at `roundStartedAt`.
    void renewLeaderLease(TimePoint roundStartedAt);

    /// Stops granting, on loss of leadership.
    void stopGranting();

    /// Servers of the zone. A new incarnation of a server starts without grants.
    void setServers(const std::vector<TrackedServer>&);

    /// Grants slots for a request; the grant lists no servers if nothing is free. Returns nothing if this host may not
    /// grant at `now`, or if the request is not newer than the last one of its host.
    std::optional<SlotGrant> handleRequest(const SlotRequest&, TimePoint now);

    /// Number of hosts with a request within the last lease.
    size_t liveHosts(TimePoint now) const;

    /// Delay before the first grant of a new leader.
    Duration takeoverDelay() const;

private:
    // A grant that its host may still use.
    struct OutstandingGrant {
        uint64_t number { 0 };
        TimePoint expiry;
        std::vector<ServerCapacity> capacities; // by server index
    };

    // One incarnation of an entry host with a request within the last lease.
    struct Holder {
        HostId host;
        uint64_t incarnation { 0 };
        uint64_t lastRequestNumber { 0 };
        uint32_t demand { 0 };
        uint32_t demandAtRebalance { 0 };
        TimePoint expiry;
        std::deque<OutstandingGrant> grants;
        std::vector<ServerCapacity> inUse; // by server index
        std::vector<ServerCapacity> targets; // by server index
    };

    struct Server {
        ServerId server;
        uint64_t incarnation { 0 };
        ServerCapacity pool;
        bool isListed { true };
    };

    Duration withClockDrift(Duration) const;
    Holder& holderFor(const SlotRequest&);
    void removeExpired(TimePoint now);
    void recordRequest(Holder&, const SlotRequest&);
    void issueGrant(Holder&, TimePoint now);

    void removeUnusedServers();
    void clearServer(size_t serverIndex);

    bool isBalanced() const;
    void rebalance(TimePoint now);
    void assignTargets(size_t serverIndex, std::vector<int64_t>& deficits);

    static ServerCapacity reserved(const Holder&, size_t serverIndex);
    ServerCapacity grantable(const Holder&, size_t serverIndex) const;

    SlotAllocatorSettings m_settings;
    CapacityPartition m_partition;

    bool m_isGranting { false };
    uint64_t m_term { 0 };
    uint64_t m_lastGrantNumber { 0 };
    TimePoint m_grantsAllowedFrom;
    TimePoint m_leaderLeaseEnd;
    std::vector<Holder> m_holders; // sorted by host and incarnation
    std::vector<Server> m_servers; // indices match the vectors of the holders

    // Derived state.
    std::unordered_map<ServerId, size_t> m_indexByServer;
    TimePoint m_nextRebalance;
    bool m_isMembershipChanged { true };
};

} // namespace hickoryknot

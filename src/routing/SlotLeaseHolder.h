#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "membership/ServerRegistry.h"
#include "routing/CapacityPartition.h"
#include "routing/SlotGrant.h"

namespace hickoryknot {

struct SlotLeaseHolderSettings {
    HostId host;
    /// Increases with each start of the host process.
    uint64_t incarnation { 0 };
    /// Index of this host among the configured hosts of its zone, from 0; see CapacityPartition.
    uint32_t hostIndex { 0 };
    uint32_t hostCount { 3 };
};

/// This host's share of one server: the base share always, the leased part only until the lease ends.
struct ServerShare {
    ServerId server;
    uint64_t incarnation { 0 };
    ServerCapacity base;
    ServerCapacity leased;
};

/// Running requests of this host on one server.
struct ServerUsage {
    ServerId server;
    uint64_t incarnation { 0 };
    uint32_t running { 0 };
};

/// Holder of a slot lease; one per entry host. Not thread safe; deterministic. After it adopted a smaller grant, the
/// host closes idle connections beyond its shares before it sends the next request, since that request releases the
/// older grant.
///
///     send(lease.makeRequest(servers, router.serverUsage(), router.demand(), now));   // every 250 ms
///     if (lease.adopt(grant, now)) router.setShares(lease.shares(servers), lease.leasedUntil());
class SlotLeaseHolder {
public:
    explicit SlotLeaseHolder(SlotLeaseHolderSettings);

    /// The next request; its send time starts the lease of the grant. Each running request counts as one slot and one
    /// connection.
    SlotRequest makeRequest(
        const std::vector<TrackedServer>&, const std::vector<ServerUsage>&, uint32_t demand, TimePoint now);

    /// Adopts a grant. Returns false if it is for another process, matches no recent request, is older than the adopted
    /// one or has expired.
    bool adopt(const SlotGrant&, TimePoint now);

    /// This host's shares of these servers; the leased parts are valid only before leasedUntil().
    std::vector<ServerShare> shares(const std::vector<TrackedServer>&) const;

    /// End of the adopted lease on this host's clock.
    TimePoint leasedUntil() const { return m_leasedUntil; }

private:
    struct SentRequest {
        uint64_t number { 0 };
        TimePoint sentAt;
    };

    SlotLeaseHolderSettings m_settings;
    CapacityPartition m_partition;

    uint64_t m_lastRequestNumber { 0 };
    std::deque<SentRequest> m_sentRequests;
    SlotGrant m_adopted;
    TimePoint m_leasedUntil;
};

} // namespace hickoryknot

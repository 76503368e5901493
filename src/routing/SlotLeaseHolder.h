#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "membership/ServerRegistry.h"
#include "routing/SharePartition.h"
#include "routing/SlotGrant.h"

namespace hickoryknot {

struct SlotLeaseHolderSettings {
    HostId host;
    /// Grows with each start of the host process.
    uint64_t incarnation { 0 };
    /// Number of this host among the configured hosts of its zone, from 0; see SharePartition.
    uint32_t hostIndex { 0 };
    uint32_t hostCount { 3 };
};

/// This host's share of one server: the base always, the lease only until the end of the grant.
struct ServerShare {
    ServerId server;
    uint64_t incarnation { 0 };
    SlotCount base;
    SlotCount leased;
};

/// Requests of this host in progress on one server.
struct ServerUsage {
    ServerId server;
    uint64_t incarnation { 0 };
    uint32_t running { 0 };
};

/// Holding side of the slot leases; one per entry host. Not thread safe; deterministic. After a smaller grant was
/// adopted the host closes idle connections beyond its shares before it sends the next ask, since that ask releases the
/// older grant.
///
///     send(lease.makeAsk(servers, router.serverUse(), router.demand(), now));   // every 250 ms
///     if (lease.adopt(grant, now)) router.setShares(lease.shares(servers), lease.leasedUntil());
class SlotLeaseHolder {
public:
    explicit SlotLeaseHolder(SlotLeaseHolderSettings);

    /// The next ask; remembers when it was sent. Each running request counts as one slot and one connection.
    SlotRequest makeRequest(
        const std::vector<TrackedServer>&, const std::vector<ServerUsage>&, uint32_t demand, TimePoint now);

    /// Takes a grant. False if it is not for this process, answers no remembered ask, is older than the adopted one or
    /// has already run out.
    bool adopt(const SlotGrant&, TimePoint now);

    /// Shares of these servers; leased parts may be used only before leasedUntil().
    std::vector<ServerShare> shares(const std::vector<TrackedServer>&) const;

    /// End of the adopted grant on this host's clock.
    TimePoint leasedUntil() const { return m_leasedUntil; }

private:
    struct SentAsk {
        uint64_t number { 0 };
        TimePoint sentAt;
    };

    SlotLeaseHolderSettings m_settings;
    SharePartition m_partition;

    uint64_t m_lastAsk { 0 };
    std::deque<SentAsk> m_sent;
    SlotGrant m_adopted;
    TimePoint m_leasedUntil;
};

} // namespace hickoryknot

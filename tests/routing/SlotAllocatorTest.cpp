#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <numeric>
#include <optional>
#include <pcg_random.hpp>

#include "routing/SlotAllocator.h"
#include "routing/SlotLeaseHolder.h"

namespace hickoryknot {

namespace {

TrackedServer makeServer(const std::string& name, uint32_t slots, uint32_t connections)
{
    return { .server = ServerId(name),
        .incarnation = 1,
        .address = "127.0.0.1",
        .port = 9000,
        .slots = slots,
        .connectionLimit = connections,
        .isLeaving = false,
        .freshUntil = TimePoint::max() };
}

// Simulates the entry hosts of one zone with clock drift, lost and delayed messages, pauses, restarts and elections
// that the former leader does not notice. Checks after each step that all usable shares fit into the capacity of the
// servers.
class RandomizedZone {
public:
    RandomizedZone(uint64_t seed, std::optional<Duration> takeoverDelay)
        : m_random(seed, 5)
    {
        const uint32_t count = 2 + m_random(4);
        m_servers = { makeServer("a", 8, 60), makeServer("b", 8, 60), makeServer("c", 3, 5), makeServer("d", 1, 1) };
        for (uint32_t i = 0; i < count; ++i) {
            Host host;
            host.clockOffset = Duration(m_random(1000000000));
            // The clocks of two hosts drift by at most 1%.
            host.clockDriftPpm = static_cast<int64_t>(m_random(9900)) - 4950;
            host.allocator = std::make_unique<SlotAllocator>(
                SlotAllocatorSettings { .hostCount = count, .takeoverDelay = takeoverDelay });
            host.allocator->setServers(m_servers);
            host.startsAt = Duration(m_random(3000000));
            m_hosts.push_back(std::move(host));
        }
        for (uint32_t i = 0; i < count; ++i)
            restart(i);
    }

    /// Returns false as soon as the shares of some server exceed its capacity.
    bool run()
    {
        for (m_now = 0us; m_now < 20s; m_now += 10ms) {
            // About one election every two seconds.
            if (!m_random(200) || !m_leader)
                elect();
            for (uint32_t i = 0; i < m_hosts.size(); ++i)
                stepHost(i);
            if (!sharesFit())
                return false;
        }
        return true;
    }

    /// Maximum number of slots leased at the same time, without base allocator.
    uint32_t maxLeased() const { return m_maxLeased; }

private:
    struct Host {
        Duration clockOffset { 0 };
        int64_t clockDriftPpm { 0 };
        Duration startsAt { 0 };
        Duration pausedUntil { 0 };
        Duration nextRequestAt { 0 };
        Duration nextRound { 0 };
        uint64_t incarnation { 0 };
        uint64_t grantingTerm { 0 };
        std::unique_ptr<SlotAllocator> allocator;
        std::unique_ptr<SlotLeaseHolder> lease;
    };

    struct Message {
        Duration arrivesAt { 0 };
        uint32_t to { 0 };
        std::optional<SlotRequest> request {};
        std::optional<SlotGrant> grant {};
        uint32_t from { 0 };
    };

    // A quorum round, with the time at which the leader receives its confirmation.
    struct Round {
        Duration confirmedAt { 0 };
        uint32_t leader { 0 };
        uint64_t term { 0 };
        TimePoint startedAt;
    };

    TimePoint clock(const Host& host) const
    {
        return TimePoint(host.clockOffset + m_now + m_now * host.clockDriftPpm / 1000000);
    }

    void restart(uint32_t index)
    {
        Host& host = m_hosts[index];
        host.lease
            = std::make_unique<SlotLeaseHolder>(SlotLeaseHolderSettings { .host = HostId("h" + std::to_string(index)),
                .incarnation = ++host.incarnation,
                .hostIndex = index,
                .hostCount = static_cast<uint32_t>(m_hosts.size()) });
    }

    void elect()
    {
        m_previousLeader = m_leader;
        m_leader = m_random(static_cast<uint32_t>(m_hosts.size()));
        ++m_term;
        // Rounds that were not confirmed before the election fail.
        std::erase_if(m_rounds, [this](const Round& round) { return round.confirmedAt > m_now; });
    }

    void stepHost(uint32_t index)
    {
        Host& host = m_hosts[index];
        if (m_now < host.startsAt || m_now < host.pausedUntil)
            return;
        if (!m_random(400))
            host.pausedUntil = m_now + Duration(m_random(4000000));
        if (!m_random(1500))
            restart(index);
        stepLeader(index);
        if (m_now >= host.nextRequestAt)
            sendRequest(index);
        receive(index);
    }

    void stepLeader(uint32_t index)
    {
        Host& host = m_hosts[index];
        if (m_leader == index && host.grantingTerm != m_term) {
            host.grantingTerm = m_term;
            host.allocator->startGranting(m_term, clock(host));
        }
        // Only rounds of the newest leader are confirmed; a deposed leader does not know of the election.
        if (m_leader == index && m_now >= host.nextRound) {
            host.nextRound = m_now + 100ms;
            m_rounds.push_back({ m_now + Duration(m_random(300000)), index, m_term, clock(host) });
        }
        for (const Round& round : m_rounds) {
            if (round.leader == index && round.term == host.grantingTerm && round.confirmedAt <= m_now)
                host.allocator->renewLeaderLease(round.startedAt);
        }
        std::erase_if(
            m_rounds, [&](const Round& round) { return round.leader == index && round.confirmedAt <= m_now; });
    }

    void sendRequest(uint32_t index)
    {
        Host& host = m_hosts[index];
        host.nextRequestAt = m_now + 250ms;
        // A host may not know the newest leader yet.
        const auto leader = m_previousLeader && !m_random(4) ? m_previousLeader : m_leader;
        std::vector<ServerUsage> uses;
        for (const TrackedServer& server : m_servers)
            uses.push_back({ server.server, 1, m_random(3) });
        send({ .to = *leader,
            .request = host.lease->makeRequest(m_servers, uses, m_random(50), clock(host)),
            .from = index });
    }

    void send(Message message)
    {
        if (!m_random(10))
            return;
        message.arrivesAt = m_now + Duration(m_random(8) ? m_random(5000) : m_random(2500000));
        m_messages.push_back(std::move(message));
    }

    void receive(uint32_t index)
    {
        std::vector<Message> arrived;
        std::erase_if(m_messages, [&](Message& message) {
            if (message.to != index || message.arrivesAt > m_now)
                return false;
            arrived.push_back(message);
            return true;
        });
        Host& host = m_hosts[index];
        for (const Message& message : arrived) {
            if (message.grant)
                host.lease->adopt(*message.grant, clock(host));
            else if (auto grant = host.allocator->handleRequest(*message.request, clock(host)))
                send({ .to = message.from, .grant = std::move(grant), .from = index });
        }
    }

    bool sharesFit()
    {
        uint32_t totalLeased = 0;
        for (size_t i = 0; i < m_servers.size(); ++i) {
            ServerCapacity sum;
            for (const Host& host : m_hosts) {
                const ServerShare share = host.lease->shares(m_servers)[i];
                // Paused hosts count too: they may resume at any time.
                const bool isLeased = clock(host) < host.lease->leasedUntil();
                sum.slots += share.base.slots + (isLeased ? share.leased.slots : 0);
                sum.connections += share.base.connections + (isLeased ? share.leased.connections : 0);
                totalLeased += isLeased ? share.leased.slots : 0;
            }
            if (sum.slots > m_servers[i].slots || sum.connections > m_servers[i].connectionLimit)
                return false;
        }
        m_maxLeased = std::max(m_maxLeased, totalLeased);
        return true;
    }

    pcg32 m_random;
    Duration m_now { 0 };
    std::vector<TrackedServer> m_servers;
    std::vector<Host> m_hosts;
    std::vector<Message> m_messages;
    std::vector<Round> m_rounds;
    std::optional<uint32_t> m_leader;
    std::optional<uint32_t> m_previousLeader;
    uint64_t m_term { 0 };
    uint32_t m_maxLeased { 0 };
};

// Hosts with a reliable network and one leader that grants the leases.
class ReliableZone {
public:
    explicit ReliableZone(size_t hosts)
        : m_allocator({ .hostCount = static_cast<uint32_t>(hosts) })
    {
        for (int i = 0; i < 20; ++i)
            m_servers.push_back(makeServer("s" + std::to_string(100 + i), 8, 60));
        for (uint32_t i = 0; i < hosts; ++i)
            m_leases.emplace_back(SlotLeaseHolderSettings { .host = HostId("h" + std::to_string(i)),
                .incarnation = 1,
                .hostIndex = i,
                .hostCount = static_cast<uint32_t>(hosts) });
        m_demand.resize(hosts, 0);
        m_isRunning.resize(hosts, true);
        m_allocator.setServers(m_servers);
        m_allocator.startGranting(1, m_now);
    }

    void advance(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += 250ms) {
            m_allocator.renewLeaderLease(m_now);
            for (size_t i = 0; i < m_leases.size(); ++i) {
                if (!m_isRunning[i])
                    continue;
                const SlotRequest request = m_leases[i].makeRequest(m_servers, {}, m_demand[i], m_now);
                if (const auto grant = m_allocator.handleRequest(request, m_now))
                    m_leases[i].adopt(*grant, m_now);
            }
        }
    }

    uint32_t slotsOf(size_t host) const
    {
        uint32_t slots = 0;
        for (const ServerShare& share : m_leases[host].shares(m_servers))
            slots += share.base.slots + (m_now < m_leases[host].leasedUntil() ? share.leased.slots : 0);
        return slots;
    }

    void setDemand(size_t host, uint32_t demand) { m_demand[host] = demand; }
    void stop(size_t host) { m_isRunning[host] = false; }

private:
    TimePoint m_now { TimePoint(100s) };
    std::vector<TrackedServer> m_servers;
    SlotAllocator m_allocator;
    std::vector<SlotLeaseHolder> m_leases;
    std::vector<uint32_t> m_demand;
    std::vector<bool> m_isRunning;
};

} // namespace

class SlotAllocatorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SlotAllocatorTest);
    CPPUNIT_TEST(sharesNeverExceedCapacity);
    CPPUNIT_TEST(withoutTakeoverDelaySharesExceedCapacity);
    CPPUNIT_TEST(baseSharesAreDisjoint);
    CPPUNIT_TEST(sharesFollowDemandAndKeepAMinimum);
    CPPUNIT_TEST(shareOfFailedHostIsReassigned);
    CPPUNIT_TEST(requestsInProgressKeepTheirSlots);
    CPPUNIT_TEST(staleGrantsAndRequestsAreRejected);
    CPPUNIT_TEST(restartedServerStartsWithoutGrants);
    CPPUNIT_TEST(slowClockOfHolderIsTolerated);
    CPPUNIT_TEST(currentTermResumesAndLowerTermsAreIgnored);
    CPPUNIT_TEST(removedServerGetsNoGrants);
    CPPUNIT_TEST_SUITE_END();

    // Guards against overloaded servers with pauses, lost and delayed messages, clock drift, restarts and elections.
    void sharesNeverExceedCapacity()
    {
        uint32_t maxLeased = 0;
        for (uint64_t seed = 1; seed <= 200; ++seed) {
            RandomizedZone zone(seed, std::nullopt);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), zone.run());
            maxLeased = std::max(maxLeased, zone.maxLeased());
        }
        // Guards against a simulation in which nothing is granted.
        CPPUNIT_ASSERT(maxLeased >= 10);
    }

    // Guards against a simulation that cannot detect violations: without the takeover delay it must find some.
    void withoutTakeoverDelaySharesExceedCapacity()
    {
        int violations = 0;
        for (uint64_t seed = 1; seed <= 40; ++seed)
            violations += RandomizedZone(seed, Duration(0)).run() ? 0 : 1;
        CPPUNIT_ASSERT(violations > 0);
    }

    // Guards against base shares that overlap, and against capacity that is in neither a base share nor the pool.
    void baseSharesAreDisjoint()
    {
        for (uint32_t hostCount = 1; hostCount <= 9; ++hostCount) {
            const CapacityPartition partition(hostCount);
            for (uint32_t slots = 0; slots <= 20; ++slots) {
                for (const uint32_t connections : { 0U, 3U, 8U, 60U }) {
                    const ServerId server("s" + std::to_string(slots));
                    ServerCapacity sum = partition.sharedPool({ slots, connections });
                    for (uint32_t hostIndex = 0; hostIndex < hostCount + 2; ++hostIndex) {
                        const ServerCapacity base = partition.baseShare(hostIndex, server, { slots, connections });
                        sum.slots += base.slots;
                        sum.connections += base.connections;
                    }
                    CPPUNIT_ASSERT_EQUAL(slots, sum.slots);
                    CPPUNIT_ASSERT_EQUAL(connections, sum.connections);
                }
            }
        }
    }

    // Guards against idle slots on one host while another host has a queue, and against hosts without slots.
    void sharesFollowDemandAndKeepAMinimum()
    {
        ReliableZone zone(3);
        zone.advance(4s);
        // 20 servers of 8 slots: about a third each.
        for (size_t i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(zone.slotsOf(i) >= 50 && zone.slotsOf(i) <= 57);
        zone.setDemand(0, 300);
        zone.advance(2s);
        CPPUNIT_ASSERT(zone.slotsOf(0) >= 75);
        CPPUNIT_ASSERT(zone.slotsOf(1) >= 40 && zone.slotsOf(2) >= 40);
        CPPUNIT_ASSERT_EQUAL(uint32_t(160), zone.slotsOf(0) + zone.slotsOf(1) + zone.slotsOf(2));
    }

    // Guards against slots that stay unused after a host failed.
    void shareOfFailedHostIsReassigned()
    {
        ReliableZone zone(3);
        zone.advance(4s);
        zone.stop(2);
        zone.advance(3s);
        // Only the base share of the failed host, one slot on each of 20 servers, stays unused.
        CPPUNIT_ASSERT_EQUAL(uint32_t(140), zone.slotsOf(0) + zone.slotsOf(1));
    }

    // Guards against granting a slot in which a request of its former holder still runs.
    void requestsInProgressKeepTheirSlots()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator allocator({ .hostCount = 0, .takeoverDelay = Duration(0) });
        allocator.setServers(servers);
        TimePoint now(100s);
        allocator.startGranting(1, now);
        allocator.renewLeaderLease(now);
        SlotLeaseHolder first({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        SlotLeaseHolder second({ .host = HostId("h1"), .incarnation = 1, .hostIndex = 1, .hostCount = 0 });
        const auto renew = [&](SlotLeaseHolder& lease, uint32_t running) {
            now += 100ms;
            allocator.renewLeaderLease(now);
            const auto grant
                = allocator.handleRequest(lease.makeRequest(servers, { { ServerId("a"), 1, running } }, 1, now), now);
            CPPUNIT_ASSERT(grant && lease.adopt(*grant, now));
            return lease.shares(servers)[0].leased.slots;
        };
        CPPUNIT_ASSERT_EQUAL(uint32_t(8), renew(first, 8));
        CPPUNIT_ASSERT_EQUAL(uint32_t(0), renew(second, 0));
        // The share of the first host shrinks at once; that of the second host grows only as requests end.
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), renew(first, 8));
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), renew(first, 7));
        CPPUNIT_ASSERT_EQUAL(uint32_t(1), renew(second, 0));
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), renew(first, 2));
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), renew(second, 1));
    }

    // Guards against the use of superseded or expired grants.
    void staleGrantsAndRequestsAreRejected()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator allocator({ .hostCount = 1, .takeoverDelay = Duration(0) });
        allocator.setServers(servers);
        const TimePoint now(100s);
        SlotLeaseHolder lease({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 1 });
        const SlotRequest early = lease.makeRequest(servers, {}, 1, now);
        CPPUNIT_ASSERT(!allocator.handleRequest(early, now)); // not elected
        allocator.startGranting(1, now);
        CPPUNIT_ASSERT(!allocator.handleRequest(early, now)); // no confirmed round
        allocator.renewLeaderLease(now);
        const auto first = allocator.handleRequest(early, now);
        const auto second = allocator.handleRequest(lease.makeRequest(servers, {}, 1, now), now);
        CPPUNIT_ASSERT(first && second && !allocator.handleRequest(early, now));
        CPPUNIT_ASSERT(!lease.adopt(*second, now + 2s)); // expired
        CPPUNIT_ASSERT(lease.adopt(*second, now));
        CPPUNIT_ASSERT(!lease.adopt(*first, now)); // older than the adopted one
        CPPUNIT_ASSERT(
            !allocator.handleRequest(lease.makeRequest(servers, {}, 1, now), now + 500ms)); // leader lease has expired
    }

    // Guards against requests sent to a restarted server under grants for its former incarnation.
    void restartedServerStartsWithoutGrants()
    {
        std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator allocator({ .hostCount = 0, .takeoverDelay = Duration(0) });
        allocator.setServers(servers);
        const TimePoint now(100s);
        allocator.startGranting(1, now);
        allocator.renewLeaderLease(now);
        SlotLeaseHolder lease({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        CPPUNIT_ASSERT(lease.adopt(*allocator.handleRequest(lease.makeRequest(servers, {}, 1, now), now), now));
        CPPUNIT_ASSERT_EQUAL(uint32_t(8), lease.shares(servers)[0].leased.slots);
        servers[0].incarnation = 2;
        CPPUNIT_ASSERT_EQUAL(uint32_t(0), lease.shares(servers)[0].leased.slots);
        allocator.setServers(servers);
        SlotLeaseHolder other({ .host = HostId("h1"), .incarnation = 1, .hostIndex = 1, .hostCount = 0 });
        CPPUNIT_ASSERT(other.adopt(*allocator.handleRequest(other.makeRequest(servers, {}, 1, now), now), now));
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), other.shares(servers)[0].leased.slots);
    }

    // Guards against granting a share again while its holder, whose clock is 1% slow, still considers the lease valid.
    void slowClockOfHolderIsTolerated()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator allocator({ .hostCount = 0, .takeoverDelay = Duration(0) });
        allocator.setServers(servers);
        const TimePoint granted(100s);
        allocator.startGranting(1, granted);
        allocator.renewLeaderLease(granted + 2s);
        SlotLeaseHolder slow({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        CPPUNIT_ASSERT(
            slow.adopt(*allocator.handleRequest(slow.makeRequest(servers, {}, 1, granted), granted), granted));

        SlotLeaseHolder other({ .host = HostId("h1"), .incarnation = 1, .hostIndex = 1, .hostCount = 0 });
        const auto grantedAfter = [&](Duration duration) {
            const auto grant = allocator.handleRequest(other.makeRequest(servers, {}, 1, granted), granted + duration);
            return grant && !grant->servers.empty();
        };
        CPPUNIT_ASSERT(granted + 2020ms * 99 / 100 < slow.leasedUntil());
        CPPUNIT_ASSERT(!grantedAfter(2020ms));
        CPPUNIT_ASSERT(grantedAfter(2070ms));
    }

    // Guards against grants that are forgotten, or granted again too early, when a leader steps down briefly and
    // resumes in the same term.
    void currentTermResumesAndLowerTermsAreIgnored()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator allocator({ .hostCount = 0, .takeoverDelay = Duration(0) });
        allocator.setServers(servers);
        TimePoint now(100s);
        allocator.startGranting(5, now);
        allocator.renewLeaderLease(now);
        SlotLeaseHolder first({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        SlotLeaseHolder second({ .host = HostId("h1"), .incarnation = 1, .hostIndex = 1, .hostCount = 0 });
        CPPUNIT_ASSERT(first.adopt(*allocator.handleRequest(first.makeRequest(servers, {}, 1, now), now), now));
        allocator.stopGranting();
        CPPUNIT_ASSERT(!allocator.handleRequest(second.makeRequest(servers, {}, 1, now), now));
        allocator.startGranting(4, now);
        CPPUNIT_ASSERT(!allocator.handleRequest(second.makeRequest(servers, {}, 1, now), now));
        allocator.startGranting(5, now);
        const auto grant = allocator.handleRequest(second.makeRequest(servers, {}, 1, now), now);
        CPPUNIT_ASSERT(grant && grant->servers.empty());
    }

    // Guards against grants for removed servers, which would keep them in memory forever.
    void removedServerGetsNoGrants()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator allocator({ .hostCount = 0, .takeoverDelay = Duration(0) });
        allocator.setServers(servers);
        const TimePoint now(100s);
        allocator.startGranting(1, now);
        allocator.renewLeaderLease(now);
        SlotLeaseHolder lease({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        CPPUNIT_ASSERT_EQUAL(
            size_t(1), allocator.handleRequest(lease.makeRequest(servers, {}, 1, now), now)->servers.size());
        allocator.setServers({});
        CPPUNIT_ASSERT(allocator.handleRequest(lease.makeRequest(servers, {}, 1, now), now)->servers.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotAllocatorTest);

} // namespace hickoryknot

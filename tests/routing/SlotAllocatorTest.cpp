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

// Entry hosts of one zone with clocks of different speed, lost and late messages, pauses, restarts and elections that
// the old leader does not notice. Checks after each step that all usable shares fit the servers.
class RandomZone {
public:
    RandomZone(uint64_t seed, std::optional<Duration> handoverWait)
        : m_random(seed, 5)
    {
        const uint32_t count = 2 + m_random(4);
        m_servers = { makeServer("a", 8, 60), makeServer("b", 8, 60), makeServer("c", 3, 5), makeServer("d", 1, 1) };
        for (uint32_t i = 0; i < count; ++i) {
            Host host;
            host.offset = Duration(m_random(1000000000));
            // Two clocks differ by at most 1%.
            host.partsPerMillion = static_cast<int64_t>(m_random(9900)) - 4950;
            host.shares = std::make_unique<SlotAllocator>(
                SlotAllocatorSettings { .hostCount = count, .handoverWait = handoverWait });
            host.shares->setServers(m_servers);
            host.runsFrom = Duration(m_random(3000000));
            m_hosts.push_back(std::move(host));
        }
        for (uint32_t i = 0; i < count; ++i)
            restart(i);
    }

    /// False as soon as the shares of some server do not fit it.
    bool run()
    {
        for (m_now = 0us; m_now < 20s; m_now += 10ms) {
            // About one election in two seconds.
            if (!m_random(200) || !m_leader)
                elect();
            for (uint32_t i = 0; i < m_hosts.size(); ++i)
                stepHost(i);
            if (!fits())
                return false;
        }
        return true;
    }

    /// Most slots beyond the bases that were leased at one moment.
    uint32_t mostLeased() const { return m_mostLeased; }

private:
    struct Host {
        Duration offset { 0 };
        int64_t partsPerMillion { 0 };
        Duration runsFrom { 0 };
        Duration pausedUntil { 0 };
        Duration nextAsk { 0 };
        Duration nextRound { 0 };
        uint64_t incarnation { 0 };
        uint64_t grantsTerm { 0 };
        std::unique_ptr<SlotAllocator> shares;
        std::unique_ptr<SlotLeaseHolder> lease;
    };

    struct Message {
        Duration arrivesAt { 0 };
        uint32_t to { 0 };
        std::optional<SlotRequest> ask {};
        std::optional<SlotGrant> grant {};
        uint32_t from { 0 };
    };

    // A quorum round that the majority confirmed; the leader learns of it later.
    struct Round {
        Duration confirmedAt { 0 };
        uint32_t leader { 0 };
        uint64_t term { 0 };
        TimePoint startedAt;
    };

    TimePoint clock(const Host& host) const
    {
        return TimePoint(host.offset + m_now + m_now * host.partsPerMillion / 1000000);
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
        // Rounds that the majority had not seen before the election fail.
        std::erase_if(m_rounds, [this](const Round& round) { return round.confirmedAt > m_now; });
    }

    void stepHost(uint32_t index)
    {
        Host& host = m_hosts[index];
        if (m_now < host.runsFrom || m_now < host.pausedUntil)
            return;
        if (!m_random(400))
            host.pausedUntil = m_now + Duration(m_random(4000000));
        if (!m_random(1500))
            restart(index);
        lead(index);
        if (m_now >= host.nextAsk)
            ask(index);
        receive(index);
    }

    void lead(uint32_t index)
    {
        Host& host = m_hosts[index];
        if (m_leader == index && host.grantsTerm != m_term) {
            host.grantsTerm = m_term;
            host.shares->startGranting(m_term, clock(host));
        }
        // Only the newest leader's rounds are confirmed; one that was deposed goes on in ignorance.
        if (m_leader == index && m_now >= host.nextRound) {
            host.nextRound = m_now + 100ms;
            m_rounds.push_back({ m_now + Duration(m_random(300000)), index, m_term, clock(host) });
        }
        for (const Round& round : m_rounds) {
            if (round.leader == index && round.term == host.grantsTerm && round.confirmedAt <= m_now)
                host.shares->renewLeaderLease(round.startedAt);
        }
        std::erase_if(
            m_rounds, [&](const Round& round) { return round.leader == index && round.confirmedAt <= m_now; });
    }

    void ask(uint32_t index)
    {
        Host& host = m_hosts[index];
        host.nextAsk = m_now + 250ms;
        // A host may not know of the newest leader yet.
        const auto leader = m_previousLeader && !m_random(4) ? m_previousLeader : m_leader;
        std::vector<ServerUsage> uses;
        for (const TrackedServer& server : m_servers)
            uses.push_back({ server.server, 1, m_random(3) });
        post({ .to = *leader,
            .ask = host.lease->makeRequest(m_servers, uses, m_random(50), clock(host)),
            .from = index });
    }

    void post(Message message)
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
            else if (auto grant = host.shares->handleRequest(*message.ask, clock(host)))
                post({ .to = message.from, .grant = std::move(grant), .from = index });
        }
    }

    bool fits()
    {
        uint32_t allLeased = 0;
        for (size_t i = 0; i < m_servers.size(); ++i) {
            SlotCount sum;
            for (const Host& host : m_hosts) {
                const ServerShare share = host.lease->shares(m_servers)[i];
                // Paused hosts count too: they may go on at any moment.
                const bool isLeased = clock(host) < host.lease->leasedUntil();
                sum.slots += share.base.slots + (isLeased ? share.leased.slots : 0);
                sum.connections += share.base.connections + (isLeased ? share.leased.connections : 0);
                allLeased += isLeased ? share.leased.slots : 0;
            }
            if (sum.slots > m_servers[i].slots || sum.connections > m_servers[i].connectionLimit)
                return false;
        }
        m_mostLeased = std::max(m_mostLeased, allLeased);
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
    uint32_t m_mostLeased { 0 };
};

// Three hosts with good links to one granter.
class QuietZone {
public:
    explicit QuietZone(size_t hosts)
        : m_shares({ .hostCount = static_cast<uint32_t>(hosts) })
    {
        for (int i = 0; i < 20; ++i)
            m_servers.push_back(makeServer("s" + std::to_string(100 + i), 8, 60));
        for (uint32_t i = 0; i < hosts; ++i)
            m_leases.emplace_back(SlotLeaseHolderSettings { .host = HostId("h" + std::to_string(i)),
                .incarnation = 1,
                .hostIndex = i,
                .hostCount = static_cast<uint32_t>(hosts) });
        m_demand.resize(hosts, 0);
        m_isUp.resize(hosts, true);
        m_shares.setServers(m_servers);
        m_shares.startGranting(1, m_now);
    }

    void pass(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += 250ms) {
            m_shares.renewLeaderLease(m_now);
            for (size_t i = 0; i < m_leases.size(); ++i) {
                if (!m_isUp[i])
                    continue;
                const SlotRequest ask = m_leases[i].makeRequest(m_servers, {}, m_demand[i], m_now);
                if (const auto grant = m_shares.handleRequest(ask, m_now))
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
    void stop(size_t host) { m_isUp[host] = false; }

private:
    TimePoint m_now { TimePoint(100s) };
    std::vector<TrackedServer> m_servers;
    SlotAllocator m_shares;
    std::vector<SlotLeaseHolder> m_leases;
    std::vector<uint32_t> m_demand;
    std::vector<bool> m_isUp;
};

} // namespace

class SlotSharesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SlotSharesTest);
    CPPUNIT_TEST(sharesNeverExceedAServer);
    CPPUNIT_TEST(withoutHandoverWaitSharesExceedAServer);
    CPPUNIT_TEST(baseSharesAreDisjoint);
    CPPUNIT_TEST(sharesFollowDemandAndKeepAMinimum);
    CPPUNIT_TEST(shareOfDeadHostIsUsedByOthers);
    CPPUNIT_TEST(requestsInProgressKeepTheirSlots);
    CPPUNIT_TEST(staleGrantsAndAsksAreRefused);
    CPPUNIT_TEST(restartedServerStartsWithoutGrants);
    CPPUNIT_TEST(slowClockOfAHolderIsAllowedFor);
    CPPUNIT_TEST(presentTermResumesAndLowerOnesAreIgnored);
    CPPUNIT_TEST(serverOffTheListGetsNoGrants);
    CPPUNIT_TEST_SUITE_END();

    // Guards against overloaded servers under pauses, lost and late messages, drift, restarts and elections.
    void sharesNeverExceedAServer()
    {
        uint32_t mostLeased = 0;
        for (uint64_t seed = 1; seed <= 200; ++seed) {
            RandomZone zone(seed, std::nullopt);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), zone.run());
            mostLeased = std::max(mostLeased, zone.mostLeased());
        }
        // Guards against a simulation in which nothing is ever granted.
        CPPUNIT_ASSERT(mostLeased >= 10);
    }

    // Guards against a simulation that could not show the fault: without the wait it must.
    void withoutHandoverWaitSharesExceedAServer()
    {
        int violations = 0;
        for (uint64_t seed = 1; seed <= 40; ++seed)
            violations += RandomZone(seed, Duration(0)).run() ? 0 : 1;
        CPPUNIT_ASSERT(violations > 0);
    }

    // Guards against base shares that overlap, or leave a server with slots unused for most hosts.
    void baseSharesAreDisjoint()
    {
        for (uint32_t seats = 1; seats <= 9; ++seats) {
            const SharePartition partition(seats);
            for (uint32_t slots = 0; slots <= 20; ++slots) {
                for (const uint32_t connections : { 0U, 3U, 8U, 60U }) {
                    const ServerId server("s" + std::to_string(slots));
                    SlotCount sum = partition.poolOf({ slots, connections });
                    for (uint32_t seat = 0; seat < seats + 2; ++seat) {
                        const SlotCount base = partition.baseOf(seat, server, { slots, connections });
                        sum.slots += base.slots;
                        sum.connections += base.connections;
                    }
                    CPPUNIT_ASSERT_EQUAL(slots, sum.slots);
                    CPPUNIT_ASSERT_EQUAL(connections, sum.connections);
                }
            }
        }
    }

    // Guards against idle slots on one host while another has a queue, and against hosts without any slot.
    void sharesFollowDemandAndKeepAMinimum()
    {
        QuietZone zone(3);
        zone.pass(4s);
        // 20 servers of 8 slots: about a third each.
        for (size_t i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(zone.slotsOf(i) >= 50 && zone.slotsOf(i) <= 57);
        zone.setDemand(0, 300);
        zone.pass(2s);
        CPPUNIT_ASSERT(zone.slotsOf(0) >= 75);
        CPPUNIT_ASSERT(zone.slotsOf(1) >= 40 && zone.slotsOf(2) >= 40);
        CPPUNIT_ASSERT_EQUAL(uint32_t(160), zone.slotsOf(0) + zone.slotsOf(1) + zone.slotsOf(2));
    }

    // Guards against slots that stay lost after a host died.
    void shareOfDeadHostIsUsedByOthers()
    {
        QuietZone zone(3);
        zone.pass(4s);
        zone.stop(2);
        zone.pass(3s);
        // Only the base share of the dead host, one slot on each of 20 servers, stays unused.
        CPPUNIT_ASSERT_EQUAL(uint32_t(140), zone.slotsOf(0) + zone.slotsOf(1));
    }

    // Guards against giving a slot away while a request of its former holder still runs in it.
    void requestsInProgressKeepTheirSlots()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator shares({ .hostCount = 0, .handoverWait = Duration(0) });
        shares.setServers(servers);
        TimePoint now(100s);
        shares.startGranting(1, now);
        shares.renewLeaderLease(now);
        SlotLeaseHolder first({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        SlotLeaseHolder second({ .host = HostId("h1"), .incarnation = 1, .hostIndex = 1, .hostCount = 0 });
        const auto renew = [&](SlotLeaseHolder& lease, uint32_t running) {
            now += 100ms;
            shares.renewLeaderLease(now);
            const auto grant
                = shares.handleRequest(lease.makeRequest(servers, { { ServerId("a"), 1, running } }, 1, now), now);
            CPPUNIT_ASSERT(grant && lease.adopt(*grant, now));
            return lease.shares(servers)[0].leased.slots;
        };
        CPPUNIT_ASSERT_EQUAL(uint32_t(8), renew(first, 8));
        CPPUNIT_ASSERT_EQUAL(uint32_t(0), renew(second, 0));
        // The first host's share shrinks at once; the second one's grows only as requests end.
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), renew(first, 8));
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), renew(first, 7));
        CPPUNIT_ASSERT_EQUAL(uint32_t(1), renew(second, 0));
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), renew(first, 2));
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), renew(second, 1));
    }

    // Guards against the use of grants that are superseded or have run out.
    void staleGrantsAndAsksAreRefused()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator shares({ .hostCount = 1, .handoverWait = Duration(0) });
        shares.setServers(servers);
        const TimePoint now(100s);
        SlotLeaseHolder lease({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 1 });
        const SlotRequest early = lease.makeRequest(servers, {}, 1, now);
        CPPUNIT_ASSERT(!shares.handleRequest(early, now)); // not elected
        shares.startGranting(1, now);
        CPPUNIT_ASSERT(!shares.handleRequest(early, now)); // no confirmed round
        shares.renewLeaderLease(now);
        const auto first = shares.handleRequest(early, now);
        const auto second = shares.handleRequest(lease.makeRequest(servers, {}, 1, now), now);
        CPPUNIT_ASSERT(first && second && !shares.handleRequest(early, now));
        CPPUNIT_ASSERT(!lease.adopt(*second, now + 2s)); // run out
        CPPUNIT_ASSERT(lease.adopt(*second, now));
        CPPUNIT_ASSERT(!lease.adopt(*first, now)); // older than the adopted one
        CPPUNIT_ASSERT(
            !shares.handleRequest(lease.makeRequest(servers, {}, 1, now), now + 500ms)); // authority has ended
    }

    // Guards against requests sent to a restarted server under the grants of its former process.
    void restartedServerStartsWithoutGrants()
    {
        std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator shares({ .hostCount = 0, .handoverWait = Duration(0) });
        shares.setServers(servers);
        const TimePoint now(100s);
        shares.startGranting(1, now);
        shares.renewLeaderLease(now);
        SlotLeaseHolder lease({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        CPPUNIT_ASSERT(lease.adopt(*shares.handleRequest(lease.makeRequest(servers, {}, 1, now), now), now));
        CPPUNIT_ASSERT_EQUAL(uint32_t(8), lease.shares(servers)[0].leased.slots);
        servers[0].incarnation = 2;
        CPPUNIT_ASSERT_EQUAL(uint32_t(0), lease.shares(servers)[0].leased.slots);
        shares.setServers(servers);
        SlotLeaseHolder other({ .host = HostId("h1"), .incarnation = 1, .hostIndex = 1, .hostCount = 0 });
        CPPUNIT_ASSERT(other.adopt(*shares.handleRequest(other.makeRequest(servers, {}, 1, now), now), now));
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), other.shares(servers)[0].leased.slots);
    }

    // Guards against giving a share away while a host whose clock is 1% slow still counts its lease as running.
    void slowClockOfAHolderIsAllowedFor()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator shares({ .hostCount = 0, .handoverWait = Duration(0) });
        shares.setServers(servers);
        const TimePoint granted(100s);
        shares.startGranting(1, granted);
        shares.renewLeaderLease(granted + 2s);
        SlotLeaseHolder slow({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        CPPUNIT_ASSERT(slow.adopt(*shares.handleRequest(slow.makeRequest(servers, {}, 1, granted), granted), granted));

        SlotLeaseHolder other({ .host = HostId("h1"), .incarnation = 1, .hostIndex = 1, .hostCount = 0 });
        const auto grantedAfter = [&](Duration duration) {
            const auto grant = shares.handleRequest(other.makeRequest(servers, {}, 1, granted), granted + duration);
            return grant && !grant->servers.empty();
        };
        CPPUNIT_ASSERT(granted + 2020ms * 99 / 100 < slow.leasedUntil());
        CPPUNIT_ASSERT(!grantedAfter(2020ms));
        CPPUNIT_ASSERT(grantedAfter(2070ms));
    }

    // Guards against grants forgotten, or made anew too early, when a leader loses sight of its own role for a moment.
    void presentTermResumesAndLowerOnesAreIgnored()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator shares({ .hostCount = 0, .handoverWait = Duration(0) });
        shares.setServers(servers);
        TimePoint now(100s);
        shares.startGranting(5, now);
        shares.renewLeaderLease(now);
        SlotLeaseHolder first({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        SlotLeaseHolder second({ .host = HostId("h1"), .incarnation = 1, .hostIndex = 1, .hostCount = 0 });
        CPPUNIT_ASSERT(first.adopt(*shares.handleRequest(first.makeRequest(servers, {}, 1, now), now), now));
        shares.stopGranting();
        CPPUNIT_ASSERT(!shares.handleRequest(second.makeRequest(servers, {}, 1, now), now));
        shares.startGranting(4, now);
        CPPUNIT_ASSERT(!shares.handleRequest(second.makeRequest(servers, {}, 1, now), now));
        shares.startGranting(5, now);
        const auto grant = shares.handleRequest(second.makeRequest(servers, {}, 1, now), now);
        CPPUNIT_ASSERT(grant && grant->servers.empty());
    }

    // Guards against grants for servers that have gone, which would keep them for ever.
    void serverOffTheListGetsNoGrants()
    {
        const std::vector servers { makeServer("a", 8, 60) };
        SlotAllocator shares({ .hostCount = 0, .handoverWait = Duration(0) });
        shares.setServers(servers);
        const TimePoint now(100s);
        shares.startGranting(1, now);
        shares.renewLeaderLease(now);
        SlotLeaseHolder lease({ .host = HostId("h0"), .incarnation = 1, .hostIndex = 0, .hostCount = 0 });
        CPPUNIT_ASSERT_EQUAL(
            size_t(1), shares.handleRequest(lease.makeRequest(servers, {}, 1, now), now)->servers.size());
        shares.setServers({});
        CPPUNIT_ASSERT(shares.handleRequest(lease.makeRequest(servers, {}, 1, now), now)->servers.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotSharesTest);

} // namespace hickoryknot

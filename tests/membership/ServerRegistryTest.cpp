#include <cppunit/extensions/HelperMacros.h>
#include <pcg_random.hpp>

#include "membership/ServerRegistry.h"

namespace hickoryknot {

namespace {

TimePoint at(Duration sinceStart) { return TimePoint(1000s + sinceStart); }

ServerHeartbeat makeHeartbeat(uint64_t sequence, uint64_t incarnation = 1, const std::string& id = "s1")
{
    ServerHeartbeat heartbeat;
    heartbeat.server = ServerId(id);
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    heartbeat.zone = ZoneId("north");
    heartbeat.address = "127.0.0.1";
    heartbeat.slots = 8;
    heartbeat.connectionLimit = 60;
    return heartbeat;
}

} // namespace

class ServerRegistryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerRegistryTest);
    CPPUNIT_TEST(newestHeartbeatWins);
    CPPUNIT_TEST(silenceAndReturnAreReportedOnce);
    CPPUNIT_TEST(leavingIsReportedAndEndsWithARestart);
    CPPUNIT_TEST(agesAddUpAlongRelays);
    CPPUNIT_TEST(onlyHeartbeatsNewerThanTheDigestAreRelayed);
    CPPUNIT_TEST(serverCountIsBounded);
    CPPUNIT_TEST(allHostsLearnOfALeavingServerInTime);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an old copy that overrides a newer heartbeat.
    void newestHeartbeatWins()
    {
        ServerRegistry registry;
        auto leaving = makeHeartbeat(5);
        leaving.isLeaving = true;
        CPPUNIT_ASSERT(registry.onHeartbeat(leaving, 0ms, at(0s)));
        CPPUNIT_ASSERT(!registry.onHeartbeat(makeHeartbeat(4), 0ms, at(0s)));
        CPPUNIT_ASSERT(!registry.onHeartbeat(makeHeartbeat(5), 0ms, at(0s)));
        CPPUNIT_ASSERT(registry.status(ServerId("s1"), at(0s)) == ServerStatus::Leaving);
        CPPUNIT_ASSERT(registry.onHeartbeat(makeHeartbeat(1, 2), 0ms, at(0s)));
        CPPUNIT_ASSERT(registry.status(ServerId("s1"), at(0s)) == ServerStatus::Fresh);
        CPPUNIT_ASSERT(!registry.onHeartbeat(makeHeartbeat(9, 1), 0ms, at(0s)));
    }

    // Guards against requests for silent servers and against repeated events.
    void silenceAndReturnAreReportedOnce()
    {
        ServerRegistry registry;
        registry.onHeartbeat(makeHeartbeat(1), 0ms, at(0s));
        CPPUNIT_ASSERT(registry.drainEvents().at(0).kind == ServerEventKind::Joined);
        CPPUNIT_ASSERT(registry.servers(ZoneId("north")).at(0).freshUntil == at(1500ms));
        CPPUNIT_ASSERT(registry.status(ServerId("s1"), at(1499ms)) == ServerStatus::Fresh);
        CPPUNIT_ASSERT(registry.status(ServerId("s1"), at(1500ms)) == ServerStatus::Silent);
        registry.tick(at(1500ms));
        registry.tick(at(1600ms));
        const auto events = registry.drainEvents();
        CPPUNIT_ASSERT(events.size() == 1 && events[0].kind == ServerEventKind::Silent);
        registry.onHeartbeat(makeHeartbeat(2), 0ms, at(2s));
        CPPUNIT_ASSERT(registry.drainEvents().at(0).kind == ServerEventKind::Joined);
    }

    // Guards against taking a restarted server for one that is still leaving.
    void leavingIsReportedAndEndsWithARestart()
    {
        ServerRegistry registry;
        registry.onHeartbeat(makeHeartbeat(1), 0ms, at(0s));
        const uint64_t revision = registry.revision();
        auto leaving = makeHeartbeat(2);
        leaving.isLeaving = true;
        registry.onHeartbeat(leaving, 0ms, at(100ms));
        CPPUNIT_ASSERT(registry.revision() != revision);
        CPPUNIT_ASSERT(registry.servers(ZoneId("north")).at(0).isLeaving);
        registry.onHeartbeat(makeHeartbeat(1, 2), 0ms, at(200ms));
        const auto events = registry.drainEvents();
        CPPUNIT_ASSERT_EQUAL(size_t(3), events.size());
        CPPUNIT_ASSERT(events[1].kind == ServerEventKind::Leaving && events[2].kind == ServerEventKind::Joined);
    }

    // Guards against a failed server that looks fresh because a paused host relayed its heartbeat late.
    void agesAddUpAlongRelays()
    {
        ServerRegistry first;
        ServerRegistry second;
        first.onHeartbeat(makeHeartbeat(1), 200ms, at(0s));
        const auto relayed = first.heartbeatsNewerThan(ZoneId("north"), {}, at(1s));
        CPPUNIT_ASSERT(relayed.at(0).age == 1200ms);
        CPPUNIT_ASSERT(second.onHeartbeat(relayed[0].heartbeat, relayed[0].age, at(50s)));
        CPPUNIT_ASSERT(second.status(ServerId("s1"), at(50299ms)) == ServerStatus::Fresh);
        CPPUNIT_ASSERT(second.status(ServerId("s1"), at(50300ms)) == ServerStatus::Silent);
        CPPUNIT_ASSERT(first.heartbeatsNewerThan(ZoneId("north"), {}, at(1300ms)).empty());
        CPPUNIT_ASSERT(!second.onHeartbeat(makeHeartbeat(2), 1500ms, at(60s)));
    }

    // Guards against every host relaying every heartbeat to every other host.
    void onlyHeartbeatsNewerThanTheDigestAreRelayed()
    {
        ServerRegistry first;
        ServerRegistry second;
        for (const char* id : { "s1", "s2", "s3" })
            first.onHeartbeat(makeHeartbeat(7, 1, id), 0ms, at(0s));
        second.onHeartbeat(makeHeartbeat(7, 1, "s1"), 0ms, at(0s));
        second.onHeartbeat(makeHeartbeat(6, 1, "s2"), 0ms, at(0s));
        const ZoneId zone("north");
        const auto newer = first.heartbeatsNewerThan(zone, second.digest(zone), at(0s));
        CPPUNIT_ASSERT_EQUAL(size_t(2), newer.size());
        CPPUNIT_ASSERT(newer[0].heartbeat.server == ServerId("s2"));
        CPPUNIT_ASSERT(second.heartbeatsNewerThan(zone, first.digest(zone), at(0s)).empty());
        CPPUNIT_ASSERT(first.heartbeatsNewerThan(ZoneId("east"), {}, at(0s)).empty());
    }

    // Guards against memory that grows with each server that ever sent a heartbeat.
    void serverCountIsBounded()
    {
        ServerRegistry registry({ .maxServers = 2 });
        CPPUNIT_ASSERT(registry.onHeartbeat(makeHeartbeat(1, 1, "s1"), 0ms, at(0s)));
        CPPUNIT_ASSERT(registry.onHeartbeat(makeHeartbeat(1, 1, "s2"), 0ms, at(1s)));
        CPPUNIT_ASSERT(!registry.onHeartbeat(makeHeartbeat(1, 1, "s3"), 0ms, at(2s)));
        registry.tick(at(60s));
        CPPUNIT_ASSERT_EQUAL(size_t(1), registry.size());
        CPPUNIT_ASSERT(registry.onHeartbeat(makeHeartbeat(1, 1, "s3"), 0ms, at(60s)));
    }

    // Guards against requests for a leaving or failed server more than 3 s later on any of three hosts that lose
    // messages.
    void allHostsLearnOfALeavingServerInTime()
    {
        for (uint64_t seed = 1; seed <= 50; ++seed) {
            pcg32 random(seed, 9);
            ServerRegistry hosts[3];
            const ZoneId zone("north");
            const bool isDying = random(2);
            for (Duration now = 0ms; now < 8s; now += 50ms) {
                const bool hasEnded = now >= 4s;
                // A leaving server continues to send heartbeats; a failed one does not.
                if (now % 500ms == 0ms && !(isDying && hasEnded)) {
                    auto heartbeat = makeHeartbeat(static_cast<uint64_t>(now / 500ms));
                    heartbeat.isLeaving = hasEnded;
                    hosts[random(3)].onHeartbeat(heartbeat, 0ms, at(now));
                }
                for (size_t i = 0; i < 3 && now % 250ms == 0ms; ++i) {
                    const size_t peer = (i + 1 + random(2)) % 3;
                    if (!random(3))
                        continue;
                    for (const auto& relayed : hosts[i].heartbeatsNewerThan(zone, hosts[peer].digest(zone), at(now)))
                        hosts[peer].onHeartbeat(relayed.heartbeat, relayed.age, at(now));
                }
                for (const ServerRegistry& host : hosts) {
                    const bool isFresh = host.status(ServerId("s1"), at(now)) == ServerStatus::Fresh;
                    CPPUNIT_ASSERT(!isFresh || now < 7s);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerRegistryTest);

} // namespace hickoryknot

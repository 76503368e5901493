#include <cppunit/extensions/HelperMacros.h>

#include "control/PermissionProxySelector.h"

namespace hickoryknot {

class PermissionProxySelectorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PermissionProxySelectorTest);
    CPPUNIT_TEST(callsGoToTheHostThatIsIdleFirst);
    CPPUNIT_TEST(shortCallsAreNotDelayedWhenAZoneIsCutOff);
    CPPUNIT_TEST(hostIsUsedAgainAfterAHeartbeat);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t zones = 3;
    static constexpr size_t hostsPerZone = 12;
    static constexpr Duration longCallTime = 1s;
    static constexpr Duration shortCallTime = 10ms;

    PermissionProxySelector m_proxies;
    TimePoint m_now { 100s };

    static HostId host(size_t zone, size_t number)
    {
        return HostId("10." + std::to_string(zone + 1) + ".0." + std::to_string(20 + number) + ":7720");
    }

    void addZone(size_t zone)
    {
        for (size_t i = 0; i < hostsPerZone; ++i)
            m_proxies.onHeartbeat(host(zone, i), m_now);
    }

    // Guards against calls that are queued while other hosts are idle.
    void callsGoToTheHostThatIsIdleFirst()
    {
        CPPUNIT_ASSERT(!m_proxies.choose(shortCallTime, m_now));
        m_proxies.onHeartbeat(host(0, 0), m_now);
        m_proxies.onHeartbeat(host(1, 0), m_now);
        m_proxies.assign(host(0, 0), longCallTime, m_now);
        CPPUNIT_ASSERT(host(1, 0) == m_proxies.choose(shortCallTime, m_now)->host);
        m_proxies.assign(host(1, 0), 2 * longCallTime, m_now);
        CPPUNIT_ASSERT(host(0, 0) == m_proxies.choose(shortCallTime, m_now)->host);
        CPPUNIT_ASSERT(m_now + longCallTime == m_proxies.choose(shortCallTime, m_now)->estimatedStart);
    }

    // Guards against short calls that are queued behind long ones while a zone is cut off. This happened when all hosts
    // reserved for short calls were in that zone: short calls took 0.5 to 0.8 s for 1.5 s, until the zone's heartbeats
    // timed out.
    void shortCallsAreNotDelayedWhenAZoneIsCutOff()
    {
        for (size_t cut = 0; cut < zones; ++cut) {
            m_proxies = {};
            for (size_t zone = 0; zone < zones; ++zone)
                addZone(zone);
            // Add long calls while they would start within a second.
            while (const auto choice = m_proxies.choose(longCallTime, m_now)) {
                if (choice->estimatedStart > m_now + 1s)
                    break;
                m_proxies.assign(choice->host, longCallTime, m_now);
            }
            const auto isCutOff
                = [&](const HostId& id) { return id.value().starts_with("10." + std::to_string(cut + 1) + "."); };
            // One call fails at each host that is cut off.
            std::optional<PermissionProxySelector::Choice> choice = m_proxies.choose(shortCallTime, m_now);
            for (size_t i = 0; i < hostsPerZone && isCutOff(choice->host); ++i) {
                m_proxies.onFailure(choice->host, m_now);
                choice = m_proxies.choose(shortCallTime, m_now);
            }
            CPPUNIT_ASSERT(!isCutOff(choice->host));
            CPPUNIT_ASSERT_MESSAGE("zone " + std::to_string(cut), choice->estimatedStart == m_now);
        }
    }

    // Guards against retrying a host that is cut off every second until its heartbeat times out, and against not using
    // a host again that has recovered.
    void hostIsUsedAgainAfterAHeartbeat()
    {
        m_proxies.onHeartbeat(host(0, 0), m_now);
        m_now += 100ms;
        m_proxies.onFailure(host(0, 0), m_now);
        m_now += 1200ms;
        CPPUNIT_ASSERT(!m_proxies.choose(shortCallTime, m_now));
        m_proxies.onHeartbeat(host(0, 0), m_now);
        CPPUNIT_ASSERT(m_proxies.choose(shortCallTime, m_now).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermissionProxySelectorTest);

} // namespace hickoryknot

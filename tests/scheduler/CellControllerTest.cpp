#include <cppunit/extensions/HelperMacros.h>

#include "lease/LeaseCalculator.h"
#include "scheduler/CellController.h"

namespace hickoryknot {

class CellControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CellControllerTest);
    CPPUNIT_TEST(unconfirmedLeaderGrantsNoLease);
    CPPUNIT_TEST(leasesNeverOutlastTheConfirmation);
    CPPUNIT_TEST(newLeaderWaitsBeforeItMovesJobs);
    CPPUNIT_TEST(zoneWithAStaleEpochGetsNoLease);
    CPPUNIT_TEST(tableAcknowledgementListsMissingHosts);
    CPPUNIT_TEST(laggingHostLosesItsTableLease);
    CPPUNIT_TEST(groupOfTwoDropsItsSilentMember);
    CPPUNIT_TEST(jobsAreAssignedToTheZoneWithFreeCapacity);
    CPPUNIT_TEST_SUITE_END();

    static constexpr UnixMs startMs = 1'800'000'000'000;

    CellState m_state;
    CellController m_controller { {}, m_state };
    TimePoint m_now { 100s };
    uint64_t m_sequence { 0 };

    void commitProposals()
    {
        for (int round = 0; round < 4; ++round) {
            for (const auto& proposal : m_controller.tick(m_now, WallTime(startMs * 1ms)).cell)
                m_controller.onProposalResult(proposal.token, m_state.apply(1, proposal.payload), m_now);
        }
    }

    PeerLeaseGrant sendPeerMessage(
        const char* host, const char* zone, int64_t freeCores = 100, uint64_t appliedVersion = 0)
    {
        const ZoneRecord* record = m_state.findZone(ZoneId(zone));
        PeerMessage message;
        message.host = HostId(host);
        message.zone = ZoneId(zone);
        message.sequence = ++m_sequence;
        message.appliedTableVersion = appliedVersion ? appliedVersion : m_state.table().version();
        message.leadsZone = true;
        message.zoneEpoch = record ? record->epoch : 0;
        message.zoneCutOffVersion = m_state.table().version();
        message.free.millicores = Millicores(freeCores * 1000);
        return m_controller.onPeerMessage(message, m_now);
    }

    // Becomes a confirmed leader and records one host each in the zones east and west.
    void becomeConfirmedLeader()
    {
        m_controller.becomeLeader(1, m_now);
        m_controller.onLeadershipConfirmed(m_now);
        sendPeerMessage("east", "east");
        sendPeerMessage("west", "west");
        commitProposals();
    }

    uint32_t submit(int64_t cores = 1)
    {
        m_state.execute(SubmitCellJob { .request = RequestId("r" + std::to_string(m_state.nextJob())),
            .spec = { .row = RowName("default"),
                .team = TeamId("t"),
                .perTask = { .millicores = Millicores(cores * 1000), .mebibytes = {}, .accelerators = {} },
                .command = "run" },
            .atMs = startMs });
        return m_state.nextJob() - 1;
    }

    void setTable()
    {
        Row row;
        row.name = RowName("r" + std::to_string(m_state.table().version()));
        m_state.execute(SetTable { .change = { .baseVersion = m_state.table().version(),
                                       .request = RequestId("op" + std::to_string(m_state.table().version())),
                                       .rows = { row } } });
    }

    // Guards against leases granted by a leader that has been replaced without noticing.
    void unconfirmedLeaderGrantsNoLease()
    {
        becomeConfirmedLeader();
        m_controller.becomeLeader(2, m_now);
        m_controller.onLeadershipConfirmed(m_now - 1ms);
        const auto grant = sendPeerMessage("east", "east");
        CPPUNIT_ASSERT(grant.tableLease == 0s && grant.zoneLease == 0s);
        m_controller.onLeadershipConfirmed(m_now);
        const auto confirmed = sendPeerMessage("east", "east");
        CPPUNIT_ASSERT(confirmed.tableLease == 2s && confirmed.zoneLease == 2s);
    }

    // Guards against leases of a paused leader that end after its successor stops waiting for them.
    void leasesNeverOutlastTheConfirmation()
    {
        becomeConfirmedLeader();
        const TimePoint end = LeaseCalculator({}).expiry(m_now, 2s);
        for (int i = 0; i < 30; ++i) {
            m_now += 100ms;
            const auto grant = sendPeerMessage("east", "east");
            for (const Duration lease : { grant.tableLease, grant.zoneLease })
                CPPUNIT_ASSERT(lease == 0s || LeaseCalculator({}).expiry(m_now, lease) <= end);
        }
    }

    // Guards against a new leader that moves jobs while a zone still holds a lease granted by an earlier leader.
    void newLeaderWaitsBeforeItMovesJobs()
    {
        becomeConfirmedLeader();
        const uint32_t job = submit();
        sendPeerMessage("east", "east");
        commitProposals();
        CPPUNIT_ASSERT(m_state.findJob(job)->zone == ZoneId("east"));
        m_now += 500ms;
        m_controller.becomeLeader(2, m_now);
        const TimePoint expiry = LeaseCalculator({}).expiry(m_now, 2s);
        for (; m_now < expiry; m_now += 20ms) {
            m_controller.onLeadershipConfirmed(m_now);
            sendPeerMessage("west", "west");
            commitProposals();
            CPPUNIT_ASSERT(m_state.findJob(job)->zone == ZoneId("east"));
        }
        m_now = expiry;
        sendPeerMessage("west", "west");
        commitProposals();
        CPPUNIT_ASSERT(m_state.findJob(job)->zone == ZoneId("west"));
        const auto text = m_controller.explainJob(JobId("cell:1"), m_now, WallTime(startMs * 1ms));
        CPPUNIT_ASSERT(text && text->find("zone west") != std::string::npos);
    }

    // Guards against a zone that reconnects and starts jobs that the cell has assigned to another zone.
    void zoneWithAStaleEpochGetsNoLease()
    {
        becomeConfirmedLeader();
        m_state.execute(ReleaseZone { .zone = ZoneId("east"), .epoch = 1, .atMs = startMs });
        PeerMessage message;
        message.host = HostId("east");
        message.zone = ZoneId("east");
        message.sequence = 100;
        message.leadsZone = true;
        message.zoneEpoch = 1;
        CPPUNIT_ASSERT(m_controller.onPeerMessage(message, m_now).zoneLease == 0s);
        CPPUNIT_ASSERT(sendPeerMessage("east", "east").zoneLease == 0s);
        m_sequence = 200;
        CPPUNIT_ASSERT(sendPeerMessage("east", "east").zoneLease == 2s);
    }

    // Guards against reporting a table change as complete while a host still serves by the old version.
    void tableAcknowledgementListsMissingHosts()
    {
        becomeConfirmedLeader();
        sendPeerMessage("east", "east");
        sendPeerMessage("west", "west");
        const TimePoint granted = m_now;
        setTable();
        m_now += 100ms;
        m_controller.onLeadershipConfirmed(m_now);
        sendPeerMessage("west", "west", 100, 2);
        auto acknowledgement = m_controller.tableAcknowledgement(2, m_now);
        CPPUNIT_ASSERT(!acknowledgement.isComplete);
        CPPUNIT_ASSERT(acknowledgement.missingHosts == std::vector<HostId> { HostId("east") });
        CPPUNIT_ASSERT(acknowledgement.missingZones == std::vector<ZoneId> { ZoneId("east") });
        m_now = LeaseCalculator({}).expiry(granted, 2s);
        acknowledgement = m_controller.tableAcknowledgement(2, m_now);
        CPPUNIT_ASSERT(acknowledgement.isComplete);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, acknowledgement.missingHosts.size());
    }

    // Guards against a host that sends peer messages but never applies the new version, and so keeps the old one in
    // force for more than 3 s.
    void laggingHostLosesItsTableLease()
    {
        becomeConfirmedLeader();
        sendPeerMessage("east", "east");
        setTable();
        const TimePoint changed = m_now;
        TimePoint heldUntil = m_now;
        for (; m_now < changed + 5s; m_now += 50ms) {
            m_controller.onLeadershipConfirmed(m_now);
            m_controller.tick(m_now, WallTime(startMs * 1ms));
            const auto grant = sendPeerMessage("east", "east", 100, 1);
            if (grant.tableLease > 0s)
                heldUntil = LeaseCalculator({}).expiry(m_now, grant.tableLease);
            if (m_controller.tableAcknowledgement(2, m_now).isComplete)
                break;
        }
        CPPUNIT_ASSERT(heldUntil < changed + 3s);
        CPPUNIT_ASSERT(m_now <= changed + 3s && m_now >= heldUntil);
    }

    // Guards against a group of two hosts that stays without a majority after one of them fails.
    void groupOfTwoDropsItsSilentMember()
    {
        becomeConfirmedLeader();
        sendPeerMessage("east2", "east");
        commitProposals();
        m_state.execute(SetZoneGroup { .zone = ZoneId("east"), .members = { HostId("east"), HostId("east2") } });
        for (int i = 0; i < 60; ++i) {
            CPPUNIT_ASSERT_EQUAL(size_t { 2 }, m_state.findZone(ZoneId("east"))->members.size());
            sendPeerMessage("east", "east");
            commitProposals();
            m_now += 100ms;
            if (m_state.findZone(ZoneId("east"))->generation == 2)
                break;
        }
        CPPUNIT_ASSERT(m_state.findZone(ZoneId("east"))->members == std::vector<HostId> { HostId("east") });
    }

    // Guards against jobs that wait in a full zone while another zone has free capacity.
    void jobsAreAssignedToTheZoneWithFreeCapacity()
    {
        becomeConfirmedLeader();
        sendPeerMessage("east", "east", 2);
        sendPeerMessage("west", "west", 8);
        for (int i = 0; i < 5; ++i)
            submit(2);
        commitProposals();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_state.jobsOfZone(ZoneId("east")).size());
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, m_state.jobsOfZone(ZoneId("west")).size());
        // If no zone has free capacity, the backlogs are balanced.
        for (int i = 0; i < 5; ++i)
            submit(2);
        commitProposals();
        CPPUNIT_ASSERT_EQUAL(size_t { 5 }, m_state.jobsOfZone(ZoneId("east")).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellControllerTest);

} // namespace hickoryknot

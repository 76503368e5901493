#include <cppunit/extensions/HelperMacros.h>

#include "lease/LeaseBound.h"
#include "scheduler/CellController.h"

namespace hickoryknot {

class CellControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CellControllerTest);
    CPPUNIT_TEST(unconfirmedLeaderGrantsNoLease);
    CPPUNIT_TEST(leasesNeverOutlastTheConfirmation);
    CPPUNIT_TEST(newLeaderWaitsBeforeItMovesJobs);
    CPPUNIT_TEST(zoneWithAnOldEpochGetsNoLease);
    CPPUNIT_TEST(tableChangeNamesWhoHasItNot);
    CPPUNIT_TEST(hostThatStaysBehindLosesItsTableLease);
    CPPUNIT_TEST(survivorOfTwoGoesOnAlone);
    CPPUNIT_TEST(jobsGoWhereThereIsRoom);
    CPPUNIT_TEST_SUITE_END();

    static constexpr UnixMs startMs = 1'800'000'000'000;

    CellState m_state;
    CellController m_controller { {}, m_state };
    TimePoint m_now { 100s };
    uint64_t m_sequence { 0 };

    void settle()
    {
        for (int round = 0; round < 4; ++round) {
            for (const auto& proposal : m_controller.tick(m_now, WallTime(startMs * 1ms)).cell)
                m_controller.onProposalResult(proposal.token, m_state.apply(1, proposal.payload), m_now);
        }
    }

    PeerLeaseGrant hear(const char* host, const char* zone, int64_t freeCores = 100, uint64_t appliedVersion = 0)
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

    // A confirmed leader to whom hosts east and west of zones of those names are recorded.
    void lead()
    {
        m_controller.becomeLeader(1, m_now);
        m_controller.onLeadershipConfirmed(m_now);
        hear("east", "east");
        hear("west", "west");
        settle();
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

    // Guards against leases from a leader that was replaced without knowing it.
    void unconfirmedLeaderGrantsNoLease()
    {
        lead();
        m_controller.becomeLeader(2, m_now);
        m_controller.onLeadershipConfirmed(m_now - 1ms);
        const auto grant = hear("east", "east");
        CPPUNIT_ASSERT(grant.tableLease == 0s && grant.zoneLease == 0s);
        m_controller.onLeadershipConfirmed(m_now);
        const auto confirmed = hear("east", "east");
        CPPUNIT_ASSERT(confirmed.tableLease == 2s && confirmed.zoneLease == 2s);
    }

    // Guards against leases of a paused leader that reach past the wait of its successor.
    void leasesNeverOutlastTheConfirmation()
    {
        lead();
        const TimePoint end = LeaseBound({}).expiry(m_now, 2s);
        for (int i = 0; i < 30; ++i) {
            m_now += 100ms;
            const auto grant = hear("east", "east");
            for (const Duration lease : { grant.tableLease, grant.zoneLease })
                CPPUNIT_ASSERT(lease == 0s || LeaseBound({}).expiry(m_now, lease) <= end);
        }
    }

    // Guards against a new leader that moves jobs while a zone still holds the lease of an earlier one.
    void newLeaderWaitsBeforeItMovesJobs()
    {
        lead();
        const uint32_t job = submit();
        hear("east", "east");
        settle();
        CPPUNIT_ASSERT(m_state.findJob(job)->zone == ZoneId("east"));
        m_now += 500ms;
        m_controller.becomeLeader(2, m_now);
        const TimePoint expiry = LeaseBound({}).expiry(m_now, 2s);
        for (; m_now < expiry; m_now += 20ms) {
            m_controller.onLeadershipConfirmed(m_now);
            hear("west", "west");
            settle();
            CPPUNIT_ASSERT(m_state.findJob(job)->zone == ZoneId("east"));
        }
        m_now = expiry;
        hear("west", "west");
        settle();
        CPPUNIT_ASSERT(m_state.findJob(job)->zone == ZoneId("west"));
        const auto text = m_controller.explainJob(JobId("cell:1"), m_now, WallTime(startMs * 1ms));
        CPPUNIT_ASSERT(text && text->find("zone west") != std::string::npos);
    }

    // Guards against a zone that comes back and starts what the cell has given to another one.
    void zoneWithAnOldEpochGetsNoLease()
    {
        lead();
        m_state.execute(ReleaseZone { .zone = ZoneId("east"), .epoch = 1, .atMs = startMs });
        PeerMessage message;
        message.host = HostId("east");
        message.zone = ZoneId("east");
        message.sequence = 100;
        message.leadsZone = true;
        message.zoneEpoch = 1;
        CPPUNIT_ASSERT(m_controller.onPeerMessage(message, m_now).zoneLease == 0s);
        CPPUNIT_ASSERT(hear("east", "east").zoneLease == 0s);
        m_sequence = 200;
        CPPUNIT_ASSERT(hear("east", "east").zoneLease == 2s);
    }

    // Guards against an answer to the operator while a host still serves by the old version.
    void tableChangeNamesWhoHasItNot()
    {
        lead();
        hear("east", "east");
        hear("west", "west");
        const TimePoint granted = m_now;
        setTable();
        m_now += 100ms;
        m_controller.onLeadershipConfirmed(m_now);
        hear("west", "west", 100, 2);
        auto acknowledgement = m_controller.tableAcknowledgement(2, m_now);
        CPPUNIT_ASSERT(!acknowledgement.isComplete);
        CPPUNIT_ASSERT(acknowledgement.missingHosts == std::vector<HostId> { HostId("east") });
        CPPUNIT_ASSERT(acknowledgement.missingZones == std::vector<ZoneId> { ZoneId("east") });
        m_now = LeaseBound({}).expiry(granted, 2s);
        acknowledgement = m_controller.tableAcknowledgement(2, m_now);
        CPPUNIT_ASSERT(acknowledgement.isComplete);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, acknowledgement.missingHosts.size());
    }

    // Guards against a host that reports but never applies, and so keeps an old version in force past 3 s.
    void hostThatStaysBehindLosesItsTableLease()
    {
        lead();
        hear("east", "east");
        setTable();
        const TimePoint changed = m_now;
        TimePoint heldUntil = m_now;
        for (; m_now < changed + 5s; m_now += 50ms) {
            m_controller.onLeadershipConfirmed(m_now);
            m_controller.tick(m_now, WallTime(startMs * 1ms));
            const auto grant = hear("east", "east", 100, 1);
            if (grant.tableLease > 0s)
                heldUntil = LeaseBound({}).expiry(m_now, grant.tableLease);
            if (m_controller.tableAcknowledgement(2, m_now).isComplete)
                break;
        }
        CPPUNIT_ASSERT(heldUntil < changed + 3s);
        CPPUNIT_ASSERT(m_now <= changed + 3s && m_now >= heldUntil);
    }

    // Guards against a zone of two disks that stops for ever when one dies.
    void survivorOfTwoGoesOnAlone()
    {
        lead();
        hear("east2", "east");
        settle();
        m_state.execute(SetZoneGroup { .zone = ZoneId("east"), .members = { HostId("east"), HostId("east2") } });
        for (int i = 0; i < 60; ++i) {
            CPPUNIT_ASSERT_EQUAL(size_t { 2 }, m_state.findZone(ZoneId("east"))->members.size());
            hear("east", "east");
            settle();
            m_now += 100ms;
            if (m_state.findZone(ZoneId("east"))->generation == 2)
                break;
        }
        CPPUNIT_ASSERT(m_state.findZone(ZoneId("east"))->members == std::vector<HostId> { HostId("east") });
    }

    // Guards against jobs that wait in a full zone while another one has room.
    void jobsGoWhereThereIsRoom()
    {
        lead();
        hear("east", "east", 2);
        hear("west", "west", 8);
        for (int i = 0; i < 5; ++i)
            submit(2);
        settle();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_state.jobsOfZone(ZoneId("east")).size());
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, m_state.jobsOfZone(ZoneId("west")).size());
        // Without room anywhere the work is shared.
        for (int i = 0; i < 5; ++i)
            submit(2);
        settle();
        CPPUNIT_ASSERT_EQUAL(size_t { 5 }, m_state.jobsOfZone(ZoneId("east")).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellControllerTest);

} // namespace hickoryknot

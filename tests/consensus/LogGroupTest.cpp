#include <cppunit/extensions/HelperMacros.h>

#include "consensus/DigestMachine.h"
#include "consensus/LogCluster.h"
#include "fakes/FakeDisk.h"
#include "log/RecordStore.h"

namespace hickoryknot {

class LogGroupTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogGroupTest);
    CPPUNIT_TEST(worksAsSingleHost);
    CPPUNIT_TEST(refusesWhatItCannotPropose);
    CPPUNIT_TEST(distinguishesLostLeadershipFromNoLeadership);
    CPPUNIT_TEST(refusesVoterWithoutStore);
    CPPUNIT_TEST(completesMemberChanges);
    CPPUNIT_TEST(gathersWritesWhileOneIsOutstanding);
    CPPUNIT_TEST(largeEntriesAreCompactedByBytes);
    CPPUNIT_TEST(electsWithinOneSecond);
    CPPUNIT_TEST_SUITE_END();

    static std::string codeOf(const Error& error) { return errorCodeName(error.code); }

    // Guards against a single host that waits for others or loses entries in a restart.
    void worksAsSingleHost()
    {
        LogCluster cluster(1, 1, 0);
        const HostId a("a");
        cluster.run(50ms);
        CPPUNIT_ASSERT(cluster.group(a).isLeader());
        for (int i = 0; i < 40; ++i)
            cluster.propose(a, "p" + std::to_string(i));
        cluster.readBarrier(a);
        cluster.run(50ms);
        CPPUNIT_ASSERT_EQUAL(size_t(40), cluster.acknowledged().size());
        CPPUNIT_ASSERT_EQUAL(size_t(1), cluster.completedReads());
        cluster.crash(a);
        cluster.start(a);
        cluster.run(50ms);
        CPPUNIT_ASSERT(cluster.hasConverged());
    }

    // Guards against accepting commands that are too large and against errors that do not name the leader.
    void refusesWhatItCannotPropose()
    {
        LogCluster cluster(2, 3, 1);
        cluster.run(1s);
        const HostId leader = *cluster.leader();
        Error error;
        const auto recordResult
            = [&](const Expected<std::string>& result) { error = result ? Error {} : result.error(); };
        cluster.group(leader).propose(std::string(5 << 20, 'x'), cluster.hostNow(leader), recordResult);
        CPPUNIT_ASSERT_EQUAL(std::string("too_large"), codeOf(error));
        const HostId learner("d");
        cluster.group(learner).propose("x", cluster.hostNow(learner), recordResult);
        CPPUNIT_ASSERT_EQUAL(std::string("not_leader"), codeOf(error));
        CPPUNIT_ASSERT_EQUAL(leader.value(), error.message);
        cluster.group(learner).readBarrier(
            cluster.hostNow(learner), [&](const Expected<void>& result) { error = result.error(); });
        CPPUNIT_ASSERT_EQUAL(std::string("not_leader"), codeOf(error));
        for (int i = 0; i < 20; ++i)
            cluster.group(leader).propose(std::string(4 << 20, 'x'), cluster.hostNow(leader), recordResult);
        CPPUNIT_ASSERT_EQUAL(std::string("overloaded"), codeOf(error));
    }

    // Guards against reporting NotLeader (not proposed) for a command that may still be committed.
    void distinguishesLostLeadershipFromNoLeadership()
    {
        LogCluster cluster(3, 3, 0);
        cluster.run(1s);
        const HostId leader = *cluster.leader();
        for (const auto& other : cluster.hosts())
            cluster.network().partition(leader, other);
        Error error;
        cluster.group(leader).propose("x", cluster.hostNow(leader),
            [&](const Expected<std::string>& result) { error = result ? Error {} : result.error(); });
        cluster.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), codeOf(error));
    }

    // Guards against a host without a disk that votes.
    void refusesVoterWithoutStore()
    {
        DigestMachine machine;
        LogGroupSettings settings;
        settings.group = "log";
        settings.self = HostId("a");
        settings.initialMembers = { { HostId("a"), true } };
        const auto group = LogGroup::open(settings, nullptr, machine, TimePoint(1s));
        CPPUNIT_ASSERT(!group && group.error().code == ErrorCode::InvalidArgument);
    }

    // Guards against completions that run before the change is committed, or never.
    void completesMemberChanges()
    {
        LogCluster cluster(4, 3, 1);
        cluster.run(1s);
        const HostId leader = *cluster.leader();
        const HostId other = leader == HostId("a") ? HostId("b") : HostId("a");
        std::vector<std::string> outcomes;
        const auto recordResult
            = [&](const Expected<void>& result) { outcomes.push_back(result ? "done" : codeOf(result.error())); };
        cluster.group(leader).removeMember(other, cluster.hostNow(leader), recordResult);
        CPPUNIT_ASSERT(outcomes.empty());
        cluster.run(500ms);
        cluster.group(leader).addMember(other, true, cluster.hostNow(leader), recordResult);
        cluster.run(2s);
        cluster.group(leader).promote(HostId("d"), cluster.hostNow(leader), recordResult);
        cluster.group(leader).removeMember(HostId("zz"), cluster.hostNow(leader), recordResult);
        const std::vector<std::string> expected { "done", "done", "invalid_argument", "not_found" };
        CPPUNIT_ASSERT(outcomes == expected);
        CPPUNIT_ASSERT(cluster.group(other).mayVote());
    }

    // Guards against one sync per command.
    void gathersWritesWhileOneIsOutstanding()
    {
        LogCluster cluster(5, 1, 0);
        cluster.run(200ms);
        LogGroup& group = cluster.group(HostId("a"));
        group.propose("one", cluster.hostNow(HostId("a")), [](const auto&) {});
        const auto first = group.popWriteBatch();
        CPPUNIT_ASSERT(first && first->entries.size() == 1);
        for (int i = 0; i < 9; ++i)
            group.propose("more", cluster.hostNow(HostId("a")), [](const auto&) {});
        CPPUNIT_ASSERT(!group.popWriteBatch());
        group.onWriteCompleted(group.performWrite(*first), cluster.hostNow(HostId("a")));
        CPPUNIT_ASSERT_EQUAL(size_t(9), group.popWriteBatch()->entries.size());
    }

    // Opens the only member of a group on this disk, and returns what its store has recovered in `recoveredBytes`.
    static std::unique_ptr<LogGroup> openOnly(
        const std::shared_ptr<FakeFileSystem>& files, StateMachine& machine, size_t& recoveredBytes, TimePoint now)
    {
        const HostId self("a");
        const RecordStoreSettings storeSettings {
            .cell = "cell", .group = "log", .host = self, .session = static_cast<SessionId>(1)
        };
        LogGroupSettings settings;
        settings.group = "log";
        settings.self = self;
        settings.initialMembers = { { self, true } };
        settings.snapshotInterval = 8192;
        recoveredBytes = 0;
        for (const auto& entry :
            (*RecordStore::open(std::make_unique<FakeDisk>(files), storeSettings))->releaseRecovered().entries)
            recoveredBytes += entry.payload.size();
        auto store = RecordStore::open(std::make_unique<FakeDisk>(files), storeSettings);
        return *LogGroup::open(settings, std::move(*store), machine, now);
    }

    // Guards against hosts that run out of memory, and again whenever they read their log at a start: hundreds of large
    // entries came before the number of entries called for a snapshot.
    void largeEntriesAreCompactedByBytes()
    {
        constexpr size_t entryBytes = size_t { 1 } << 20;
        constexpr size_t entries = 120;
        constexpr size_t mostBytes = size_t { 40 } << 20;
        const auto files = std::make_shared<FakeFileSystem>(1);
        TimePoint now(10s);
        size_t recoveredBytes = 0;
        std::string digest;
        {
            DigestMachine machine;
            const auto group = openOnly(files, machine, recoveredBytes, now);
            const auto write = [&] {
                while (const auto batch = group->popWriteBatch())
                    group->onWriteCompleted(group->performWrite(*batch), now);
            };
            for (; !group->isLeader(); now += 25ms) {
                group->tick(now);
                write();
            }
            size_t done = 0;
            for (size_t i = 0; i < entries; ++i) {
                group->propose(std::string(entryBytes, static_cast<char>('a' + i % 26)), now,
                    [&](const auto& result) { done += result ? 1 : 0; });
                write();
            }
            CPPUNIT_ASSERT_EQUAL(entries, done);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(group->logBytes()), group->logBytes() <= mostBytes);
            digest = machine.snapshot();
        }
        DigestMachine restored;
        const auto group = openOnly(files, restored, recoveredBytes, now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(recoveredBytes), recoveredBytes <= mostBytes);
        for (int i = 0; i < 100; ++i) {
            now += 25ms;
            group->tick(now);
            while (const auto batch = group->popWriteBatch())
                group->onWriteCompleted(group->performWrite(*batch), now);
        }
        CPPUNIT_ASSERT(digest == restored.snapshot());
    }

    // Guards against timeouts that leave a group without a leader for longer than the design allows. Simulated time:
    // 1 to 2 ms per hop, 2 ms per sync.
    void electsWithinOneSecond()
    {
        int late = 0;
        for (uint64_t seed = 1; seed <= 200; ++seed) {
            LogCluster cluster(seed, 3, 0);
            cluster.run(2s);
            cluster.crash(*cluster.leader());
            cluster.run(1s);
            late += cluster.leader() ? 0 : 1;
            cluster.run(1s);
            CPPUNIT_ASSERT(cluster.leader());
        }
        CPPUNIT_ASSERT_EQUAL(0, late);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogGroupTest);

} // namespace hickoryknot

#include <cppunit/extensions/HelperMacros.h>

#include "fakes/FakeDisk.h"
#include "log/RecordStore.h"

namespace hickoryknot {

class RecordStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordStoreTest);
    CPPUNIT_TEST(recoversWhatWasSynced);
    CPPUNIT_TEST(replacesConflictingSuffix);
    CPPUNIT_TEST(cutsTornBatchAtEveryLength);
    CPPUNIT_TEST(refusesDamageInTheMiddle);
    CPPUNIT_TEST(refusesMissingSegment);
    CPPUNIT_TEST(refusesFolderOfAnotherHost);
    CPPUNIT_TEST(acknowledgesNothingAfterFailure);
    CPPUNIT_TEST(compactsBelowTheOlderSnapshot);
    CPPUNIT_TEST(fallsBackToTheOlderSnapshot);
    CPPUNIT_TEST(restartsLogAfterInstalledSnapshot);
    CPPUNIT_TEST(survivesCrashAtAnyBatch);
    CPPUNIT_TEST(showsOlderCopy);
    CPPUNIT_TEST(renewsIdentity);
    CPPUNIT_TEST_SUITE_END();

    std::shared_ptr<FakeFileSystem> m_files = std::make_shared<FakeFileSystem>(1);
    uint64_t m_session { 100 };

    Expected<std::unique_ptr<RecordStore>> tryOpen(const std::string& host = "a", const std::string& cell = "cell")
    {
        return RecordStore::open(std::make_unique<FakeDisk>(m_files),
            { .cell = cell,
                .group = "log",
                .host = HostId(host),
                .session = static_cast<SessionId>(++m_session),
                .segmentBytes = 400 });
    }

    std::unique_ptr<RecordStore> open()
    {
        auto store = tryOpen();
        CPPUNIT_ASSERT_MESSAGE(store ? "" : store.error().message, store.has_value());
        return std::move(*store);
    }

    static WriteBatch batch(LogIndex first, LogIndex last, Term term, size_t bytes = 20)
    {
        WriteBatch batch;
        batch.hardState = HardState { .term = term, .votedFor = HostId("b"), .evidence = {} };
        for (LogIndex index = first; index <= last; ++index)
            batch.entries.push_back({ .index = index, .term = term, .payload = std::string(bytes, 'x') });
        return batch;
    }

    static Snapshot snapshotAt(LogIndex index, Term term)
    {
        return { .index = index,
            .term = term,
            .members = "members",
            .data = std::make_shared<const std::string>("state at " + std::to_string(index)) };
    }

    std::string onlySegment()
    {
        const auto names = *FakeDisk(m_files).list();
        const auto found
            = std::find_if(names.begin(), names.end(), [](const auto& name) { return name.starts_with("segment-"); });
        return *found;
    }

    void assertRefused(ErrorCode code, const std::string& wanted, const Expected<std::unique_ptr<RecordStore>>& store)
    {
        CPPUNIT_ASSERT(!store);
        CPPUNIT_ASSERT_EQUAL(std::string(errorCodeName(code)), std::string(errorCodeName(store.error().code)));
        CPPUNIT_ASSERT_MESSAGE(store.error().message, store.error().message.find(wanted) != std::string::npos);
    }

    // Guards against losing records, votes or evidence in a restart.
    void recoversWhatWasSynced()
    {
        auto written = batch(1, 3, 7);
        written.hardState->evidence
            = { { HostId("b"), { static_cast<StoreId>(5), 2, static_cast<SessionId>(6) }, 7, 3 } };
        CPPUNIT_ASSERT(open()->writeAndSync(written));
        m_files->crash();
        auto store = open();
        const auto recovered = store->releaseRecovered();
        CPPUNIT_ASSERT(recovered.hardState == *written.hardState);
        CPPUNIT_ASSERT(recovered.entries == written.entries);
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), store->identity().incarnation);
        CPPUNIT_ASSERT_EQUAL(LogIndex(3), store->lastIndex());
    }

    // Guards against replaced entries reappearing after a restart.
    void replacesConflictingSuffix()
    {
        auto store = open();
        CPPUNIT_ASSERT(store->writeAndSync(batch(1, 30, 1)));
        CPPUNIT_ASSERT(store->writeAndSync(batch(20, 21, 2)));
        const auto recovered = open()->releaseRecovered();
        CPPUNIT_ASSERT_EQUAL(size_t(21), recovered.entries.size());
        CPPUNIT_ASSERT_EQUAL(Term(2), recovered.entries.back().term);
        CPPUNIT_ASSERT_EQUAL(Term(1), recovered.entries[18].term);
    }

    // Guards against treating a torn batch as corruption or as complete.
    void cutsTornBatchAtEveryLength()
    {
        CPPUNIT_ASSERT(open()->writeAndSync(batch(1, 2, 1)));
        const std::string name = onlySegment();
        const size_t kept = FakeDisk(m_files).read(name)->size();
        CPPUNIT_ASSERT(open()->writeAndSync(batch(3, 4, 2)));
        const auto whole = m_files->copyDurable(1);
        for (size_t size = FakeDisk(whole).read(name)->size() - 1; size >= kept; --size) {
            m_files = whole->copyDurable(1);
            CPPUNIT_ASSERT(FakeDisk(m_files).truncate(name, size));
            const auto recovered = open()->releaseRecovered();
            CPPUNIT_ASSERT_EQUAL(size_t(2), recovered.entries.size());
            CPPUNIT_ASSERT_EQUAL(Term(1), recovered.hardState.term);
            CPPUNIT_ASSERT_EQUAL(uint64_t(size - kept), recovered.truncatedBytes);
            CPPUNIT_ASSERT(open()->writeAndSync(batch(3, 3, 3)));
            CPPUNIT_ASSERT_EQUAL(size_t(3), open()->releaseRecovered().entries.size());
        }
    }

    // Guards against damage before the last batch being truncated like a torn tail.
    void refusesDamageInTheMiddle()
    {
        auto store = open();
        CPPUNIT_ASSERT(store->writeAndSync(batch(1, 2, 1)));
        const size_t middle = FakeDisk(m_files).read(onlySegment())->size();
        CPPUNIT_ASSERT(store->writeAndSync(batch(3, 3, 1)));
        CPPUNIT_ASSERT(store->writeAndSync(batch(4, 4, 1)));
        for (size_t offset = 0; offset < middle; offset += 7) {
            m_files->corruptByte(onlySegment(), offset);
            assertRefused(ErrorCode::Corrupt, "offset", tryOpen());
            m_files->corruptByte(onlySegment(), offset);
        }
        // A failed open must not change the folder.
        CPPUNIT_ASSERT_EQUAL(size_t(4), open()->releaseRecovered().entries.size());
    }

    // Guards against accepting a log with a missing segment file.
    void refusesMissingSegment()
    {
        auto store = open();
        for (LogIndex index = 1; index <= 30; ++index)
            CPPUNIT_ASSERT(store->writeAndSync(batch(index, index, 1)));
        CPPUNIT_ASSERT(FakeDisk(m_files).remove("segment-0000000000000002.log"));
        assertRefused(ErrorCode::Corrupt, "segment-0000000000000002.log", tryOpen());
    }

    // Guards against using the data folder of another host.
    void refusesFolderOfAnotherHost()
    {
        CPPUNIT_ASSERT(open()->writeAndSync(batch(1, 1, 1)));
        assertRefused(ErrorCode::Conflict, "belongs to cell/log/a", tryOpen("b"));
        assertRefused(ErrorCode::Conflict, "belongs to cell/log/a", tryOpen("a", "other"));
        m_files->corruptByte("identity.json", 30);
        assertRefused(ErrorCode::Corrupt, "identity.json", tryOpen());
    }

    // Guards against acknowledging after a failed sync, after which the operating system may have dropped the pages.
    void acknowledgesNothingAfterFailure()
    {
        for (bool FakeFileSystem::*fault : { &FakeFileSystem::isSyncFailing, &FakeFileSystem::isFull }) {
            auto store = open();
            (*m_files).*fault = true;
            CPPUNIT_ASSERT(store->write(batch(1, 1, 1)).error.has_value());
            (*m_files).*fault = false;
            const auto later = store->writeAndSync(batch(1, 1, 1));
            CPPUNIT_ASSERT(!later && later.error().code == ErrorCode::Storage);
            CPPUNIT_ASSERT(store->failure().has_value());
        }
        CPPUNIT_ASSERT(open()->writeAndSync(batch(1, 1, 1)));
    }

    // Guards against a log that grows forever or loses entries that the older snapshot needs.
    void compactsBelowTheOlderSnapshot()
    {
        auto store = open();
        for (LogIndex index = 1; index <= 60; ++index) {
            auto next = batch(index, index, 1);
            if (index % 20 == 0)
                next.snapshot = snapshotAt(index, 1);
            CPPUNIT_ASSERT(store->writeAndSync(next));
        }
        CPPUNIT_ASSERT(onlySegment() > "segment-0000000000000003.log");
        const auto recovered = open()->releaseRecovered();
        CPPUNIT_ASSERT_EQUAL(LogIndex(60), recovered.snapshot->index);
        CPPUNIT_ASSERT_EQUAL(std::string("state at 60"), *recovered.snapshot->data);
        CPPUNIT_ASSERT(recovered.entries.empty());
    }

    // Guards against one damaged snapshot file making a host unusable.
    void fallsBackToTheOlderSnapshot()
    {
        compactsBelowTheOlderSnapshot();
        m_files->corruptByte("snapshot-00000000000000000060.snap", 60);
        auto recovered = open()->releaseRecovered();
        CPPUNIT_ASSERT_EQUAL(LogIndex(40), recovered.snapshot->index);
        CPPUNIT_ASSERT_EQUAL(size_t(20), recovered.entries.size());
        CPPUNIT_ASSERT_EQUAL(size_t(1), recovered.damagedSnapshots.size());
        m_files->corruptByte("snapshot-00000000000000000040.snap", 60);
        assertRefused(ErrorCode::Corrupt, "later than the newest sound snapshot", tryOpen());
    }

    // Guards against old entries reappearing after a snapshot from the leader.
    void restartsLogAfterInstalledSnapshot()
    {
        auto store = open();
        CPPUNIT_ASSERT(store->writeAndSync(batch(1, 9, 1)));
        auto installed = batch(51, 52, 3);
        installed.snapshot = snapshotAt(50, 2);
        installed.isLogReset = true;
        CPPUNIT_ASSERT(store->writeAndSync(installed));
        const auto recovered = open()->releaseRecovered();
        CPPUNIT_ASSERT_EQUAL(LogIndex(50), recovered.snapshot->index);
        CPPUNIT_ASSERT_EQUAL(LogIndex(51), recovered.entries.front().index);
        CPPUNIT_ASSERT_EQUAL(size_t(2), recovered.entries.size());
    }

    // Guards against any crash, also between snapshot and records, that loses synced data or makes the folder unusable.
    void survivesCrashAtAnyBatch()
    {
        for (uint64_t seed = 0; seed < 300; ++seed) {
            m_files = std::make_shared<FakeFileSystem>(seed);
            pcg32 random(seed);
            LogIndex synced = 0;
            for (int round = 0; round < 6; ++round) {
                auto store = open();
                const auto recovered = store->releaseRecovered();
                CPPUNIT_ASSERT(store->lastIndex() >= synced);
                for (unsigned i = random(12); i; --i) {
                    auto next = batch(store->lastIndex() + 1, store->lastIndex() + 1 + random(3), 1, random(100));
                    if (random(4) == 0)
                        next.snapshot = snapshotAt(store->lastIndex(), 1);
                    CPPUNIT_ASSERT(store->writeAndSync(next));
                    synced = store->lastIndex();
                }
                // The last write is torn.
                m_files->isSyncFailing = true;
                auto torn = batch(store->lastIndex() + 1, store->lastIndex() + 2, 1);
                if (random(2))
                    torn.snapshot = snapshotAt(store->lastIndex(), 1);
                CPPUNIT_ASSERT(!store->writeAndSync(torn));
                m_files->isSyncFailing = false;
                m_files->crash();
            }
        }
    }

    // Guards against an older copy of a disk being indistinguishable from the newer one.
    void showsOlderCopy()
    {
        CPPUNIT_ASSERT(open()->writeAndSync(batch(1, 2, 1)));
        const auto copy = m_files->copyDurable(3);
        auto newer = open();
        CPPUNIT_ASSERT(newer->writeAndSync(batch(3, 5, 1)));
        const StoreIdentity identity = newer->identity();
        m_files = copy;
        auto older = open();
        CPPUNIT_ASSERT(older->identity().store == identity.store);
        CPPUNIT_ASSERT(older->identity().incarnation <= identity.incarnation);
        CPPUNIT_ASSERT(older->identity().session != identity.session);
        CPPUNIT_ASSERT_EQUAL(LogIndex(2), older->lastIndex());
    }

    // Guards against losing records or the new store id when the identity is renewed.
    void renewsIdentity()
    {
        auto store = open();
        CPPUNIT_ASSERT(store->writeAndSync(batch(1, 2, 1)));
        store = open();
        const StoreId old = store->identity().store;
        WriteBatch renewal;
        renewal.isIdentityRenewed = true;
        const auto result = store->write(renewal);
        CPPUNIT_ASSERT(result.identity.store != old);
        auto reopened = open();
        CPPUNIT_ASSERT(reopened->identity().store == result.identity.store);
        CPPUNIT_ASSERT_EQUAL(size_t(2), reopened->releaseRecovered().entries.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordStoreTest);

} // namespace hickoryknot

#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <thread>

#include "app/GroupRunner.h"
#include "app/SteadyTime.h"
#include "app/WorkQueueThread.h"
#include "consensus/DigestMachine.h"
#include "fakes/FakeDisk.h"

namespace hickoryknot {

class GroupRunnerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GroupRunnerTest);
    CPPUNIT_TEST(groupServesAgainOnceItsDiskHasSpace);
    CPPUNIT_TEST_SUITE_END();

    const HostId m_self { "a" };
    std::shared_ptr<FakeFileSystem> m_files { std::make_shared<FakeFileSystem>(1) };
    DigestMachine m_machine;
    WorkQueueThread m_storage { { .name = "storage", .ringCapacity = 64, .period = 1s }, [] {} };
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted; // By the storage thread.
    bool m_isLeader { false };
    std::unique_ptr<GroupRunner> m_runner;

    void open()
    {
        GroupRunner::Dependencies dependencies {
            .send = [](const HostId&, const std::string&, const std::string&) {},
            .postToControl =
                [this](std::function<void()> work) {
                    const std::lock_guard lock(m_mutex);
                    m_posted.push_back(std::move(work));
                },
            .leadershipChanged = [this](bool isLeader, uint64_t, TimePoint) { m_isLeader = isLeader; },
            .storage = m_storage,
            .openDisk = [this](const std::string&) -> Expected<std::unique_ptr<Disk>> {
                return std::unique_ptr<Disk>(std::make_unique<FakeDisk>(m_files));
            },
        };
        GroupRunnerSettings settings { .name = "group",
            .log = { .group = "group", .self = m_self, .initialMembers = { { m_self, true } }, .seed = 1 },
            .cell = "cell",
            .folder = "/fake" };
        settings.repairInterval = 20ms;
        auto runner = GroupRunner::open(settings, m_machine, std::move(dependencies), steadyNow());
        CPPUNIT_ASSERT(runner);
        m_runner = std::move(*runner);
        m_storage.start();
    }

    template <typename Condition> void runUntil(Condition isDone)
    {
        const TimePoint end = steadyNow() + 10s;
        while (!isDone()) {
            CPPUNIT_ASSERT_MESSAGE("took too long", steadyNow() < end);
            std::vector<std::function<void()>> posted;
            {
                const std::lock_guard lock(m_mutex);
                posted.swap(m_posted);
            }
            for (const auto& work : posted)
                work();
            m_runner->tick(steadyNow());
            std::this_thread::sleep_for(1ms);
        }
    }

    Expected<std::string> propose(const std::string& payload)
    {
        std::optional<Expected<std::string>> result;
        m_runner->propose(payload, steadyNow(), [&](const Expected<std::string>& outcome) { result = outcome; });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

public:
    void tearDown() override { m_storage.stop(); }

    // Guards against a host that never votes again after its disk was full for a moment. Once each host of a group has
    // had that, all changes are refused although all processes run.
    void groupServesAgainOnceItsDiskHasSpace()
    {
        open();
        runUntil([&] { return m_isLeader; });
        CPPUNIT_ASSERT(propose("one"));
        m_files->isFull = true;
        CPPUNIT_ASSERT(!propose("two"));
        CPPUNIT_ASSERT(m_runner->group().storageFailure());
        // Repairs fail while the disk is full.
        const TimePoint later = steadyNow() + 100ms;
        runUntil([&] { return steadyNow() > later; });
        CPPUNIT_ASSERT(m_runner->group().storageFailure());
        m_files->isFull = false;
        runUntil([&] { return m_isLeader; });
        CPPUNIT_ASSERT(propose("three"));
        CPPUNIT_ASSERT(!m_runner->group().storageFailure());

        // A restart finds what was acknowledged before and after.
        m_storage.stop();
        m_runner.reset();
        m_files->crash();
        const DigestMachine before = std::exchange(m_machine, {});
        const RecordStoreSettings settings {
            .cell = "cell", .group = "group", .host = m_self, .session = static_cast<SessionId>(3)
        };
        auto store = RecordStore::open(std::make_unique<FakeDisk>(m_files), settings);
        CPPUNIT_ASSERT(store);
        const auto recovered = (*store)->releaseRecovered();
        for (const auto& entry : recovered.entries) {
            if (entry.kind == EntryKind::Payload)
                m_machine.apply(entry.index, entry.payload);
        }
        CPPUNIT_ASSERT(m_machine.contains("one") && m_machine.contains("three"));
        CPPUNIT_ASSERT_EQUAL(before.digest(), m_machine.digest());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupRunnerTest);

} // namespace hickoryknot

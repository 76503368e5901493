#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <mutex>
#include <thread>

#include "consensus/RandomSchedule.h"

namespace hickoryknot {

namespace {

uint64_t environmentNumber(const char* name, uint64_t otherwise)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

class RandomScheduleTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RandomScheduleTest);
    CPPUNIT_TEST(promisesHoldUnderFaults);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two leaders in a term, lost or changed commands, differing state, stale reads and groups that stay
    // without a leader. HICKORYKNOT_SCHEDULES sets how many schedules run, HICKORYKNOT_SCHEDULE_SEED the first seed.
    void promisesHoldUnderFaults()
    {
        const uint64_t count = environmentNumber("HICKORYKNOT_SCHEDULES", 2000);
        const uint64_t first = environmentNumber("HICKORYKNOT_SCHEDULE_SEED", 1);
        std::atomic<uint64_t> next { first };
        std::atomic<uint64_t> acknowledged { 0 };
        std::mutex mutex;
        std::string failures;
        const auto work = [&] {
            for (uint64_t seed = next++; seed < first + count; seed = next++) {
                RandomSchedule schedule(seed);
                const auto failure = schedule.run();
                acknowledged += schedule.acknowledgedCount();
                if (!failure)
                    continue;
                const std::lock_guard lock(mutex);
                failures += "seed " + std::to_string(seed) + ": " + *failure + "\n";
            }
        };
        std::vector<std::thread> threads;
        for (int i = 0; i < 4; ++i)
            threads.emplace_back(work);
        for (auto& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
        CPPUNIT_ASSERT_MESSAGE("too few commands were acknowledged", acknowledged.load() > count * 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomScheduleTest);

} // namespace hickoryknot

#include <algorithm>
#include <array>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <mutex>
#include <thread>

#include "consensus/RandomSchedule.h"

namespace hickoryknot {

namespace {

uint64_t environmentNumber(const char* name, uint64_t defaultValue)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

} // namespace

class RandomScheduleTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RandomScheduleTest);
    CPPUNIT_TEST(regressionsStayFixed);
    CPPUNIT_TEST(invariantsHoldUnderFaults);
    CPPUNIT_TEST_SUITE_END();

    // Guards against regressions of faults that longer runs found.
    void regressionsStayFixed()
    {
        constexpr std::array<uint64_t, 4> seeds {
            2008138, 3006793, 5003719, // A host with a full disk was made a learner, then another voter lost its disk.
            3011049, // The host with the longest log was not in its own uncommitted member list and started no
                     // election.
        };
        for (const uint64_t seed : seeds) {
            const auto failure = RandomSchedule(seed).run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), failure.value_or(""));
        }
    }

    // Guards against two leaders in a term, lost or changed commands, differing state, stale reads and groups that stay
    // without a leader. HICKORYKNOT_SCHEDULES sets how many schedules run, HICKORYKNOT_SCHEDULE_SEED the first seed.
    void invariantsHoldUnderFaults()
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
        for (unsigned i = 0; i < std::max(4U, std::thread::hardware_concurrency()); ++i)
            threads.emplace_back(work);
        for (auto& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
        CPPUNIT_ASSERT_MESSAGE("too few commands were acknowledged", acknowledged.load() > count * 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomScheduleTest);

} // namespace hickoryknot

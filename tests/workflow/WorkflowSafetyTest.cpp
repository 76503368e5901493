#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>

#include "ClusterSimulation.h"

namespace hickoryknot::workflow {

namespace {

uint64_t environmentNumber(const char* name, uint64_t otherwise)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::stoull(text) : otherwise;
}

} // namespace

class WorkflowSafetyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkflowSafetyTest);
    CPPUNIT_TEST(promisesHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

    // Guards against tasks in two places, workers over capacity, starts before their turn or after their end, and
    // workflows that never end, while leaders change, workers restart, links are cut one way or both ways, and orders
    // are lost or carried out seconds late. SEEDS sets the number of runs, FIRST_SEED the first one.
    void promisesHoldUnderRandomFaults()
    {
        const uint64_t first = environmentNumber("FIRST_SEED", 1);
        const uint64_t count = environmentNumber("SEEDS", 30);
        constexpr int faultySteps = 12'000; // A minute.
        constexpr int faultFreeSteps = 24'000;
        size_t started = 0;
        for (uint64_t seed = first; seed < first + count; ++seed) {
            ClusterSimulation world(seed);
            run(world, seed, faultySteps);
            world.stopFaults();
            for (int i = 0; i < 20 && !world.unfinishedWorkflows().empty(); ++i)
                run(world, seed, faultFreeSteps / 20);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), world.unfinishedWorkflows());
            started += world.startedRuns();
        }
        // The runs must reach what they are meant to test.
        CPPUNIT_ASSERT(started > count * 50);
    }

    static void run(ClusterSimulation& world, uint64_t seed, int steps)
    {
        for (int step = 0; step < steps; ++step) {
            const auto violation = world.step();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed) + " step " + std::to_string(step), std::string(), violation);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkflowSafetyTest);

} // namespace hickoryknot::workflow

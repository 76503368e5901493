#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <string>

#include "ClusterWorld.h"
#include "FirstFitPlacer.h"
#include "scheduler/EnginePlacer.h"

namespace hickoryknot {

namespace {

uint64_t environmentNumber(const char* name, uint64_t otherwise)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::stoull(text) : otherwise;
}

} // namespace

class ClusterSafetyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClusterSafetyTest);
    CPPUNIT_TEST(promisesHoldUnderRandomFaults);
    CPPUNIT_TEST(promisesHoldWithThePlacementEngine);
    CPPUNIT_TEST(regressionsStayMended);
    CPPUNIT_TEST_SUITE_END();

    // Guards against tasks in two places, workers over capacity, second starts of what must not run twice, and jobs
    // that never end, while leaders change, hosts and workers pause, messages are lost or late, zones are cut off and
    // the table changes. SEEDS sets the number of runs, FIRST_SEED the first one.
    void promisesHoldUnderRandomFaults()
    {
        runSeeds(environmentNumber("FIRST_SEED", 1), environmentNumber("SEEDS", 20),
            [] { return std::make_unique<FirstFitPlacer>(); });
    }

    // Guards against the same with the engine that places in production, whose view could drift from the record.
    void promisesHoldWithThePlacementEngine()
    {
        runSeeds(environmentNumber("FIRST_SEED", 1), environmentNumber("SEEDS", 20), makeEngine);
    }

    // Guards against the return of faults that a longer run once found.
    void regressionsStayMended()
    {
        // A replaced leader acknowledged the end of a task that its successor had started.
        runSeeds(283, 1, makeEngine);
        // A replaced leader sent the start of an assignment again whose end its successor had recorded.
        runSeeds(935, 1, makeEngine);
        // The cell took a zone's jobs while leases granted before a change of the cut-off rule still ran.
        runSeeds(1592, 1, makeEngine);
        runSeeds(177, 1, [] { return std::make_unique<FirstFitPlacer>(); });
    }

    static std::unique_ptr<Placer> makeEngine() { return std::make_unique<EnginePlacer>(PlacementSettings {}); }

    static void runSeeds(uint64_t first, uint64_t count, const ZoneScheduler::PlacerFactory& factory)
    {
        size_t started = 0;
        size_t moved = 0;
        for (uint64_t seed = first; seed < first + count; ++seed) {
            ClusterWorld world(seed, {}, factory);
            run(world, seed, 4000);
            moved += world.movedJobs();
            world.calm();
            // Longer than the wait for a silent worker's word and all leases together.
            for (int round = 0; round < 20 && !world.isIdle(); ++round)
                run(world, seed, 500);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), world.describeOpenJobs());
            started += world.startedTasks();
        }
        // The runs must reach what they are meant to test.
        CPPUNIT_ASSERT(started > count * 10);
        CPPUNIT_ASSERT(moved > 0 || count < 5);
    }

    static void run(ClusterWorld& world, uint64_t seed, int steps)
    {
        for (int step = 0; step < steps; ++step) {
            const auto violation = world.step();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed) + " step " + std::to_string(step), std::string(), violation);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterSafetyTest);

} // namespace hickoryknot

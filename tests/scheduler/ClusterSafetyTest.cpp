#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <string>

#include "FirstFitPlacer.h"
#include "SimulatedCluster.h"
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
    CPPUNIT_TEST(invariantsHoldUnderRandomFaults);
    CPPUNIT_TEST(invariantsHoldWithThePlacementEngine);
    CPPUNIT_TEST(regressionSeedsStayFixed);
    CPPUNIT_TEST_SUITE_END();

    // Guards against tasks that run on two workers, workers over capacity, second starts of tasks that are not
    // repeatable, and jobs that never end, while leaders change, hosts and workers pause, messages are lost or late,
    // zones are cut off and the table changes. SEEDS sets the number of runs, FIRST_SEED the first seed.
    void invariantsHoldUnderRandomFaults()
    {
        runSeeds(environmentNumber("FIRST_SEED", 1), environmentNumber("SEEDS", 20),
            [] { return std::make_unique<FirstFitPlacer>(); });
    }

    // Guards against the same failures with the production placement engine, whose state could diverge from the record.
    void invariantsHoldWithThePlacementEngine()
    {
        runSeeds(environmentNumber("FIRST_SEED", 1), environmentNumber("SEEDS", 20), makeEngine);
    }

    // Guards against regressions of faults that longer runs found.
    void regressionSeedsStayFixed()
    {
        // A replaced leader acknowledged the end of a task that its successor had started.
        runSeeds(283, 1, makeEngine);
        // A replaced leader sent the start command of an assignment again after its successor had recorded the end.
        runSeeds(935, 1, makeEngine);
        // The cell released a zone's jobs while leases granted before a change of the cut-off rule were still valid.
        runSeeds(1592, 1, makeEngine);
        runSeeds(177, 1, [] { return std::make_unique<FirstFitPlacer>(); });
    }

    static std::unique_ptr<Placer> makeEngine() { return std::make_unique<EnginePlacer>(PlacementSettings {}); }

    static void runSeeds(uint64_t first, uint64_t count, const ZoneScheduler::PlacerFactory& factory)
    {
        size_t started = 0;
        size_t moved = 0;
        for (uint64_t seed = first; seed < first + count; ++seed) {
            SimulatedCluster cluster(seed, {}, factory);
            run(cluster, seed, 4000);
            moved += cluster.movedJobs();
            cluster.stopFaults();
            // Longer than all leases plus the time to wait for the final report of a silent worker.
            for (int round = 0; round < 20 && !cluster.isIdle(); ++round)
                run(cluster, seed, 500);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), cluster.describeOpenJobs());
            started += cluster.startedTasks();
        }
        // The runs must start enough tasks and move jobs, otherwise they test nothing.
        CPPUNIT_ASSERT(started > count * 10);
        CPPUNIT_ASSERT(moved > 0 || count < 5);
    }

    static void run(SimulatedCluster& cluster, uint64_t seed, int steps)
    {
        for (int step = 0; step < steps; ++step) {
            const auto violation = cluster.step();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed) + " step " + std::to_string(step), std::string(), violation);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterSafetyTest);

} // namespace hickoryknot

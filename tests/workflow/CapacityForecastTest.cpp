#include <cppunit/extensions/HelperMacros.h>

#include "WorkflowSamples.h"
#include "workflow/CapacityForecast.h"
#include "workflow/TrackedRun.h"

namespace hickoryknot::workflow {

class CapacityForecastTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CapacityForecastTest);
    CPPUNIT_TEST(slotsFollowExpectedEnds);
    CPPUNIT_TEST(claimsAreNotPromisedAgain);
    CPPUNIT_TEST(resetDropsClaims);
    CPPUNIT_TEST(reportedProgressGoesBeforeTheEstimate);
    CPPUNIT_TEST(overrunningRunIsExpectedLater);
    CPPUNIT_TEST(longRunningTasksReleaseNothing);
    CPPUNIT_TEST(forecastIsCurrentUntilARunIsOverdue);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now { 100s };
    std::vector<TrackedRun> m_runs;
    CapacityForecast m_forecast;

    static Resources cores(int64_t count)
    {
        return { .millicores = Millicores(count * 1000), .mebibytes = {}, .accelerators = {} };
    }

    TrackedRun& addRun(int64_t coreCount, Duration estimate, Duration age)
    {
        TrackedRun run;
        run.phase = TrackedRun::Phase::Confirmed;
        run.spec = samples::step(1, coreCount * 1000);
        run.spec.perTask.mebibytes = Mebibytes(0);
        run.spec.estimatedRunTime = estimate;
        run.startedAt = run.lastProgressAt = m_now - age;
        m_runs.push_back(run);
        return m_runs.back();
    }

    void build()
    {
        std::vector<const TrackedRun*> runs;
        for (const auto& run : m_runs)
            runs.push_back(&run);
        m_forecast.build(runs, m_now);
    }

    std::vector<TimePoint> slots(const Resources& free, const Resources& size, uint32_t maxTasks = 10)
    {
        std::vector<TimePoint> found;
        m_forecast.findSlots(free, size, maxTasks, m_now, found);
        return found;
    }

    // Guards against capacity that is promised for now, again and again, while the run that holds it is overdue.
    void forecastIsCurrentUntilARunIsOverdue()
    {
        addRun(3, 4s, 1s);
        addRun(2, 1s, 0s);
        build();
        CPPUNIT_ASSERT(m_forecast.isCurrent(m_now + 900ms));
        CPPUNIT_ASSERT(!m_forecast.isCurrent(m_now + 1s));
    }

    // Guards against gangs that wait until workers are empty: a task fits as soon as enough of the runs have ended.
    void slotsFollowExpectedEnds()
    {
        addRun(3, 4s, 1s);
        addRun(2, 1s, 0s);
        build();
        const auto found = slots(cores(2), cores(4));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, found.size());
        CPPUNIT_ASSERT(m_now + 1s == found[0]);
        CPPUNIT_ASSERT(std::vector<TimePoint>({ m_now, m_now + 1s, m_now + 3s }) == slots(cores(2), cores(2)));
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, slots(cores(2), cores(2), 2).size());
    }

    // Guards against two gangs that wait for the same processors.
    void claimsAreNotPromisedAgain()
    {
        addRun(2, 1s, 0s);
        addRun(4, 2s, 0s);
        build();
        Resources free = cores(2);
        CPPUNIT_ASSERT(cores(1) == m_forecast.claim(free, cores(3), m_now + 1s));
        CPPUNIT_ASSERT(cores(1) == free);
        CPPUNIT_ASSERT(std::vector<TimePoint>({ m_now + 2s }) == slots(free, cores(4)));
    }

    void resetDropsClaims()
    {
        addRun(4, 1s, 0s);
        build();
        Resources free;
        m_forecast.claim(free, cores(4), m_now + 1s);
        CPPUNIT_ASSERT(slots({}, cores(4)).empty());
        m_forecast.reset();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, slots({}, cores(4)).size());
    }

    // Guards against reservations that rely on estimates which are far off.
    void reportedProgressGoesBeforeTheEstimate()
    {
        auto& run = addRun(4, 1s, 4s);
        run.percent = 50;
        run.lastProgressAt = m_now;
        CPPUNIT_ASSERT(m_now + 4s == expectedEnd(run, m_now));
    }

    void overrunningRunIsExpectedLater()
    {
        const auto& run = addRun(4, 1s, 4s);
        CPPUNIT_ASSERT(expectedEnd(run, m_now) > m_now);
    }

    void longRunningTasksReleaseNothing()
    {
        addRun(4, 1s, 0s).spec.isLongRunning = true;
        build();
        CPPUNIT_ASSERT(slots({}, cores(4)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityForecastTest);

} // namespace hickoryknot::workflow

#include "EngineDriver.h"

namespace hickoryknot {

class RowRulesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RowRulesTest);
    CPPUNIT_TEST(higherPriorityGoesFirst);
    CPPUNIT_TEST(equalPrioritiesShareByWeight);
    CPPUNIT_TEST(overdueRowGetsEveryFourthStart);
    CPPUNIT_TEST(overdueLargeTaskGetsRoomReserved);
    CPPUNIT_TEST(maxRunningHolds);
    CPPUNIT_TEST(hoursHoldAcrossMidnight);
    CPPUNIT_TEST(longestTasksStartFirstInOpenHours);
    CPPUNIT_TEST(quotaHoldsAndLetsOtherTeamsPass);
    CPPUNIT_TEST(teamsTakeTurns);
    CPPUNIT_TEST(urgentWorkStopsLeastWorkWithinBound);
    CPPUNIT_TEST(urgentWorkDoesNotStopProtectedWork);
    CPPUNIT_TEST(urgentGangStartsWhole);
    CPPUNIT_TEST(nothingIsStoppedForUrgentGangThatCannotStart);
    CPPUNIT_TEST(leavingWorkerGetsNothing);
    CPPUNIT_TEST_SUITE_END();

    using Driver = EngineDriver;

    // Guards against low rows that pass high ones.
    void higherPriorityGoesFirst()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("low", 10), Driver::row("high", 90) });
        driver.addWorker("w", Driver::resources(2, 32));
        driver.submit(driver.job("low", 2, Driver::resources(1, 1)));
        const JobHandle high = driver.submit(driver.job("high", 1, Driver::resources(1, 1)));
        CPPUNIT_ASSERT(driver.decide().at(0).job == high);
    }

    // Guards against a row with many jobs that crowds out its equals.
    void equalPrioritiesShareByWeight()
    {
        Driver driver;
        Row heavy = Driver::row("heavy");
        heavy.weight = 300;
        driver.engine.setTable({ Driver::row("light"), heavy });
        driver.addWorker("w", Driver::resources(40, 400));
        const JobHandle light = driver.submit(driver.job("light", 100, Driver::resources(1, 1)));
        const JobHandle other = driver.submit(driver.job("heavy", 100, Driver::resources(1, 1)));
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(10U, driver.runningOf(light));
        CPPUNIT_ASSERT_EQUAL(30U, driver.runningOf(other));
    }

    // Guards against a low row that starves for ever behind a high one.
    void overdueRowGetsEveryFourthStart()
    {
        Driver driver;
        Row low = Driver::row("low", 10);
        low.waitBound = 5s;
        driver.engine.setTable({ low, Driver::row("high", 90) });
        driver.addWorker("w", Driver::resources(1, 32));
        const JobHandle lowJob = driver.submit(driver.job("low", 100, Driver::resources(1, 1)));
        driver.submit(driver.job("high", 1000, Driver::resources(1, 1)));
        uint32_t lowStarts = 0;
        for (int i = 0; i < 240; ++i) {
            for (const Decision& decision : driver.decide())
                lowStarts += decision.job == lowJob;
            driver.now += 1s;
            driver.end(driver.running.begin()->first, TaskEndReason::Finished);
        }
        // Overdue 5 s after each of its starts, then at the next of its turns: one start in 5 to 9.
        CPPUNIT_ASSERT(lowStarts >= 240 / 9 && lowStarts <= 240 / 4);
    }

    // Guards against a large task that never fits because small ones take each freed processor.
    void overdueLargeTaskGetsRoomReserved()
    {
        Driver driver;
        Row large = Driver::row("large");
        large.waitBound = 5s;
        driver.engine.setTable({ large, Driver::row("small") });
        driver.addWorkers(2, Driver::resources(4, 32));
        const JobHandle small = driver.submit(driver.job("small", 1000, Driver::resources(1, 1), 8s));
        driver.decide();
        for (uint32_t task = 0; task < 8; task += 2)
            driver.end({ small.slot, task }, TaskEndReason::NeverStarted);
        driver.now += 4s;
        driver.decide();
        const JobHandle waiting = driver.submit(driver.job("large", 1, Driver::resources(4, 1)));
        for (int second = 0; second < 30 && !driver.runningOf(waiting); ++second) {
            driver.now += 1s;
            std::vector<Driver::TaskKey> due;
            for (const auto& [key, task] : driver.running) {
                if (driver.now - task.startedAt >= 8s)
                    due.push_back(key);
            }
            for (const auto& key : due)
                driver.end(key, TaskEndReason::Finished);
            driver.decide();
        }
        CPPUNIT_ASSERT_EQUAL(1U, driver.runningOf(waiting));
    }

    // Guards against more running tasks than the row allows.
    void maxRunningHolds()
    {
        Driver driver;
        Row row = Driver::row("batch");
        row.maxRunning = 3;
        driver.engine.setTable({ row });
        driver.addWorkers(2, Driver::resources(16, 32));
        const JobHandle job = driver.submit(driver.job("batch", 10, Driver::resources(1, 1)));
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, driver.decide().size());
        driver.end({ job.slot, 0 }, TaskEndReason::Finished);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, driver.decide().size());
        assertContains(driver.explain(job), { "Row batch runs 3 tasks", "maxRunning=3", "raised to at least 4" });
    }

    // Guards against night work that starts by day.
    void hoursHoldAcrossMidnight()
    {
        Driver driver;
        Row row = Driver::row("folios");
        row.hours = { 22 * 60, 6 * 60 };
        driver.engine.setTable({ row });
        driver.addWorkers(1, Driver::resources(16, 32));
        driver.wall = WallTime(std::chrono::hours(14)); // 14:00 at the start of the test's time.
        const JobHandle job = driver.submit(driver.job("folios", 1, Driver::resources(1, 1)));
        CPPUNIT_ASSERT(driver.decide().empty());
        assertContains(
            driver.explain(job), { "Row folios", "from 22:00 to 06:00 UTC", "column hours", "14:00", "8 h 0 min" });
        driver.now += std::chrono::hours(8);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, driver.decide().size());
        assertContains(driver.explain(job), { "until the hours of row folios opened at 22:00 UTC" });
    }

    // Guards against a long task that starts last and runs into the morning alone.
    void longestTasksStartFirstInOpenHours()
    {
        Driver driver;
        Row row = Driver::row("folios");
        row.hours = { 0, 6 * 60 };
        driver.engine.setTable({ row });
        driver.addWorker("w", Driver::resources(1, 32));
        driver.submit(driver.job("folios", 1, Driver::resources(1, 1), 60s));
        const JobHandle longest = driver.submit(driver.job("folios", 1, Driver::resources(1, 1), 600s));
        driver.submit(driver.job("folios", 1, Driver::resources(1, 1), 300s));
        CPPUNIT_ASSERT(driver.decide().at(0).job == longest);
    }

    // Guards against a team that passes its quota, and against one that blocks the others.
    void quotaHoldsAndLetsOtherTeamsPass()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch"), Driver::team("team-a", { Millicores(2000), {}, {} }) });
        driver.addWorkers(1, Driver::resources(16, 32));
        const JobHandle bounded = driver.submit(driver.job("batch", 10, Driver::resources(1, 1)));
        auto description = driver.job("batch", 4, Driver::resources(1, 1));
        description.team = TeamId("team-b");
        const JobHandle other = driver.submit(description);
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(2U, driver.runningOf(bounded));
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningOf(other));
        assertContains(
            driver.explain(bounded), { "Team row team-a", "quotaMillicores=2000", "2000 are used", "1000 more" });
        driver.end({ bounded.slot, 0 }, TaskEndReason::Finished);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, driver.decide().size());
    }

    // Guards against one team's long queue that holds up the other teams of the row.
    void teamsTakeTurns()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(1, Driver::resources(8, 32));
        driver.submit(driver.job("batch", 100, Driver::resources(1, 1)));
        auto description = driver.job("batch", 100, Driver::resources(1, 1));
        description.team = TeamId("team-b");
        const JobHandle other = driver.submit(description);
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningOf(other));
    }

    // Guards against urgent work that waits for long tasks, and against stopping more work than needed.
    void urgentWorkStopsLeastWorkWithinBound()
    {
        Driver driver;
        Row batch = Driver::row("batch");
        batch.isPreemptible = true;
        Row urgent = Driver::row("urgent");
        urgent.isUrgent = true;
        driver.engine.setTable({ batch, urgent });
        driver.addWorkers(2, Driver::resources(2, 32));
        driver.submit(driver.job("batch", 2, Driver::resources(2, 1), std::chrono::hours(5)));
        driver.decide();
        driver.now += 100s;
        driver.end(driver.running.begin()->first, TaskEndReason::Lost);
        driver.decide();
        const auto youngest = driver.running.begin()->first;
        driver.now += 50s;
        const JobHandle job = driver.submit(driver.job("urgent", 1, Driver::resources(1, 1)));
        const TimePoint submitted = driver.now;
        while (driver.stopping.empty() && driver.now < submitted + 8s) {
            driver.decide();
            driver.now += 50ms;
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, driver.stopping.size());
        CPPUNIT_ASSERT(driver.stopping.begin()->first == youngest);
        assertContains(driver.explain(job), { "Row urgent", "urgent=yes" });
        driver.stopPreempted();
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(1U, driver.runningOf(job));
        CPPUNIT_ASSERT(driver.now - submitted < 8s);
        const PlacementStatistics statistics = driver.engine.statistics();
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, statistics.preemptedTasks);
        CPPUNIT_ASSERT(statistics.lostWork >= 50s && statistics.lostWork < 60s);
    }

    // Guards against stopping work whose row does not permit it.
    void urgentWorkDoesNotStopProtectedWork()
    {
        Driver driver;
        Row urgent = Driver::row("urgent");
        urgent.isUrgent = true;
        driver.engine.setTable({ Driver::row("batch"), urgent });
        driver.addWorkers(1, Driver::resources(2, 32));
        driver.submit(driver.job("batch", 1, Driver::resources(2, 1)));
        driver.decide();
        const JobHandle job = driver.submit(driver.job("urgent", 1, Driver::resources(1, 1)));
        driver.now += 20s;
        CPPUNIT_ASSERT(driver.decide().empty());
        assertContains(driver.explain(job), { "preemptible=yes", "if there are any" });
    }

    // Guards against an urgent gang that starts in part.
    void urgentGangStartsWhole()
    {
        Driver driver;
        Row batch = Driver::row("batch");
        batch.isPreemptible = true;
        Row urgent = Driver::row("urgent");
        urgent.isUrgent = true;
        driver.engine.setTable({ batch, urgent });
        driver.addWorkers(6, Driver::resources(2, 32));
        driver.submit(driver.job("batch", 6, Driver::resources(2, 1), std::chrono::hours(5)));
        driver.decide();
        auto description = driver.job("urgent", 4, Driver::resources(2, 1));
        description.kind = JobKind::Gang;
        const JobHandle gang = driver.submit(description);
        driver.now += 3s;
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, driver.stopping.size());
        driver.end(driver.stopping.begin()->first, TaskEndReason::Preempted);
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(0U, driver.runningOf(gang));
        driver.stopPreempted();
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningOf(gang));
    }

    // Guards against work that is thrown away for a gang that does not get all it needs.
    void nothingIsStoppedForUrgentGangThatCannotStart()
    {
        Driver driver;
        Row batch = Driver::row("batch");
        batch.isPreemptible = true;
        Row urgent = Driver::row("urgent");
        urgent.isUrgent = true;
        driver.engine.setTable({ batch, Driver::row("firm", 90), urgent });
        driver.addWorkers(4, Driver::resources(2, 32));
        driver.submit(driver.job("firm", 1, Driver::resources(2, 1), 20s));
        driver.submit(driver.job("batch", 3, Driver::resources(2, 1), 20s));
        driver.decide();
        auto description = driver.job("urgent", 4, Driver::resources(2, 1));
        description.kind = JobKind::Gang;
        const JobHandle gang = driver.submit(description);
        driver.now += 5s;
        driver.decide();
        CPPUNIT_ASSERT(driver.stopping.empty());
        assertContains(driver.explain(gang), { "must start together", "reserved on 4 workers", "15 s" });
        driver.now += 15s;
        while (!driver.running.empty() && !driver.runningOf(gang)) {
            driver.end(driver.running.begin()->first, TaskEndReason::Finished);
            driver.decide();
        }
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningOf(gang));
    }

    // Guards against new tasks on a worker that is about to stop.
    void leavingWorkerGetsNothing()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorker("w", Driver::resources(4, 32), "r1", true);
        driver.submit(driver.job("batch", 1, Driver::resources(1, 1)));
        CPPUNIT_ASSERT(driver.decide().empty());
        driver.addWorker("w", Driver::resources(4, 32), "r1", false);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, driver.decide().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowRulesTest);

} // namespace hickoryknot

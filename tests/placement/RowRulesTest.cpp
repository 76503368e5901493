#include "EngineDriver.h"

namespace hickoryknot {

class RowRulesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RowRulesTest);
    CPPUNIT_TEST(higherPriorityGoesFirst);
    CPPUNIT_TEST(equalPrioritiesShareByWeight);
    CPPUNIT_TEST(overdueRowGetsEveryFourthStart);
    CPPUNIT_TEST(overdueLargeTaskGetsReservation);
    CPPUNIT_TEST(maxRunningIsNotExceeded);
    CPPUNIT_TEST(hoursApplyAcrossMidnight);
    CPPUNIT_TEST(longestTasksStartFirstInOpenHours);
    CPPUNIT_TEST(quotaLimitsOnlyItsTeam);
    CPPUNIT_TEST(teamsAreServedRoundRobin);
    CPPUNIT_TEST(urgentTaskPreemptsLeastWorkWithinBound);
    CPPUNIT_TEST(urgentTaskDoesNotPreemptNonPreemptibleTask);
    CPPUNIT_TEST(urgentGangStartsWhole);
    CPPUNIT_TEST(nothingIsPreemptedForUrgentGangThatCannotStart);
    CPPUNIT_TEST(leavingWorkerGetsNoTasks);
    CPPUNIT_TEST_SUITE_END();

    using Driver = EngineDriver;

    // A row of lower priority must not go ahead of one of higher priority.
    void higherPriorityGoesFirst()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("low", 10), Driver::row("high", 90) });
        driver.addWorker("w", Driver::resources(2, 32));
        driver.submit(driver.job("low", 2, Driver::resources(1, 1)));
        const JobHandle high = driver.submit(driver.job("high", 1, Driver::resources(1, 1)));
        CPPUNIT_ASSERT(driver.decide().at(0).job == high);
    }

    // A row with many jobs must not crowd out other rows of the same priority.
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
        CPPUNIT_ASSERT_EQUAL(10U, driver.runningTasks(light));
        CPPUNIT_ASSERT_EQUAL(30U, driver.runningTasks(other));
    }

    // A row of low priority must not starve behind one of higher priority.
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
        // The row is overdue 5 s after each of its starts and then gets the next overdue start: one start in 5 to 9.
        CPPUNIT_ASSERT(lowStarts >= 240 / 9 && lowStarts <= 240 / 4);
    }

    // A large task must not starve because small tasks take each processor that becomes free.
    void overdueLargeTaskGetsReservation()
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
        for (int second = 0; second < 30 && !driver.runningTasks(waiting); ++second) {
            driver.now += 1s;
            std::vector<Driver::TaskKey> endingTasks;
            for (const auto& [key, task] : driver.running) {
                if (driver.now - task.startedAt >= 8s)
                    endingTasks.push_back(key);
            }
            for (const auto& key : endingTasks)
                driver.end(key, TaskEndReason::Finished);
            driver.decide();
        }
        CPPUNIT_ASSERT_EQUAL(1U, driver.runningTasks(waiting));
    }

    // A row must not run more tasks than maxRunning.
    void maxRunningIsNotExceeded()
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

    // Tasks of a row with night hours must not start during the day.
    void hoursApplyAcrossMidnight()
    {
        Driver driver;
        Row row = Driver::row("folios");
        row.hours = { 22 * 60, 6 * 60 };
        driver.engine.setTable({ row });
        driver.addWorkers(1, Driver::resources(16, 32));
        driver.wall = WallTime(std::chrono::hours(14)); // 14:00 at the start of the test.
        const JobHandle job = driver.submit(driver.job("folios", 1, Driver::resources(1, 1)));
        CPPUNIT_ASSERT(driver.decide().empty());
        assertContains(
            driver.explain(job), { "Row folios", "from 22:00 to 06:00 UTC", "column hours", "14:00", "8 h 0 min" });
        driver.now += std::chrono::hours(8);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, driver.decide().size());
        assertContains(driver.explain(job), { "until the hours of row folios opened at 22:00 UTC" });
    }

    // A long task that starts last would run alone past the end of the row's hours.
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

    // A team must not exceed its quota, and a team at its quota must not block other teams.
    void quotaLimitsOnlyItsTeam()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch"), Driver::team("team-a", { Millicores(2000), {}, {} }) });
        driver.addWorkers(1, Driver::resources(16, 32));
        const JobHandle bounded = driver.submit(driver.job("batch", 10, Driver::resources(1, 1)));
        auto description = driver.job("batch", 4, Driver::resources(1, 1));
        description.team = TeamId("team-b");
        const JobHandle other = driver.submit(description);
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(2U, driver.runningTasks(bounded));
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningTasks(other));
        assertContains(
            driver.explain(bounded), { "Team row team-a", "quotaMillicores=2000", "2000 are used", "1000 more" });
        driver.end({ bounded.slot, 0 }, TaskEndReason::Finished);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, driver.decide().size());
    }

    // A team with a long queue must not block the other teams of the row.
    void teamsAreServedRoundRobin()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(1, Driver::resources(8, 32));
        driver.submit(driver.job("batch", 100, Driver::resources(1, 1)));
        auto description = driver.job("batch", 100, Driver::resources(1, 1));
        description.team = TeamId("team-b");
        const JobHandle other = driver.submit(description);
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningTasks(other));
    }

    // Urgent tasks must not wait for long-running tasks, and no more work than needed may be preempted.
    void urgentTaskPreemptsLeastWorkWithinBound()
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
        driver.endPreemptedTasks();
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(1U, driver.runningTasks(job));
        CPPUNIT_ASSERT(driver.now - submitted < 8s);
        const PlacementStatistics statistics = driver.engine.statistics();
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, statistics.preemptedTasks);
        CPPUNIT_ASSERT(statistics.lostWork >= 50s && statistics.lostWork < 60s);
    }

    // Tasks of rows that aren't preemptible must not be preempted.
    void urgentTaskDoesNotPreemptNonPreemptibleTask()
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

    // An urgent gang must not start only some of its tasks.
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
        CPPUNIT_ASSERT_EQUAL(0U, driver.runningTasks(gang));
        driver.endPreemptedTasks();
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningTasks(gang));
    }

    // Nothing must be preempted for a gang that can't get all the capacity it needs.
    void nothingIsPreemptedForUrgentGangThatCannotStart()
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
        while (!driver.running.empty() && !driver.runningTasks(gang)) {
            driver.end(driver.running.begin()->first, TaskEndReason::Finished);
            driver.decide();
        }
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningTasks(gang));
    }

    // A leaving worker must not get new tasks.
    void leavingWorkerGetsNoTasks()
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

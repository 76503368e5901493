#include "EngineDriver.h"

#include <set>

namespace hickoryknot {

class JobKindTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobKindTest);
    CPPUNIT_TEST(serviceSpreadsOverRacksThenWorkers);
    CPPUNIT_TEST(lostServiceTaskIsReplacedAtOnce);
    CPPUNIT_TEST(batchFillsWorkersBeforeOpeningNewOnes);
    CPPUNIT_TEST(batchLeavesAcceleratorReserveFree);
    CPPUNIT_TEST(shortBatchUsesAcceleratorReserveWhileNoneWaits);
    CPPUNIT_TEST(gangStartsWholeOrNotAtAll);
    CPPUNIT_TEST(gangIsNotStarvedBySmallTasks);
    CPPUNIT_TEST(twoGangsLargerThanHalfTheCellBothRun);
    CPPUNIT_TEST(shortTasksBackfillReservedCapacity);
    CPPUNIT_TEST(gangThatLosesMemberRestartsTogether);
    CPPUNIT_TEST(partlyAdoptedGangIsRestarted);
    CPPUNIT_TEST(adoptedTaskAllocatesCapacityBeforeItsWorkerIsKnown);
    CPPUNIT_TEST(notRepeatableTaskNeverStartsTwice);
    CPPUNIT_TEST_SUITE_END();

    using Driver = EngineDriver;

    // The loss of one rack must not stop a whole service.
    void serviceSpreadsOverRacksThenWorkers()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("web") });
        driver.addWorkers(8, Driver::resources(16, 32), 2);
        auto description = driver.job("web", 8, Driver::resources(1, 1));
        description.kind = JobKind::Service;
        driver.submit(description);
        std::vector<std::string> order;
        for (const Decision& decision : driver.decide())
            order.push_back(decision.worker.value());
        std::set<std::string> firstRacks;
        for (int i = 0; i < 4; ++i)
            firstRacks.insert(driver.racks[order[i]]);
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, firstRacks.size());
        CPPUNIT_ASSERT_EQUAL(size_t { 8 }, std::set(order.begin(), order.end()).size());
    }

    // A service task whose worker was lost must start before jobs that were queued earlier.
    void lostServiceTaskIsReplacedAtOnce()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("web") });
        driver.addWorkers(2, Driver::resources(2, 32), 1);
        auto description = driver.job("web", 2, Driver::resources(2, 1));
        description.kind = JobKind::Service;
        const JobHandle service = driver.submit(description);
        driver.decide();
        driver.submit(driver.job("web", 5, Driver::resources(2, 1)));
        driver.end({ service.slot, 0 }, TaskEndReason::Lost);
        const auto decisions = driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, decisions.size());
        CPPUNIT_ASSERT(decisions[0].job == service);
        driver.end({ service.slot, 1 }, TaskEndReason::Finished);
        CPPUNIT_ASSERT(driver.decide().at(0).job == service);
        // The same when all tasks are lost at once.
        driver.end({ service.slot, 0 }, TaskEndReason::Lost);
        driver.end({ service.slot, 1 }, TaskEndReason::Lost);
        const auto both = driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, both.size());
        CPPUNIT_ASSERT(both[0].job == service && both[1].job == service);
    }

    // Small tasks scattered over all workers would leave no worker with capacity for large tasks.
    void batchFillsWorkersBeforeOpeningNewOnes()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(10, Driver::resources(16, 32));
        driver.submit(driver.job("batch", 32, Driver::resources(1, 2)));
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, driver.used.size());
    }

    // Tasks without accelerators must not use up the processors next to free accelerators.
    void batchLeavesAcceleratorReserveFree()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorker("a-gpu", Driver::resources(16, 32, 4));
        driver.addWorker("b-plain", Driver::resources(16, 32));
        driver.submit(driver.job("batch", 40, Driver::resources(1, 1)));
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(int64_t { 16000 }, driver.used["b-plain"].millicores.count());
        CPPUNIT_ASSERT_EQUAL(int64_t { 8000 }, driver.used["a-gpu"].millicores.count());
        const JobHandle training = driver.submit(driver.job("batch", 4, Driver::resources(2, 2, 1)));
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningTasks(training));
    }

    // Short tasks may use the processors next to free accelerators, but no longer once a task that needs accelerators
    // is waiting.
    void shortBatchUsesAcceleratorReserveWhileNoneWaits()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorker("gpu", Driver::resources(16, 32, 4));
        const JobHandle work = driver.submit(driver.job("batch", 40, Driver::resources(1, 1), 10s));
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(16U, driver.runningTasks(work));
        auto description = driver.job("batch", 1, Driver::resources(4, 1, 1), 10s);
        description.team = TeamId("team-b");
        const JobHandle training = driver.submit(description);
        driver.decide();
        for (int i = 0; i < 4; ++i) {
            driver.end(driver.running.begin()->first, TaskEndReason::Finished);
            driver.decide();
        }
        CPPUNIT_ASSERT_EQUAL(12U, driver.runningTasks(work));
        CPPUNIT_ASSERT_EQUAL(1U, driver.runningTasks(training));
    }

    // A gang must not start only some of its tasks.
    void gangStartsWholeOrNotAtAll()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(4, Driver::resources(4, 32));
        const JobHandle filler = driver.submit(driver.job("batch", 1, Driver::resources(4, 1)));
        driver.decide();
        auto description = driver.job("batch", 4, Driver::resources(4, 1));
        description.kind = JobKind::Gang;
        const JobHandle gang = driver.submit(description);
        CPPUNIT_ASSERT(driver.decide().empty());
        driver.now += 10s;
        driver.end({ filler.slot, 0 }, TaskEndReason::Finished);
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, driver.decide().size());
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningTasks(gang));
    }

    // A gang must not starve because small tasks take each processor that becomes free.
    void gangIsNotStarvedBySmallTasks()
    {
        Driver driver;
        Row batch = Driver::row("batch");
        driver.engine.setTable({ batch });
        driver.addWorkers(8, Driver::resources(4, 32));
        driver.submit(driver.job("batch", 5000, Driver::resources(1, 1), 20s));
        driver.decide();
        auto description = driver.job("batch", 2, Driver::resources(4, 1), 20s);
        description.team = TeamId("team-b");
        description.kind = JobKind::Gang;
        const JobHandle gang = driver.submit(description);
        const TimePoint deadline = driver.now + 40s; // Twice the longest batch task.
        size_t ended = 0;
        while (!driver.runningTasks(gang) && driver.now < deadline) {
            driver.now += 1s;
            std::vector<Driver::TaskKey> endingTasks;
            for (const auto& [key, task] : driver.running) {
                if (driver.now - task.startedAt >= 20s || (ended < 16 && ended++ % 2))
                    endingTasks.push_back(key);
            }
            for (const auto& key : endingTasks)
                driver.end(key, TaskEndReason::Finished);
            driver.decide();
        }
        CPPUNIT_ASSERT_EQUAL(2U, driver.runningTasks(gang));
    }

    // Two gangs must not deadlock by each reserving a part of what the other needs.
    void twoGangsLargerThanHalfTheCellBothRun()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(8, Driver::resources(4, 32));
        const JobHandle filler = driver.submit(driver.job("batch", 8, Driver::resources(4, 1)));
        driver.decide();
        std::vector<JobHandle> gangs;
        for (int i = 0; i < 2; ++i) {
            auto description = driver.job("batch", 6, Driver::resources(4, 1));
            description.kind = JobKind::Gang;
            gangs.push_back(driver.submit(description));
        }
        driver.decide();
        for (uint32_t task = 0; task < 8; ++task) {
            driver.now += 1s;
            driver.end({ filler.slot, task }, TaskEndReason::Finished);
            driver.decide();
        }
        CPPUNIT_ASSERT_EQUAL(6U, driver.runningTasks(gangs[0]) + driver.runningTasks(gangs[1]));
        const JobHandle first = driver.runningTasks(gangs[0]) ? gangs[0] : gangs[1];
        for (uint32_t task = 0; task < 6; ++task)
            driver.end({ first.slot, task }, TaskEndReason::Finished);
        driver.now += 1s;
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(6U, driver.runningTasks(first == gangs[0] ? gangs[1] : gangs[0]));
    }

    // Reserved capacity must be backfilled with tasks that end before the reservation needs it.
    void shortTasksBackfillReservedCapacity()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(2, Driver::resources(4, 32));
        driver.submit(driver.job("batch", 1, Driver::resources(4, 1), 100s));
        driver.decide();
        auto description = driver.job("batch", 2, Driver::resources(4, 1));
        description.kind = JobKind::Gang;
        driver.submit(description);
        driver.decide();
        const JobHandle tooLong = driver.submit(driver.job("batch", 1, Driver::resources(1, 1), 200s));
        const JobHandle shortEnough = driver.submit(driver.job("batch", 1, Driver::resources(1, 1), 50s));
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(0U, driver.runningTasks(tooLong));
        CPPUNIT_ASSERT_EQUAL(1U, driver.runningTasks(shortEnough));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, driver.engine.statistics().backfilledTasks);
    }

    // A gang that lost a member must not continue without it.
    void gangThatLosesMemberRestartsTogether()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(4, Driver::resources(4, 32));
        auto description = driver.job("batch", 3, Driver::resources(4, 1));
        description.kind = JobKind::Gang;
        const JobHandle gang = driver.submit(description);
        driver.decide();
        driver.end({ gang.slot, 1 }, TaskEndReason::Lost);
        const auto stops = driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, stops.size());
        CPPUNIT_ASSERT(stops[0].kind == DecisionKind::Preempt);
        driver.endPreemptedTasks();
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, driver.decide().size());
    }

    // A gang that is only partly started after a change of leader must be restarted.
    void partlyAdoptedGangIsRestarted()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(4, Driver::resources(4, 32));
        auto description = driver.job("batch", 2, Driver::resources(4, 1));
        description.kind = JobKind::Gang;
        const JobHandle gang = driver.submit(description);
        driver.engine.adoptTask(gang, 0, WorkerId("w0"), driver.now);
        std::vector<Decision> decisions;
        driver.engine.decide(driver.now, {}, 10, decisions);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, decisions.size());
        CPPUNIT_ASSERT(decisions[0].kind == DecisionKind::Preempt);

        Driver whole;
        whole.engine.setTable({ Driver::row("batch") });
        whole.addWorkers(4, Driver::resources(4, 32));
        const JobHandle adopted = whole.submit(description);
        whole.engine.adoptTask(adopted, 0, WorkerId("w0"), whole.now);
        whole.engine.adoptTask(adopted, 1, WorkerId("w1"), whole.now);
        CPPUNIT_ASSERT(whole.decide().empty());
    }

    // A new leader must not allocate the capacity of adopted tasks whose worker hasn't registered yet.
    void adoptedTaskAllocatesCapacityBeforeItsWorkerIsKnown()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        const JobHandle adopted = driver.submit(driver.job("batch", 3, Driver::resources(4, 1)));
        driver.engine.adoptTask(adopted, 0, WorkerId("w0"), driver.now);
        // Task 1 ended before the change of leader.
        driver.engine.onTaskEnd(adopted, 1, TaskEndReason::Finished, 1s, driver.now);
        driver.addWorker("w0", Driver::resources(4, 32));
        CPPUNIT_ASSERT(driver.decide().empty());
        CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, driver.engine.freeCapacity().millicores.count());
        CPPUNIT_ASSERT_EQUAL(1U, driver.engine.progress(adopted).finished);
        CPPUNIT_ASSERT_EQUAL(1U, driver.engine.progress(adopted).queued);
    }

    // A task that is not repeatable must not be started again after it may have run.
    void notRepeatableTaskNeverStartsTwice()
    {
        Driver driver;
        Row matches = Driver::row("matches");
        matches.isRepeatable = false;
        driver.engine.setTable({ matches });
        driver.addWorkers(2, Driver::resources(4, 32));
        const JobHandle job = driver.submit(driver.job("matches", 4, Driver::resources(1, 1)));
        driver.decide();
        driver.end({ job.slot, 0 }, TaskEndReason::Lost);
        driver.end({ job.slot, 1 }, TaskEndReason::Failed);
        driver.end({ job.slot, 2 }, TaskEndReason::NeverStarted);
        const auto again = driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(2U, again[0].taskIndex);
        CPPUNIT_ASSERT_EQUAL(2U, driver.engine.progress(job).failed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobKindTest);

} // namespace hickoryknot

#include "EngineDriver.h"

#include <set>

namespace hickoryknot {

class JobKindTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobKindTest);
    CPPUNIT_TEST(serviceSpreadsOverRacksThenWorkers);
    CPPUNIT_TEST(lostServiceTaskIsReplacedAtOnce);
    CPPUNIT_TEST(batchFillsWorkersBeforeOpeningNewOnes);
    CPPUNIT_TEST(batchLeavesAcceleratorsAlone);
    CPPUNIT_TEST(shortBatchBorrowsWhileNoAcceleratorWorkWaits);
    CPPUNIT_TEST(gangStartsWholeOrNotAtAll);
    CPPUNIT_TEST(gangStartsThoughSmallTasksKeepArriving);
    CPPUNIT_TEST(twoGangsLargerThanHalfTheCellBothRun);
    CPPUNIT_TEST(shortWorkRunsOnReservedCapacity);
    CPPUNIT_TEST(gangThatLosesMemberStartsAgainTogether);
    CPPUNIT_TEST(partlyAdoptedGangBeginsAnew);
    CPPUNIT_TEST(adoptedTaskHoldsCapacityBeforeItsWorkerIsKnown);
    CPPUNIT_TEST(notRepeatableTaskNeverStartsTwice);
    CPPUNIT_TEST_SUITE_END();

    using Driver = EngineDriver;

    // Guards against a service that goes down with one rack.
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

    // Guards against a service task that waits behind older work after its worker died.
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
        // All at once as well.
        driver.end({ service.slot, 0 }, TaskEndReason::Lost);
        driver.end({ service.slot, 1 }, TaskEndReason::Lost);
        const auto both = driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, both.size());
        CPPUNIT_ASSERT(both[0].job == service && both[1].job == service);
    }

    // Guards against batch work that strews small tasks over all workers, so that large ones fit nowhere.
    void batchFillsWorkersBeforeOpeningNewOnes()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(10, Driver::resources(16, 32));
        driver.submit(driver.job("batch", 32, Driver::resources(1, 2)));
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, driver.used.size());
    }

    // Guards against processors next to free accelerators being used up by work that needs none.
    void batchLeavesAcceleratorsAlone()
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
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningOf(training));
    }

    // Guards against processors that stand idle for accelerators nobody asks for, and against lending them when one
    // does.
    void shortBatchBorrowsWhileNoAcceleratorWorkWaits()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorker("gpu", Driver::resources(16, 32, 4));
        const JobHandle work = driver.submit(driver.job("batch", 40, Driver::resources(1, 1), 10s));
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(16U, driver.runningOf(work));
        auto description = driver.job("batch", 1, Driver::resources(4, 1, 1), 10s);
        description.team = TeamId("team-b");
        const JobHandle training = driver.submit(description);
        driver.decide();
        for (int i = 0; i < 4; ++i) {
            driver.end(driver.running.begin()->first, TaskEndReason::Finished);
            driver.decide();
        }
        CPPUNIT_ASSERT_EQUAL(12U, driver.runningOf(work));
        CPPUNIT_ASSERT_EQUAL(1U, driver.runningOf(training));
    }

    // Guards against a gang that starts a part of its tasks.
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
        CPPUNIT_ASSERT_EQUAL(4U, driver.runningOf(gang));
    }

    // Guards against a gang that starves because each freed processor goes to the next small task.
    void gangStartsThoughSmallTasksKeepArriving()
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
        const TimePoint limit = driver.now + 40s; // Twice the longest batch task.
        size_t ended = 0;
        while (!driver.runningOf(gang) && driver.now < limit) {
            driver.now += 1s;
            std::vector<Driver::TaskKey> due;
            for (const auto& [key, task] : driver.running) {
                if (driver.now - task.startedAt >= 20s || (ended < 16 && ended++ % 2))
                    due.push_back(key);
            }
            for (const auto& key : due)
                driver.end(key, TaskEndReason::Finished);
            driver.decide();
        }
        CPPUNIT_ASSERT_EQUAL(2U, driver.runningOf(gang));
    }

    // Guards against a deadlock of two gangs that each hold a part of what the other needs.
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
        CPPUNIT_ASSERT_EQUAL(6U, driver.runningOf(gangs[0]) + driver.runningOf(gangs[1]));
        const JobHandle first = driver.runningOf(gangs[0]) ? gangs[0] : gangs[1];
        for (uint32_t task = 0; task < 6; ++task)
            driver.end({ first.slot, task }, TaskEndReason::Finished);
        driver.now += 1s;
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(6U, driver.runningOf(first == gangs[0] ? gangs[1] : gangs[0]));
    }

    // Guards against reserved capacity that stands idle although short work would be done in time.
    void shortWorkRunsOnReservedCapacity()
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
        CPPUNIT_ASSERT_EQUAL(0U, driver.runningOf(tooLong));
        CPPUNIT_ASSERT_EQUAL(1U, driver.runningOf(shortEnough));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, driver.engine.statistics().backfilledTasks);
    }

    // Guards against a gang that goes on with a member missing.
    void gangThatLosesMemberStartsAgainTogether()
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
        driver.stopPreempted();
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, driver.decide().size());
    }

    // Guards against a gang that stays half started after a change of leader.
    void partlyAdoptedGangBeginsAnew()
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

    // Guards against a new leader that gives away capacity of tasks whose worker has not reported yet.
    void adoptedTaskHoldsCapacityBeforeItsWorkerIsKnown()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        const JobHandle adopted = driver.submit(driver.job("batch", 3, Driver::resources(4, 1)));
        driver.engine.adoptTask(adopted, 0, WorkerId("w0"), driver.now);
        // Task 1 had ended before the change of leader.
        driver.engine.onTaskEnd(adopted, 1, TaskEndReason::Finished, 1s, driver.now);
        driver.addWorker("w0", Driver::resources(4, 32));
        CPPUNIT_ASSERT(driver.decide().empty());
        CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, driver.engine.freeCapacity().millicores.count());
        CPPUNIT_ASSERT_EQUAL(1U, driver.engine.progress(adopted).finished);
        CPPUNIT_ASSERT_EQUAL(1U, driver.engine.progress(adopted).queued);
    }

    // Guards against a second run of work that must not be doubled.
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

#include "EngineDriver.h"

namespace hickoryknot {

class FailureTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FailureTest);
    CPPUNIT_TEST(failingWorkerGetsOneProbeAtATime);
    CPPUNIT_TEST(recoveredWorkerLeavesProbation);
    CPPUNIT_TEST(failingJobDoesNotPutWorkersOnProbation);
    CPPUNIT_TEST(failingJobBacksOffAndFails);
    CPPUNIT_TEST(failedTaskIsRetriedOnAnotherWorker);
    CPPUNIT_TEST(reservationSurvivesLossOfItsWorker);
    CPPUNIT_TEST(cancelledJobIsNotQueuedAgain);
    CPPUNIT_TEST(wrongDeclaredSizesNeverOvercommit);
    CPPUNIT_TEST_SUITE_END();

    using Driver = EngineDriver;

    // Fails tasks of distinct jobs on one worker until it is on probation; returns the number of failures.
    static uint32_t failUntilProbation(Driver& driver)
    {
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorker("bad", Driver::resources(4, 32));
        uint32_t failures = 0;
        while (!driver.engine.isOnProbation(WorkerId("bad")) && failures < 20) {
            const JobHandle job = driver.submit(driver.job("batch", 1, Driver::resources(1, 1)));
            driver.decide();
            driver.now += 1s;
            driver.end({ job.slot, 0 }, TaskEndReason::Failed);
            driver.engine.cancelJob(job);
            ++failures;
        }
        return failures;
    }

    // A worker that fails tasks quickly is free again at once and would otherwise attract and fail the whole queue.
    void failingWorkerGetsOneProbeAtATime()
    {
        Driver driver;
        CPPUNIT_ASSERT(failUntilProbation(driver) <= 5);
        driver.submit(driver.job("batch", 50, Driver::resources(1, 1)));
        CPPUNIT_ASSERT(driver.decide().empty());
        uint32_t probes = 0;
        for (int second = 0; second < 120; ++second) {
            driver.now += 1s;
            probes += static_cast<uint32_t>(driver.decide().size());
            CPPUNIT_ASSERT(driver.running.size() <= 1);
            if (!driver.running.empty())
                driver.end(driver.running.begin()->first, TaskEndReason::Failed);
        }
        // The delay between probes doubles from 1 s to 60 s.
        CPPUNIT_ASSERT(probes >= 1 && probes <= 8);
    }

    // A worker on probation must get normal work again once its probes succeed.
    void recoveredWorkerLeavesProbation()
    {
        Driver driver;
        failUntilProbation(driver);
        driver.submit(driver.job("batch", 50, Driver::resources(1, 1)));
        for (int second = 0; second < 20 && driver.engine.isOnProbation(WorkerId("bad")); ++second) {
            driver.now += 1s;
            driver.decide();
            if (!driver.running.empty())
                driver.end(driver.running.begin()->first, TaskEndReason::Finished);
        }
        CPPUNIT_ASSERT(!driver.engine.isOnProbation(WorkerId("bad")));
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, driver.running.size());
    }

    // One failing job must not put healthy workers on probation.
    void failingJobDoesNotPutWorkersOnProbation()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(10, Driver::resources(4, 32));
        driver.submit(driver.job("batch", 200, Driver::resources(1, 1)));
        for (int round = 0; round < 100; ++round) {
            driver.decide();
            driver.now += 5s;
            while (!driver.running.empty())
                driver.end(driver.running.begin()->first, TaskEndReason::Failed);
        }
        for (uint32_t i = 0; i < 10; ++i)
            CPPUNIT_ASSERT(!driver.engine.isOnProbation(WorkerId("w" + std::to_string(i))));
    }

    // A failing job must be retried with a growing backoff and fail after maxTaskFailures.
    void failingJobBacksOffAndFails()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(10, Driver::resources(4, 32));
        const JobHandle job = driver.submit(driver.job("batch", 1, Driver::resources(1, 1)));
        std::vector<Duration> waits;
        TimePoint lastFailureAt = driver.now;
        for (int step = 0; step < 200 && !driver.engine.progress(job).isOver(); ++step) {
            if (!driver.decide().empty()) {
                waits.push_back(driver.now - lastFailureAt);
                driver.end({ job.slot, 0 }, TaskEndReason::Failed);
                lastFailureAt = driver.now;
                if (waits.size() == 3)
                    assertContains(driver.explain(job), { "failed 2 times in a row", "the next try waits another" });
            }
            driver.now += 100ms;
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, waits.size());
        CPPUNIT_ASSERT(waits[2] >= 750ms && waits[2] <= 1400ms);
        CPPUNIT_ASSERT(waits[3] >= 1500ms && waits[3] <= 2700ms);
        CPPUNIT_ASSERT_EQUAL(1U, driver.engine.progress(job).failed);
    }

    // The first retry must not go to the worker that may be the cause of the failure.
    void failedTaskIsRetriedOnAnotherWorker()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(2, Driver::resources(4, 32));
        driver.submit(driver.job("batch", 1, Driver::resources(1, 1)));
        const WorkerId first = driver.decide().at(0).worker;
        driver.end(driver.running.begin()->first, TaskEndReason::Failed);
        CPPUNIT_ASSERT(driver.decide().at(0).worker != first);
    }

    // A gang whose reservation includes a removed worker must get a new reservation instead of waiting without end.
    void reservationSurvivesLossOfItsWorker()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(3, Driver::resources(4, 32));
        const JobHandle filler = driver.submit(driver.job("batch", 3, Driver::resources(4, 1)));
        driver.decide();
        auto description = driver.job("batch", 2, Driver::resources(4, 1));
        description.kind = JobKind::Gang;
        const JobHandle gang = driver.submit(description);
        driver.decide();
        const std::string lost = driver.running[{ filler.slot, 0 }].worker;
        driver.end({ filler.slot, 0 }, TaskEndReason::Lost);
        driver.engine.removeWorker(WorkerId(lost));
        driver.now += 300ms;
        driver.decide();
        for (uint32_t task = 1; task < 3; ++task)
            driver.end({ filler.slot, task }, TaskEndReason::Finished);
        driver.now += 300ms;
        driver.decide();
        CPPUNIT_ASSERT_EQUAL(2U, driver.runningTasks(gang));
    }

    // Tasks of a cancelled job must not be queued again when they are lost or fail.
    void cancelledJobIsNotQueuedAgain()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(1, Driver::resources(2, 32));
        const JobHandle job = driver.submit(driver.job("batch", 5, Driver::resources(1, 1)));
        driver.decide();
        driver.engine.cancelJob(job);
        driver.end({ job.slot, 0 }, TaskEndReason::Lost);
        driver.end({ job.slot, 1 }, TaskEndReason::Failed);
        driver.now += 600s;
        CPPUNIT_ASSERT(driver.decide().empty());
        CPPUNIT_ASSERT(driver.engine.progress(job).isOver());
        driver.engine.removeJob(job);
        CPPUNIT_ASSERT(driver.engine.explain(job, driver.now, {}).find("not known") != std::string::npos);
    }

    // Measured sizes below the declared ones must not lead to overcommitted workers.
    void wrongDeclaredSizesNeverOvercommit()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(1, Driver::resources(4, 32));
        const JobHandle job = driver.submit(driver.job("batch", 50, Driver::resources(2, 1), 1s));
        for (int round = 0; round < 10; ++round) {
            driver.decide();
            CPPUNIT_ASSERT_EQUAL(size_t { 2 }, driver.running.size());
            const auto key = driver.running.begin()->first;
            driver.engine.onUsageReport(job, key.second, Driver::resources(0, 0), driver.now);
            driver.now += 50s;
            driver.end(key, TaskEndReason::Finished);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureTest);

} // namespace hickoryknot

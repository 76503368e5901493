#include "EngineDriver.h"

namespace hickoryknot {

class ExplainTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ExplainTest);
    CPPUNIT_TEST(tooLargeTaskIsRefusedAfterGracePeriod);
    CPPUNIT_TEST(tooLargeTaskWaitsForWorkersToRegister);
    CPPUNIT_TEST(quotaSmallerThanOneTaskIsRefused);
    CPPUNIT_TEST(loweredQuotaRefusesQueuedJob);
    CPPUNIT_TEST(gangLargerThanCellIsRefused);
    CPPUNIT_TEST(waitingJobIsExplainedWithNumbers);
    CPPUNIT_TEST(runningTaskIsExplainedWithWorkerAndTime);
    CPPUNIT_TEST_SUITE_END();

    using Driver = EngineDriver;

    // A task larger than every worker must be refused with a reason instead of waiting without end.
    void tooLargeTaskIsRefusedAfterGracePeriod()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(3, Driver::resources(16, 32));
        driver.now += 5s;
        const JobHandle early = driver.submit(driver.job("batch", 1, Driver::resources(17, 1)));
        CPPUNIT_ASSERT(driver.decide().empty());
        driver.now += 5s;
        const auto decisions = driver.decide();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, decisions.size());
        CPPUNIT_ASSERT(decisions[0].kind == DecisionKind::Refuse);
        CPPUNIT_ASSERT(decisions[0].job == early);
        assertContains(driver.explain(early), { "refused", "17 cores", "16 cores", "3 known workers" });
        const auto late = driver.engine.submitJob(driver.job("batch", 1, Driver::resources(1, 64)), driver.now);
        CPPUNIT_ASSERT(!late);
        assertContains(late.error().message, { "65536 MiB", "32768 MiB", "larger worker" });
    }

    // After a change of leader, a job must not be refused before the large workers have registered.
    void tooLargeTaskWaitsForWorkersToRegister()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.now += 60s;
        const JobHandle job = driver.submit(driver.job("batch", 1, Driver::resources(17, 1)));
        CPPUNIT_ASSERT(driver.decide().empty());
        assertContains(driver.explain(job), { "No worker has announced itself" });
        driver.addWorker("small", Driver::resources(16, 32));
        driver.now += 9s;
        CPPUNIT_ASSERT(driver.decide().empty());
        driver.addWorker("large", Driver::resources(32, 32));
        driver.now += 2s;
        const auto decisions = driver.decide();
        CPPUNIT_ASSERT_EQUAL(std::string("large"), decisions.at(0).worker.value());
    }

    // A job that can never start under its team's quota must be refused.
    void quotaSmallerThanOneTaskIsRefused()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch"), Driver::team("team-a", Driver::resources(2, 0)) });
        const auto result = driver.engine.submitJob(driver.job("batch", 1, Driver::resources(4, 1)), driver.now);
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(result.error().code == ErrorCode::InvalidArgument);
        assertContains(result.error().message, { "team row team-a", "4 cores", "2 cores", "quota is raised" });
        const auto unknown = driver.engine.submitJob(driver.job("nope", 1, Driver::resources(4, 1)), driver.now);
        assertContains(unknown.error().message, { "Row nope is not in the table" });
    }

    // A queued job that no longer fits its team's quota after a table change must be refused instead of waiting without
    // end.
    void loweredQuotaRefusesQueuedJob()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        const JobHandle job = driver.submit(driver.job("batch", 1, Driver::resources(4, 1)));
        driver.engine.setTable({ Driver::row("batch"), Driver::team("team-a", Driver::resources(2, 0)) });
        CPPUNIT_ASSERT(driver.decide().at(0).kind == DecisionKind::Refuse);
        assertContains(driver.explain(job), { "team row team-a", "4 cores", "2 cores" });
        CPPUNIT_ASSERT(driver.engine.progress(job).isRefused);
    }

    // A gang that can never start must not keep capacity reserved.
    void gangLargerThanCellIsRefused()
    {
        Driver driver;
        Row small = Driver::row("small");
        small.maxRunning = 2;
        driver.engine.setTable({ Driver::row("batch"), small });
        driver.addWorkers(3, Driver::resources(4, 32));
        driver.now += 10s;
        auto description = driver.job("batch", 4, Driver::resources(4, 1));
        description.kind = JobKind::Gang;
        const auto result = driver.engine.submitJob(description, driver.now);
        CPPUNIT_ASSERT(!result);
        assertContains(result.error().message, { "4 tasks", "room for 3", "3 known workers" });
        description.row = RowName("small");
        description.tasks = 3;
        assertContains(driver.engine.submitJob(description, driver.now).error().message,
            { "3 tasks", "row small", "maxRunning=2", "raised to 3" });
    }

    // The explanation of a waiting job must name what is missing, with the numbers.
    void waitingJobIsExplainedWithNumbers()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch", 20), Driver::row("high", 90) });
        driver.addWorkers(2, Driver::resources(4, 32));
        driver.submit(driver.job("high", 10, Driver::resources(3, 1)));
        driver.decide();
        const JobHandle job = driver.submit(driver.job("batch", 1, Driver::resources(2, 1)));
        driver.decide();
        assertContains(
            driver.explain(job), { "row batch", "needs 2 cores and 1024 MiB", "1 core", "waitBoundMs=3600000" });
        const JobHandle small = driver.submit(driver.job("batch", 1, Driver::resources(1, 1)));
        assertContains(
            driver.explain(small), { "Row high has priority=90", "row batch with priority=20", "weight=100" });
        auto description = driver.job("batch", 2, Driver::resources(4, 1));
        description.kind = JobKind::Gang;
        const JobHandle gang = driver.submit(description);
        driver.decide();
        assertContains(driver.explain(gang), { "must start together", "2 tasks of 4 cores", "2 workers", "60 s" });
    }

    // The explanation of a running task must say why it was placed on this worker at this time.
    void runningTaskIsExplainedWithWorkerAndTime()
    {
        Driver driver;
        driver.engine.setTable({ Driver::row("batch") });
        driver.addWorkers(4, Driver::resources(4, 32), 2);
        const JobHandle first = driver.submit(driver.job("batch", 4, Driver::resources(4, 1)));
        driver.decide();
        const JobHandle job = driver.submit(driver.job("batch", 1, Driver::resources(2, 1)));
        driver.decide();
        driver.now += 30s;
        driver.end({ first.slot, 0 }, TaskEndReason::Finished);
        driver.end({ first.slot, 1 }, TaskEndReason::Finished);
        driver.decide();
        driver.now += 5s;
        assertContains(driver.explain(job),
            { "Task 0 has run on worker w", "for 5 s", "needs 2 cores and 1024 MiB", "4 cores and 32768 MiB free",
                "placement=pack", "tightest fit of 2", "waited 30 s until a worker had enough free" });
        auto description = driver.job("batch", 1, Driver::resources(1, 1));
        description.kind = JobKind::Service;
        const JobHandle service = driver.submit(description);
        driver.decide();
        assertContains(
            driver.explain(service), { "spread over racks", "0 other tasks", "turn of row batch (priority=50" });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

} // namespace hickoryknot

#include "EngineDriver.h"

#include <pcg_random.hpp>

namespace hickoryknot {

class RandomisedTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RandomisedTest);
    CPPUNIT_TEST(invariantsHoldUnderFaults);
    CPPUNIT_TEST(sameCallsGiveSameDigest);
    CPPUNIT_TEST_SUITE_END();

    using Driver = EngineDriver;

    // A table that uses every column.
    static std::vector<Row> table()
    {
        Row web = Driver::row("web", 60);
        Row counters = Driver::row("counters", 80);
        counters.maxRunning = 40;
        Row batch = Driver::row("batch");
        batch.isPreemptible = true;
        batch.waitBound = 20s;
        Row spread = Driver::row("spread", 30);
        spread.placement = PlacementStyle::Spread;
        spread.waitBound = 30s;
        Row urgent = Driver::row("urgent", 40);
        urgent.isUrgent = true;
        return { web, counters, batch, spread, urgent, Driver::team("team-1", Driver::resources(40, 0)) };
    }

    static void submitRandomJob(Driver& driver, pcg32& random, std::vector<JobHandle>& jobs)
    {
        static const char* const rows[] = { "web", "counters", "batch", "spread", "urgent" };
        const uint32_t row = random(5);
        const auto need = Driver::resources(1 + random(6), 1 + random(12), random(6) ? 0 : 1 + random(2));
        auto description = driver.job(rows[row], 1 + random(12), need, Duration(1s) * (1 + random(60)));
        description.team = TeamId("team-" + std::to_string(random(4)));
        description.kind = row == 0 ? JobKind::Service : random(4) ? JobKind::Batch : JobKind::Gang;
        description.repeatable = random(8) != 0;
        const auto handle = driver.engine.submitJob(description, driver.now);
        if (!handle)
            return;
        driver.needs[handle->slot] = need;
        driver.handles[handle->slot] = *handle;
        jobs.push_back(*handle);
    }

    static void endRandomTasks(Driver& driver, pcg32& random)
    {
        const auto tasks = driver.running;
        for (const auto& [key, task] : tasks) {
            const bool isFailingWorker = task.worker == "w3";
            if (isFailingWorker ? random(2) == 0 : random(20) == 0)
                driver.end(key,
                    isFailingWorker ? TaskEndReason::Failed : static_cast<TaskEndReason>(random(20) ? 0 : random(5)));
        }
    }

    static void loseWorker(Driver& driver, const std::string& worker)
    {
        const auto tasks = driver.running;
        for (const auto& [key, task] : tasks) {
            if (task.worker == worker)
                driver.end(key, TaskEndReason::Lost);
        }
        driver.engine.removeWorker(WorkerId(worker));
    }

    static void checkGangs(Driver& driver, const std::vector<JobHandle>& jobs)
    {
        for (const JobHandle job : jobs) {
            const JobProgress progress = driver.engine.progress(job);
            CPPUNIT_ASSERT_EQUAL(progress.running, driver.runningTasks(job));
            driver.explain(job);
        }
    }

    static uint64_t runSchedule(uint64_t seed)
    {
        pcg32 random(seed);
        Driver driver({ .seed = seed });
        driver.engine.setTable(table());
        for (uint32_t i = 0; i < 24; ++i)
            driver.addWorker(
                "w" + std::to_string(i), Driver::resources(16, 32, i % 4 ? 0 : 4), "r" + std::to_string(i / 4));
        std::vector<JobHandle> jobs;
        for (int step = 0; step < 400; ++step) {
            driver.now += Duration(1s) * random(3) + Duration(random(1000000));
            if (random(2))
                submitRandomJob(driver, random, jobs);
            endRandomTasks(driver, random);
            if (random(3))
                driver.endPreemptedTasks();
            const std::string worker = "w" + std::to_string(random(24));
            if (random(25) == 0)
                loseWorker(driver, worker);
            if (random(10) == 0)
                driver.addWorker(worker, driver.capacities[worker], driver.racks[worker], random(6) == 0);
            if (random(10) == 0 && !jobs.empty())
                driver.engine.cancelJob(jobs[random(static_cast<uint32_t>(jobs.size()))]);
            driver.decide(8);
            if (step % 40 == 0)
                checkGangs(driver, jobs);
        }
        runToCompletion(driver, jobs);
        return driver.engine.digest();
    }

    // Once all workers are back and the services are cancelled, every remaining job must end.
    static void runToCompletion(Driver& driver, const std::vector<JobHandle>& jobs)
    {
        for (const auto& [worker, capacity] : driver.capacities)
            driver.addWorker(worker, capacity, driver.racks[worker]);
        for (const JobHandle job : jobs) {
            if (driver.explain(job).find("of row web ") != std::string::npos)
                driver.engine.cancelJob(job);
        }
        for (int step = 0; step < 3000 && !isOver(driver, jobs); ++step) {
            driver.now += 5s;
            const auto tasks = driver.running;
            for (const auto& [key, task] : tasks)
                driver.end(key, driver.stopping.contains(key) ? TaskEndReason::Preempted : TaskEndReason::Finished);
            driver.decide();
        }
        for (const JobHandle job : jobs) {
            if (!driver.engine.progress(job).isOver())
                CPPUNIT_FAIL(driver.explain(job));
        }
        for (const JobHandle job : jobs)
            driver.engine.removeJob(job);
        CPPUNIT_ASSERT(driver.engine.freeCapacity() == driver.engine.totalCapacity()
            || driver.engine.isOnProbation(WorkerId("w3")));
    }

    static bool isOver(Driver& driver, const std::vector<JobHandle>& jobs)
    {
        for (const JobHandle job : jobs) {
            if (!driver.engine.progress(job).isOver())
                return false;
        }
        return true;
    }

    // Under mixed faults, no worker is overcommitted, no task runs twice and no job is forgotten.
    void invariantsHoldUnderFaults()
    {
        for (uint64_t seed = 1; seed <= 40; ++seed)
            runSchedule(seed);
        // Regression test: two urgent gangs alternately reserved a part of what both needed and preempted tasks each
        // time.
        runSchedule(1930);
    }

    // Decisions must depend only on the calls, not on addresses or hash order.
    void sameCallsGiveSameDigest()
    {
        for (uint64_t seed = 101; seed <= 104; ++seed)
            CPPUNIT_ASSERT_EQUAL(runSchedule(seed), runSchedule(seed));
        CPPUNIT_ASSERT(runSchedule(101) != runSchedule(102));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomisedTest);

} // namespace hickoryknot

#include "EngineDriver.h"

#include <cstdlib>
#include <new>

namespace {

bool isCounting = false;
size_t allocations = 0;

} // namespace

// Counts all allocations of the program while `isCounting` is set.
void* operator new(size_t size)
{
    allocations += isCounting;
    if (void* memory = std::malloc(size ? size : 1))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t) noexcept { std::free(memory); }

namespace hickoryknot {

class AllocationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AllocationTest);
    CPPUNIT_TEST(decisionsAllocateNothingAfterWarmUp);
    CPPUNIT_TEST_SUITE_END();

    struct PlacedTask {
        JobHandle job;
        uint32_t task { 0 };
    };

    // Allocations during decide() would make its duration longer and unpredictable.
    void decisionsAllocateNothingAfterWarmUp()
    {
        EngineDriver driver;
        Row batch = EngineDriver::row("batch");
        batch.isPreemptible = true;
        batch.waitBound = 2s;
        Row urgent = EngineDriver::row("urgent");
        urgent.isUrgent = true;
        driver.engine.setTable({ batch, EngineDriver::row("web", 60), urgent });
        driver.addWorkers(100, EngineDriver::resources(16, 32));
        auto service = driver.job("web", 200, EngineDriver::resources(1, 2));
        service.kind = JobKind::Service;
        driver.submit(service);
        driver.submit(driver.job("batch", 50000, EngineDriver::resources(2, 3)));
        driver.submit(driver.job("batch", 50000, EngineDriver::resources(3, 2)));
        driver.submit(driver.job("urgent", 20000, EngineDriver::resources(1, 1), 1s));

        std::vector<PlacedTask> running;
        std::vector<Decision> decisions;
        running.reserve(2000);
        decisions.reserve(4096);
        uint64_t decisionCount = 0;
        for (int round = 0; round < 3000; ++round) {
            // By then each table has reached its final capacity.
            isCounting = round >= 1000;
            decisionCount += isCounting ? step(driver, running, decisions) : 0 * step(driver, running, decisions);
        }
        isCounting = false;
        CPPUNIT_ASSERT(decisionCount > 10000);
        CPPUNIT_ASSERT(driver.engine.statistics().preemptedTasks > 0);
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, allocations);
    }

    static uint64_t step(EngineDriver& driver, std::vector<PlacedTask>& running, std::vector<Decision>& decisions)
    {
        driver.now += 100ms;
        decisions.clear();
        driver.engine.decide(driver.now, driver.wall, 64, decisions);
        for (const Decision& decision : decisions) {
            if (decision.kind == DecisionKind::Place)
                running.push_back({ decision.job, decision.taskIndex });
            else
                endPreempted(driver, running, decision.job, decision.taskIndex);
        }
        // Ends some tasks of different ages.
        for (size_t i = 0; i < running.size(); i += 37) {
            driver.engine.onTaskEnd(running[i].job, running[i].task,
                i % 74 ? TaskEndReason::Finished : TaskEndReason::Lost, 1s, driver.now);
            running[i] = running.back();
            running.pop_back();
        }
        return decisions.size();
    }

    static void endPreempted(EngineDriver& driver, std::vector<PlacedTask>& running, JobHandle job, uint32_t task)
    {
        driver.engine.onTaskEnd(job, task, TaskEndReason::Preempted, 1s, driver.now);
        std::erase_if(running, [&](const PlacedTask& placed) { return placed.job == job && placed.task == task; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllocationTest);

} // namespace hickoryknot

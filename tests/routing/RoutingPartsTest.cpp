#include <cppunit/extensions/HelperMacros.h>
#include <set>

#include "routing/AdmissionQueue.h"
#include "routing/FailureScore.h"
#include "routing/RequestTable.h"
#include "routing/RetryBudget.h"
#include "routing/StrideScheduler.h"

namespace hickoryknot {

class RoutingPartsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RoutingPartsTest);
    CPPUNIT_TEST(retriesStayWithinPercentage);
    CPPUNIT_TEST(serverTimeFollowsWeights);
    CPPUNIT_TEST(lowPriorityIsNotStarved);
    CPPUNIT_TEST(lowPriorityShareIsServerTime);
    CPPUNIT_TEST(idleRowAccumulatesNoCredit);
    CPPUNIT_TEST(probationEndsAfterSuccesses);
    CPPUNIT_TEST(occasionalFailuresStartNoProbation);
    CPPUNIT_TEST(staleEntriesAreSkippedAndRemoved);
    CPPUNIT_TEST(handlesAreNotReused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against retries that multiply the load of failing servers.
    void retriesStayWithinPercentage()
    {
        RetryBudget budget(10);
        int retries = 0;
        for (int i = 0; i < 10000; ++i) {
            budget.recordFirstAttempt();
            retries += budget.tryConsume() ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries >= 1000 && retries <= 1003);

        // The saved budget is bounded, which limits the burst of retries.
        for (int i = 0; i < 100000; ++i)
            budget.recordFirstAttempt();
        int burst = 0;
        while (budget.tryConsume())
            ++burst;
        CPPUNIT_ASSERT_EQUAL(50, burst);
    }

    // Guards against a row of long requests getting more server time than its weight allows.
    void serverTimeFollowsWeights()
    {
        StrideScheduler scheduler(8);
        scheduler.setRow(0, 100, 50);
        scheduler.setRow(1, 300, 50);
        const std::vector<uint32_t> rows { 0, 1 };
        Duration time[2] {};
        for (int i = 0; i < 8000; ++i) {
            const uint32_t row = scheduler.pick(rows).value();
            const Duration cost = row ? 5ms : 20ms;
            scheduler.charge(row, cost, rows);
            time[row] += cost;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, static_cast<double>(time[1].count()) / time[0].count(), 0.05);
    }

    // Guards against starvation by a backlogged row of higher priority.
    void lowPriorityIsNotStarved()
    {
        StrideScheduler scheduler(8);
        scheduler.setRow(0, 100, 90);
        scheduler.setRow(1, 100, 10);
        scheduler.setRow(2, 100, 0);
        const std::vector<uint32_t> rows { 0, 1, 2 };
        int served[3] {};
        for (int i = 0; i < 1600; ++i) {
            const uint32_t row = scheduler.pick(rows).value();
            scheduler.charge(row, 1ms, rows);
            ++served[row];
        }
        CPPUNIT_ASSERT_EQUAL(1400, served[0]);
        CPPUNIT_ASSERT_EQUAL(100, served[1]);
        CPPUNIT_ASSERT_EQUAL(100, served[2]);
    }

    // Guards against a share of lower priorities that is counted in requests, so that long requests exceed it.
    void lowPriorityShareIsServerTime()
    {
        StrideScheduler scheduler(8);
        scheduler.setRow(0, 100, 90);
        scheduler.setRow(1, 100, 10);
        const std::vector<uint32_t> rows { 0, 1 };
        Duration time[2] {};
        for (int i = 0; i < 16000; ++i) {
            const uint32_t row = scheduler.pick(rows).value();
            const Duration cost = row ? 200ms : 10ms;
            scheduler.charge(row, cost, rows);
            time[row] += cost;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, static_cast<double>(time[0].count()) / time[1].count(), 0.2);
    }

    // Guards against a row that blocks the others after a long idle time.
    void idleRowAccumulatesNoCredit()
    {
        StrideScheduler scheduler(8);
        scheduler.setRow(0, 100, 50);
        scheduler.setRow(1, 100, 50);
        for (int i = 0; i < 1000; ++i)
            scheduler.charge(0, 1ms, std::vector<uint32_t> { 0 });
        scheduler.activateRow(1);
        const std::vector<uint32_t> rows { 0, 1 };
        int served = 0;
        for (int i = 0; i < 100; ++i) {
            const uint32_t row = scheduler.pick(rows).value();
            scheduler.charge(row, 1ms, rows);
            served += row == 1 ? 1 : 0;
        }
        CPPUNIT_ASSERT(served >= 49 && served <= 52);
    }

    // Guards against servers that stay on probation after they have recovered.
    void probationEndsAfterSuccesses()
    {
        FailureScore score;
        TimePoint now(100s);
        for (int i = 0; i < 4; ++i)
            score.recordFailure(1, now);
        CPPUNIT_ASSERT(score.isOnProbation());
        CPPUNIT_ASSERT(score.nextProbe() > now && score.nextProbe() <= now + 2s);
        for (int i = 0; i < 100; ++i)
            score.recordFailure(1, now);
        CPPUNIT_ASSERT(score.nextProbe() == now + 2s);
        for (int i = 0; i < 7; ++i)
            score.recordSuccess();
        CPPUNIT_ASSERT(!score.isOnProbation());
    }

    // Guards against probation of healthy servers because of occasional failures.
    void occasionalFailuresStartNoProbation()
    {
        FailureScore score;
        for (int i = 0; i < 1000; ++i) {
            if (i % 5)
                score.recordSuccess();
            else
                score.recordFailure(1, TimePoint(100s));
            CPPUNIT_ASSERT(!score.isOnProbation());
        }
    }

    // Guards against queues that grow while requests leave early, and against serving such requests.
    void staleEntriesAreSkippedAndRemoved()
    {
        AdmissionQueue queue;
        std::set<RequestHandle> waiting;
        const auto isWaiting = [&](RequestHandle handle) { return waiting.contains(handle); };
        for (uint64_t i = 1; i <= 1000; ++i) {
            const auto handle = static_cast<RequestHandle>(i);
            waiting.insert(handle);
            queue.pushBack(handle, isWaiting);
            if (i % 10) {
                waiting.erase(handle);
                queue.decrementSize();
            }
        }
        CPPUNIT_ASSERT_EQUAL(uint32_t(100), queue.size());
        for (uint64_t i = 10; i <= 1000; i += 10)
            CPPUNIT_ASSERT(queue.pop(isWaiting) == static_cast<RequestHandle>(i));
        CPPUNIT_ASSERT(!queue.pop(isWaiting));
    }

    // Guards against an event of an ended request that is applied to a later request.
    void handlesAreNotReused()
    {
        RequestTable table;
        const RequestHandle first = table.add().handle;
        table.remove(*table.find(first));
        const RequestHandle second = table.add().handle;
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT(!table.find(first) && table.find(second));
        CPPUNIT_ASSERT(!table.find(static_cast<RequestHandle>(77)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingPartsTest);

} // namespace hickoryknot

#include <cppunit/extensions/HelperMacros.h>

#include "workflow/ResendBudget.h"
#include "workflow/ResponseTimes.h"

namespace hickoryknot::workflow {

class ResponseTimesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ResponseTimesTest);
    CPPUNIT_TEST(overdueTimeFollowsTheResponses);
    CPPUNIT_TEST(overdueTimeHasBounds);
    CPPUNIT_TEST(fewResponsesDecideNothing);
    CPPUNIT_TEST(singleLossIsNoLossyCell);
    CPPUNIT_TEST(copiesFollowTheResponses);
    CPPUNIT_TEST_SUITE_END();

    ResponseTimes m_responseTimes;
    TimePoint m_now { 100s };

    // One second of requests, all of which take `duration`, and of which some stay unanswered.
    void observe(size_t responses, Duration duration, size_t unanswered = 0)
    {
        for (size_t i = 0; i < responses; ++i)
            m_responseTimes.addResponse(duration, m_now);
        for (size_t i = 0; i < unanswered; ++i)
            m_responseTimes.addUnanswered(m_now);
        m_now += 1s;
    }

    // Guards against copies of requests that are only slow, and against a wait of many times the usual response time.
    void overdueTimeFollowsTheResponses()
    {
        observe(200, 10ms);
        const Duration usual = m_responseTimes.overdueAfter(m_now);
        CPPUNIT_ASSERT(usual >= 20ms && usual <= 21ms);
        observe(200, 80ms);
        const Duration slow = m_responseTimes.overdueAfter(m_now);
        CPPUNIT_ASSERT(slow >= 160ms && slow <= 165ms);
    }

    void overdueTimeHasBounds()
    {
        observe(200, 100us);
        CPPUNIT_ASSERT(m_responseTimes.overdueAfter(m_now) >= 10ms);
        observe(200, 3s);
        CPPUNIT_ASSERT(m_responseTimes.overdueAfter(m_now) < 500ms);
    }

    // Guards against a threshold from one fast response.
    void fewResponsesDecideNothing()
    {
        const Duration initial = m_responseTimes.overdueAfter(m_now);
        observe(3, 1ms);
        CPPUNIT_ASSERT(initial == m_responseTimes.overdueAfter(m_now));
    }

    // Guards against more polls because of a single worker that has crashed.
    void singleLossIsNoLossyCell()
    {
        observe(50, 5ms, 3);
        CPPUNIT_ASSERT(!m_responseTimes.isLossy(m_now));
        observe(1000, 5ms, 10);
        CPPUNIT_ASSERT(!m_responseTimes.isLossy(m_now));
        observe(1000, 5ms, 100);
        CPPUNIT_ASSERT(m_responseTimes.isLossy(m_now));
        observe(1000, 5ms);
        CPPUNIT_ASSERT(!m_responseTimes.isLossy(m_now));
    }

    // Guards against copies that load a cell further that answers slowly or not at all.
    void copiesFollowTheResponses()
    {
        ResendBudget budget;
        while (budget.take(m_now)) { }
        size_t taken = 0;
        for (const TimePoint until = m_now + 10s; m_now < until; m_now += 10ms)
            taken += budget.take(m_now);
        // Without any response.
        CPPUNIT_ASSERT(taken >= 150 && taken <= 250);
        for (int i = 0; i < 100; ++i)
            budget.onResponse();
        for (taken = 0; budget.take(m_now); ++taken) { }
        CPPUNIT_ASSERT(taken >= 100 && taken <= 200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseTimesTest);

} // namespace hickoryknot::workflow

#include <cppunit/extensions/HelperMacros.h>

#include "control/LogBudget.h"

namespace hickoryknot {

using workflow::WorkflowId;

class LogBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogBudgetTest);
    CPPUNIT_TEST(workflowIsWrittenWholeOrNotAtAll);
    CPPUNIT_TEST(failuresAreWrittenBesideABurstOfWorkflows);
    CPPUNIT_TEST(workflowsAcceptedAtOnceLeaveLinesForFailures);
    CPPUNIT_TEST(linesAreBounded);
    CPPUNIT_TEST(lostLeadershipReturnsWhatWasPaid);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int linesPerWorkflow = 6;
    LogBudget m_budget;
    TimePoint m_now { 100s };

    static WorkflowId id(int number) { return WorkflowId("w" + std::to_string(number)); }

    // One second of the largest deployment on a day of trouble: 130 workflows and 180 failures and stops.
    struct Written {
        int partly { 0 };
        int whole { 0 };
        int essential { 0 };
        int total { 0 };
    };
    Written playSecond(int second)
    {
        constexpr int workflows = 130;
        constexpr int failures = 180;
        Written written;
        std::array<int, workflows> lines {};
        for (int i = 0; i < workflows; ++i)
            m_budget.begin(id(second * workflows + i));
        for (int line = 0; line < linesPerWorkflow; ++line) {
            m_now += Duration(1s) / linesPerWorkflow;
            m_budget.refill(m_now);
            for (int i = 0; i < workflows; ++i)
                lines.at(i) += m_budget.takeOrdinary(Event::TaskPlaced, id(second * workflows + i));
            for (int i = 0; i < failures / linesPerWorkflow; ++i)
                written.essential += m_budget.takeEssential(Event::TaskEnded);
        }
        for (int i = 0; i < workflows; ++i) {
            m_budget.end(id(second * workflows + i));
            written.whole += lines.at(i) == linesPerWorkflow;
            written.partly += lines.at(i) > 0 && lines.at(i) < linesPerWorkflow;
            written.total += lines.at(i);
        }
        written.total += written.essential;
        return written;
    }

    // Guards against a log from which no workflow can be followed: a rate limit dropped lines whatever they said.
    void workflowIsWrittenWholeOrNotAtAll()
    {
        m_budget.refill(m_now);
        int whole = 0;
        for (int second = 0; second < 30; ++second) {
            const Written written = playSecond(second);
            CPPUNIT_ASSERT_EQUAL(0, written.partly);
            whole += written.whole;
        }
        CPPUNIT_ASSERT(whole >= 30);
    }

    void failuresAreWrittenBesideABurstOfWorkflows()
    {
        m_budget.refill(m_now);
        for (int second = 0; second < 30; ++second)
            CPPUNIT_ASSERT_EQUAL(180, playSecond(second).essential);
    }

    // Guards against workflows whose later lines use up the budget: many are accepted before the first writes its
    // lines.
    void workflowsAcceptedAtOnceLeaveLinesForFailures()
    {
        constexpr int workflows = 1000;
        m_budget.refill(m_now);
        for (int i = 0; i < workflows; ++i)
            m_budget.begin(id(i));
        for (int i = 0; i < workflows * linesPerWorkflow; ++i)
            m_budget.takeOrdinary(Event::TaskPlaced, id(i % workflows));
        for (int i = 0; i < 180; ++i)
            CPPUNIT_ASSERT(m_budget.takeEssential(Event::TaskEnded));
    }

    // Guards against a budget that shrinks, and a list that grows, with each change of the leader.
    void lostLeadershipReturnsWhatWasPaid()
    {
        m_budget.refill(m_now);
        for (int leadership = 0; leadership < 100; ++leadership) {
            for (int i = 0; i < 10; ++i)
                m_budget.begin(id(leadership * 10 + i));
            CPPUNIT_ASSERT(m_budget.takeOrdinary(Event::TaskPlaced, id(leadership * 10)));
            m_budget.clear();
            CPPUNIT_ASSERT(!m_budget.takeOrdinary(Event::TaskPlaced, id(leadership * 10)));
        }
    }

    // Guards against a log that grows with the load, and against lines that vanish without a count.
    void linesAreBounded()
    {
        m_budget.refill(m_now);
        int total = 0;
        for (int i = 0; i < 100'000; ++i)
            total += m_budget.takeEssential(Event::TaskEnded);
        CPPUNIT_ASSERT(total <= 1200);
        CPPUNIT_ASSERT_EQUAL(static_cast<uint64_t>(100'000 - total), m_budget.drainLeftOut().at(Event::TaskEnded));
        CPPUNIT_ASSERT(!m_budget.hasLeftOut());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogBudgetTest);

} // namespace hickoryknot

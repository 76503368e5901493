#include <cppunit/extensions/HelperMacros.h>

#include "WorkflowSamples.h"
#include "workflow/AdmissionController.h"

namespace hickoryknot::workflow {

class AdmissionControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionControllerTest);
    CPPUNIT_TEST(idleClusterAdmitsEverything);
    CPPUNIT_TEST(burstIsRejectedImmediately);
    CPPUNIT_TEST(lessUrgentWorkDoesNotAffectAdmission);
    CPPUNIT_TEST(workThatCanWaitLongerDoesNotAffectAdmission);
    CPPUNIT_TEST(lateWorkOfTheSameLevelDoesNotAffectAdmission);
    CPPUNIT_TEST(retryDelaysAreJittered);
    CPPUNIT_TEST(longRunningAndTimedWorkIsAlwaysAdmitted);
    CPPUNIT_TEST_SUITE_END();

    AdmissionController m_admissionController { AdmissionSettings {} };
    AdmissionController::Load m_load;
    const TimePoint m_now { 100s };

    static WorkflowSpec spec()
    {
        WorkflowSpec result;
        result.steps = { samples::step(4) };
        return result;
    }

    // Adds queued work in core-seconds.
    void addQueuedWork(uint32_t priority, double coreSeconds)
    {
        m_load.push_back({ .level = priority, .latestStart = m_now, .work = coreSeconds * 1000 * 1e6 });
    }

    std::optional<AdmissionController::Rejection> checkAdmission(uint32_t priority, double jitter = 0)
    {
        return m_admissionController.checkAdmission(
            samples::queue("q", priority), spec(), m_load, Millicores(100'000), jitter, m_now);
    }

    // Guards against rejections while processors are idle. Counting the work of running tasks rejected 45 workflows
    // under ordinary load.
    void idleClusterAdmitsEverything()
    {
        CPPUNIT_ASSERT(!checkAdmission(0));
        addQueuedWork(0, 10);
        CPPUNIT_ASSERT(!checkAdmission(0));
    }

    // Guards against callers that wait for a result that comes too late. Burst of ten times the admissible work:
    // critical path 1 s, objective 3 s, 100 cores.
    void burstIsRejectedImmediately()
    {
        addQueuedWork(0, 1800);
        const auto rejection = checkAdmission(0);
        CPPUNIT_ASSERT(rejection);
        CPPUNIT_ASSERT(rejection->retryAfter >= 1s && rejection->retryAfter <= 8s);
    }

    // Guards against short workflows that are rejected although they would start before all of the waiting work: they
    // can wait for little, and long workflows of their queue that can wait for long were counted as ahead of them.
    void workThatCanWaitLongerDoesNotAffectAdmission()
    {
        m_load.push_back({ .level = 0, .latestStart = m_now + 20s, .work = 1800 * 1000 * 1e6 });
        CPPUNIT_ASSERT(!checkAdmission(0));
        m_load.push_back({ .level = 0, .latestStart = m_now + 1s, .work = 1800 * 1000 * 1e6 });
        CPPUNIT_ASSERT(checkAdmission(0));
    }

    // Guards against rejections that continue long after a burst, because its late remains were counted.
    void lateWorkOfTheSameLevelDoesNotAffectAdmission()
    {
        m_load.push_back({ .level = 1, .isLate = true, .latestStart = m_now - 1s, .work = 1800 * 1000 * 1e6 });
        CPPUNIT_ASSERT(!checkAdmission(1));
        CPPUNIT_ASSERT(checkAdmission(2));
    }

    // Guards against lookups that are rejected because batch work is queued.
    void lessUrgentWorkDoesNotAffectAdmission()
    {
        addQueuedWork(2, 5000);
        CPPUNIT_ASSERT(!checkAdmission(0));
        CPPUNIT_ASSERT(checkAdmission(2));
    }

    // Guards against rejected callers that all retry at the same time.
    void retryDelaysAreJittered()
    {
        addQueuedWork(0, 400);
        CPPUNIT_ASSERT(checkAdmission(0, 0.9)->retryAfter > checkAdmission(0, 0)->retryAfter);
    }

    // Guards against services and timed workflows that are rejected although they can wait.
    void longRunningAndTimedWorkIsAlwaysAdmitted()
    {
        addQueuedWork(0, 5000);
        auto longRunning = spec();
        longRunning.steps[0].isLongRunning = true;
        auto timed = spec();
        timed.repeatCount = 3;
        for (const auto& workflow : { longRunning, timed })
            CPPUNIT_ASSERT(!m_admissionController.checkAdmission(
                samples::queue(), workflow, m_load, Millicores(100'000), 0, m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControllerTest);

} // namespace hickoryknot::workflow

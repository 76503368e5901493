#include <cppunit/extensions/HelperMacros.h>

#include "WorkflowSamples.h"
#include "workflow/AdmissionController.h"

namespace hickoryknot::workflow {

class AdmissionControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionControllerTest);
    CPPUNIT_TEST(idleClusterRefusesNothing);
    CPPUNIT_TEST(burstIsRefusedAtOnce);
    CPPUNIT_TEST(urgentWorkIsNotRefusedForLessUrgent);
    CPPUNIT_TEST(returnsAreSpread);
    CPPUNIT_TEST(lastingWorkIsNeverRefused);
    CPPUNIT_TEST_SUITE_END();

    AdmissionController m_admissionController { AdmissionSettings {} };
    AdmissionController::Load m_load;

    static WorkflowSpec spec()
    {
        WorkflowSpec made;
        made.steps = { samples::step(4) };
        return made;
    }

    // Core-seconds of waiting work.
    void wait(uint32_t priority, double coreSeconds) { m_load.workByPriority[priority] = coreSeconds * 1000 * 1e6; }

    std::optional<Duration> checkAdmission(uint32_t priority, double spread = 0)
    {
        return m_admissionController.checkAdmission(
            samples::queue("q", priority), spec(), m_load, Millicores(100'000), spread);
    }

    // Guards against refusals while processors are idle: counting the work of running tasks refused 45 workflows on a
    // day of ordinary load.
    void idleClusterRefusesNothing()
    {
        CPPUNIT_ASSERT(!checkAdmission(0));
        wait(0, 10);
        CPPUNIT_ASSERT(!checkAdmission(0));
    }

    // Plays a burst of ten times what can wait: chain 1 s, objective 3 s, 100 cores. Guards against callers that are
    // kept waiting for an answer that comes too late.
    void burstIsRefusedAtOnce()
    {
        wait(0, 1800);
        const auto after = checkAdmission(0);
        CPPUNIT_ASSERT(after);
        CPPUNIT_ASSERT(*after >= 1s && *after <= 8s);
    }

    // Guards against lookups that are refused because batch work waits.
    void urgentWorkIsNotRefusedForLessUrgent()
    {
        wait(2, 5000);
        CPPUNIT_ASSERT(!checkAdmission(0));
        CPPUNIT_ASSERT(checkAdmission(2));
    }

    // Guards against refused callers that all come back in the same moment.
    void returnsAreSpread()
    {
        wait(0, 400);
        CPPUNIT_ASSERT(*checkAdmission(0, 0.9) > *checkAdmission(0, 0));
    }

    // Guards against services and scheduled work that are refused although they can wait.
    void lastingWorkIsNeverRefused()
    {
        wait(0, 5000);
        auto lasting = spec();
        lasting.steps[0].isLongRunning = true;
        auto timed = spec();
        timed.repeatCount = 3;
        for (const auto& patient : { lasting, timed })
            CPPUNIT_ASSERT(
                !m_admissionController.checkAdmission(samples::queue(), patient, m_load, Millicores(100'000), 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControllerTest);

} // namespace hickoryknot::workflow

#include <cppunit/extensions/HelperMacros.h>

#include "control/DecisionLog.h"
#include "report/PrometheusText.h"

namespace hickoryknot {

class DecisionLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecisionLogTest);
    CPPUNIT_TEST(cycleMetricsTellABusyProcessorFromAFullCluster);
    CPPUNIT_TEST_SUITE_END();

    // Guards against late work of which nobody can tell whether the leader's processor or the capacity was short.
    void cycleMetricsTellABusyProcessorFromAFullCluster()
    {
        DecisionLog log;
        log.onCycle(40ms, 12ms);
        const auto text = renderPrometheus(log.metrics());
        for (const char* name : { "hickoryknot_cycle_delay_seconds", "hickoryknot_cycle_seconds" })
            CPPUNIT_ASSERT_MESSAGE(name, text.find(std::string(name) + "_count 1\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

} // namespace hickoryknot

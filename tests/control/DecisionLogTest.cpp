#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <sstream>

#include "control/DecisionLog.h"
#include "report/PrometheusText.h"

namespace hickoryknot {

class DecisionLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecisionLogTest);
    CPPUNIT_TEST(cycleMetricsTellABusyProcessorFromAFullCluster);
    CPPUNIT_TEST(callsWithoutAKeyLeaveLinesForOthers);
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

    // Guards against a caller with a wrong key that fills the log and so hides refusals and failures.
    void callsWithoutAKeyLeaveLinesForOthers()
    {
        std::ostringstream lines;
        const auto previous = spdlog::default_logger();
        spdlog::set_default_logger(
            std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_mt>(lines)));
        DecisionLog log;
        for (int i = 0; i < 5000; ++i)
            log.onUnauthorisedCall(workflow::QueueName("q"), TimePoint(10s + i * 300us));
        log.onCancelled(workflow::WorkflowId("00000000000000a1"));
        log.tick(TimePoint(13s));
        spdlog::set_default_logger(previous);
        const auto text = lines.str();
        CPPUNIT_ASSERT_MESSAGE(text, std::count(text.begin(), text.end(), '\n') == 4);
        for (const char* calls : { R"("calls":"1")", R"("calls":"3334")", R"("calls":"1665")" })
            CPPUNIT_ASSERT_MESSAGE(text, text.find(calls) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

} // namespace hickoryknot

#include <cppunit/extensions/HelperMacros.h>

#include "control/OrganisationMetrics.h"
#include "report/PrometheusText.h"

namespace hickoryknot {

class OrganisationMetricsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrganisationMetricsTest);
    CPPUNIT_TEST(seriesAreLabelledAndBounded);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an operator who cannot see which organisation is at its limit, and against other metrics that are
    // lost with the largest table.
    void seriesAreLabelledAndBounded()
    {
        std::vector<workflow::OrganisationStatus> organisations;
        organisations.reserve(1024);
        for (int i = 0; i < 1024; ++i)
            organisations.push_back({ .name = workflow::OrganisationName("o" + std::to_string(i)),
                .used = { .millicores = Millicores(39'500) },
                .dominantFraction = i / 1024.0 });
        Metrics metrics;
        addOrganisationMetrics(metrics, organisations);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, metrics.droppedSeries());
        size_t series = 0;
        for (const auto& family : metrics.families())
            series += family.samples.size();
        CPPUNIT_ASSERT_EQUAL(size_t { 1001 }, series);
        const auto text = renderPrometheus(metrics);
        CPPUNIT_ASSERT(text.find("_processors{organisation=\"o1023\"} 39.5\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationMetricsTest);

} // namespace hickoryknot

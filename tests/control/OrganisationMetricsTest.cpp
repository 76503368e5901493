#include <cppunit/extensions/HelperMacros.h>

#include "control/OrganisationMetrics.h"
#include "report/PrometheusText.h"

namespace hickoryknot {

class OrganisationMetricsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrganisationMetricsTest);
    CPPUNIT_TEST(figuresHaveTheNameAsLabel);
    CPPUNIT_TEST(numberOfSeriesIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static workflow::OrganisationStatus status(const std::string& name, double fraction)
    {
        return { .name = workflow::OrganisationName(name),
            .used = { .millicores = Millicores(39'500) },
            .limit = { .millicores = Millicores(40'000) },
            .dominantFraction = fraction,
            .share = 0.25,
            .refusals = 7 };
    }

    // Guards against an operator who cannot see which organisation is at its limit.
    void figuresHaveTheNameAsLabel()
    {
        Metrics metrics;
        addOrganisationMetrics(metrics, { status("a", 0.5) });
        const auto text = renderPrometheus(metrics);
        for (const char* line : { "hickoryknot_organisation_processors{organisation=\"a\"} 39.5\n",
                 "hickoryknot_organisation_processor_limit{organisation=\"a\"} 40\n",
                 "hickoryknot_organisation_used_fraction{organisation=\"a\"} 0.5\n",
                 "hickoryknot_organisation_share{organisation=\"a\"} 0.25\n",
                 "hickoryknot_organisation_refusals{organisation=\"a\"} 7\n" })
            CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
    }

    // Guards against other metrics that are lost, and memory that is used, with the largest table.
    void numberOfSeriesIsBounded()
    {
        std::vector<workflow::OrganisationStatus> organisations;
        for (int i = 0; i < 1024; ++i)
            organisations.push_back(status("o" + std::to_string(i), i / 1024.0));
        Metrics metrics;
        addOrganisationMetrics(metrics, organisations);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, metrics.droppedSeries());
        size_t series = 0;
        for (const auto& family : metrics.families())
            series += family.samples.size();
        CPPUNIT_ASSERT(series <= 1001);
        CPPUNIT_ASSERT(renderPrometheus(metrics).find("\"o1023\"") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationMetricsTest);

} // namespace hickoryknot

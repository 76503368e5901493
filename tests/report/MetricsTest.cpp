#include <cppunit/extensions/HelperMacros.h>

#include "report/Metrics.h"
#include "report/PrometheusText.h"
#include "report/TextTable.h"

namespace hickoryknot {

class MetricsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(sameLabelsGiveSameHandle);
    CPPUNIT_TEST(seriesAreBounded);
    CPPUNIT_TEST(mergeAddsCountersAndLatencies);
    CPPUNIT_TEST(quantilesAreBucketBounds);
    CPPUNIT_TEST(prometheusTextIsValid);
    CPPUNIT_TEST(tableIsAligned);
    CPPUNIT_TEST_SUITE_END();

    // Guards against counts split over two series of the same name and labels.
    void sameLabelsGiveSameHandle()
    {
        Metrics metrics;
        const CounterId first = metrics.counter("requests_total", "Requests.", { { "row", "a" } });
        metrics.counter("requests_total", "Requests.", { { "row", "b" } });
        metrics.add(first, 2);
        metrics.add(metrics.counter("requests_total", "Requests.", { { "row", "a" } }));
        CPPUNIT_ASSERT_EQUAL(uint64_t(3), metrics.value(first));
    }

    // Guards against memory that grows with label values from external input.
    void seriesAreBounded()
    {
        Metrics metrics({ .maxSeries = 3 });
        for (int i = 0; i < 1000; ++i)
            metrics.add(metrics.counter("requests_total", "Requests.", { { "row", std::to_string(i) } }));
        CPPUNIT_ASSERT_EQUAL(uint64_t(997), metrics.droppedSeries());
        const CounterId overflow = metrics.counter("hickoryknot_overflow_total", "");
        CPPUNIT_ASSERT_EQUAL(uint64_t(997), metrics.value(overflow));
    }

    // Guards against lost counts when the metrics of several threads are merged.
    void mergeAddsCountersAndLatencies()
    {
        Metrics a;
        Metrics b;
        a.add(a.counter("x_total", "X."), 1);
        a.record(a.latency("t_seconds", "T."), 1ms);
        b.add(b.counter("y_total", "Y."), 5);
        b.add(b.counter("x_total", "X."), 2);
        b.set(b.gauge("g", "G."), 7);
        b.record(b.latency("t_seconds", "T."), 2ms);
        Metrics copy = a;
        copy.merge(b);
        CPPUNIT_ASSERT_EQUAL(uint64_t(3), copy.value(copy.counter("x_total", "X.")));
        CPPUNIT_ASSERT_EQUAL(uint64_t(5), copy.value(copy.counter("y_total", "Y.")));
        CPPUNIT_ASSERT_EQUAL(7.0, copy.value(copy.gauge("g", "G.")));
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), copy.count(copy.latency("t_seconds", "T.")));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), a.value(a.counter("x_total", "X.")));
    }

    // Guards against quantiles below the recorded values.
    void quantilesAreBucketBounds()
    {
        Metrics metrics;
        const LatencyId latency = metrics.latency("t_seconds", "T.");
        CPPUNIT_ASSERT(metrics.quantile(latency, 0.5) == 0us);
        for (int i = 0; i < 99; ++i)
            metrics.record(latency, 900us);
        metrics.record(latency, 40ms);
        CPPUNIT_ASSERT(metrics.quantile(latency, 0.5) == 1ms);
        CPPUNIT_ASSERT(metrics.quantile(latency, 0.99) == 1ms);
        CPPUNIT_ASSERT(metrics.quantile(latency, 1) >= 40ms && metrics.quantile(latency, 1) < 80ms);
        metrics.record(latency, 500s);
        CPPUNIT_ASSERT(metrics.quantile(latency, 1) == Duration::max());
    }

    // Guards against text that a Prometheus scraper rejects.
    void prometheusTextIsValid()
    {
        Metrics metrics;
        metrics.add(metrics.counter("b_total", "Two\nlines.", { { "row", "a\"b\\c\nd" } }), 4);
        metrics.set(metrics.gauge("a", "G."), 0.5);
        const LatencyId latency = metrics.latency("c_seconds", "T.", { { "row", "x" } });
        metrics.record(latency, 15us);
        metrics.record(latency, 500s);
        const std::string text = renderPrometheus(metrics);
        const std::string head = "# HELP a G.\n# TYPE a gauge\na 0.5\n"
                                 "# HELP b_total Two\\nlines.\n# TYPE b_total counter\n"
                                 "b_total{row=\"a\\\"b\\\\c\\nd\"} 4\n"
                                 "# HELP c_seconds T.\n# TYPE c_seconds histogram\n"
                                 "c_seconds_bucket{row=\"x\",le=\"1e-05\"} 0\n"
                                 "c_seconds_bucket{row=\"x\",le=\"1.778e-05\"} 1\n";
        CPPUNIT_ASSERT_EQUAL(head, text.substr(0, head.size()));
        for (const char* line :
            { "c_seconds_bucket{row=\"x\",le=\"100\"} 1\n", "c_seconds_bucket{row=\"x\",le=\"+Inf\"} 2\n",
                "c_seconds_sum{row=\"x\"} 500.000015\n", "c_seconds_count{row=\"x\"} 2\n" })
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }

    // Guards against misaligned columns and untrusted text that moves the cursor.
    void tableIsAligned()
    {
        TextTable table({ { "row" }, { "starts", TextAlign::Right } });
        table.addRow({ "caf\xC3\xA9", "7" });
        table.addRow({ "a\x1B[2Jb\n" });
        CPPUNIT_ASSERT_EQUAL(std::string("row      starts\n"
                                         "-------  ------\n"
                                         "caf\xC3\xA9          7\n"
                                         "a?[2Jb?\n"),
            table.render());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace hickoryknot

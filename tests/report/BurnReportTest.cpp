#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include "report/BurnReport.h"

namespace hickoryknot {

namespace {

const RowName lookup { "lookup" };

// A time on 2026-12-04, relative to midnight.
WallTime at(Duration sinceMidnight) { return WallTime(std::chrono::seconds(1796342400)) + sinceMidnight; }

void recordMany(WaitTimeHistory& buckets, const RowName& row, int inTime, int late, WallTime when)
{
    for (int i = 0; i < inTime; ++i)
        buckets.record(row, 50ms, 10ms, true, when);
    for (int i = 0; i < late; ++i)
        buckets.record(row, 50ms, 90ms, true, when);
}

BurnReport reportOf(const WaitTimeHistory& buckets, WallTime now)
{
    return BurnReport::make(buckets, {}, { HostId("h1"), HostId("h2") }, { HostId("h3") }, now);
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

class BurnReportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BurnReportTest);
    CPPUNIT_TEST(windowsEndExactly);
    CPPUNIT_TEST(requestsWithoutStartAreLate);
    CPPUNIT_TEST(ratesAndExhaustionMatchTheRecords);
    CPPUNIT_TEST(encodedBucketsHaveTheSameWindows);
    CPPUNIT_TEST(mergeAddsHostsAndIgnoresWrongClocks);
    CPPUNIT_TEST(corruptBytesAreRejected);
    CPPUNIT_TEST(rowsAreBounded);
    CPPUNIT_TEST(clockSetBackKeepsRecording);
    CPPUNIT_TEST(allFormatsNameRowsAndMissingHosts);
    CPPUNIT_TEST(pageIsSelfContainedAndEscaped);
    CPPUNIT_TEST_SUITE_END();

    // Guards against records that leave a window too late or too early.
    void windowsEndExactly()
    {
        WaitTimeHistory buckets;
        recordMany(buckets, lookup, 1, 1, at(0s));
        for (const size_t window : { 5, 60, 360, 1440 }) {
            const auto length = std::chrono::minutes(window);
            CPPUNIT_ASSERT_EQUAL(uint64_t(2), buckets.sum(lookup, window, 0, at(length - 1s)).total);
            CPPUNIT_ASSERT_EQUAL(uint64_t(0), buckets.sum(lookup, window, 0, at(length)).total);
        }
        // The ring must not return a minute of yesterday as one of today.
        recordMany(buckets, lookup, 1, 0, at(std::chrono::hours(24)));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), buckets.sum(lookup, 1440, 0, at(std::chrono::hours(24))).total);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), buckets.sum(lookup, 1440, 0, at(std::chrono::hours(24))).late);
    }

    // Guards against a row that looks healthy because nothing starts in it.
    void requestsWithoutStartAreLate()
    {
        WaitTimeHistory buckets;
        buckets.record(lookup, 50ms, 1ms, false, at(0s));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), buckets.sum(lookup, 5, 0, at(0s)).late);
    }

    // Guards against wrong burn rates and exhaustion times, which operators act on.
    void ratesAndExhaustionMatchTheRecords()
    {
        WaitTimeHistory buckets;
        recordMany(buckets, lookup, 9900, 0, at(0s));
        recordMany(buckets, lookup, 95, 5, at(std::chrono::hours(3)));
        recordMany(buckets, RowName("calm"), 100, 0, at(std::chrono::hours(3)));
        recordMany(buckets, RowName("broken"), 50, 50, at(std::chrono::hours(1)));
        const BurnReport report = reportOf(buckets, at(std::chrono::hours(3)));
        CPPUNIT_ASSERT(report.rows.at(0).row == lookup);
        const BurnRow& row = report.rows[0];
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, row.windows[1].burnRate, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, row.windows[3].burnRate, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, row.windows[3].budgetBurnt, 1e-9);
        // 95% of the 24 hour budget is left, at a burn rate of 5.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(24 * 0.95 / 5, row.budgetExhaustedIn->count() / 3.6e9, 1e-3);
        CPPUNIT_ASSERT(contains(row.summary, "ends in 4 h 33 min"));
        for (const BurnRow& other : report.rows) {
            if (other.row == RowName("calm"))
                CPPUNIT_ASSERT(!other.budgetExhaustedIn && contains(other.summary, "it lasts"));
            if (other.row == RowName("broken"))
                CPPUNIT_ASSERT(other.budgetExhaustedIn == 0us && contains(other.summary, "used up"));
        }
    }

    // Guards against a cell report that differs from the records of the hosts, and against large messages.
    void encodedBucketsHaveTheSameWindows()
    {
        pcg32 random(7);
        WaitTimeHistory buckets;
        const WallTime now = at(std::chrono::hours(24));
        for (int row = 0; row < 150; ++row) {
            const RowName name("row-" + std::to_string(row));
            for (int minute = 0; minute < 1440; ++minute)
                recordMany(buckets, name, random(4), random(3), now - std::chrono::minutes(1439 - minute));
        }
        const std::string bytes = buckets.encode(now);
        CPPUNIT_ASSERT(bytes.size() < 512 * 1024);
        const auto decoded = WaitTimeHistory::decode(bytes);
        CPPUNIT_ASSERT(decoded.has_value());
        for (const RowName& row : buckets.rows()) {
            for (const size_t window : { 5, 60 }) {
                CPPUNIT_ASSERT_EQUAL(buckets.sum(row, window, 0, now).total, decoded->sum(row, window, 0, now).total);
                CPPUNIT_ASSERT_EQUAL(buckets.sum(row, window, 0, now).late, decoded->sum(row, window, 0, now).late);
            }
            // Older minutes are summed in fives, so at most four of them fall on the other side of a window boundary.
            for (const size_t window : { 360, 1440 }) {
                const auto exact = static_cast<double>(buckets.sum(row, window, 0, now).total);
                const auto coarse = static_cast<double>(decoded->sum(row, window, 0, now).total);
                CPPUNIT_ASSERT_DOUBLES_EQUAL(exact, coarse, 4 * 5);
            }
            CPPUNIT_ASSERT(buckets.waits(row, now) == decoded->waits(row, now));
            CPPUNIT_ASSERT(buckets.targetWait(row) == decoded->targetWait(row));
        }
    }

    // Guards against a wrong wall clock of one host that hides the records of all others.
    void mergeAddsHostsAndIgnoresWrongClocks()
    {
        WaitTimeHistory sum;
        WaitTimeHistory good;
        WaitTimeHistory wrong;
        recordMany(sum, lookup, 3, 1, at(0s));
        recordMany(good, lookup, 2, 2, at(60s));
        recordMany(good, RowName("other"), 1, 0, at(60s));
        recordMany(wrong, lookup, 100, 0, at(std::chrono::hours(100)));
        sum.merge(good, at(120s));
        sum.merge(wrong, at(120s));
        CPPUNIT_ASSERT_EQUAL(uint64_t(8), sum.sum(lookup, 5, 0, at(120s)).total);
        CPPUNIT_ASSERT_EQUAL(uint64_t(3), sum.sum(lookup, 5, 0, at(120s)).late);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), sum.sum(RowName("other"), 5, 0, at(120s)).total);
        const auto waits = sum.waits(lookup, at(120s));
        CPPUNIT_ASSERT_EQUAL(uint64_t(5), waits[4]); // 8 to 16 ms
        CPPUNIT_ASSERT_EQUAL(uint64_t(3), waits[7]); // 64 to 128 ms
    }

    // Guards against crashes and wrong values from corrupt or forged bytes.
    void corruptBytesAreRejected()
    {
        WaitTimeHistory buckets;
        recordMany(buckets, lookup, 3, 1, at(0s));
        const std::string bytes = buckets.encode(at(0s));
        CPPUNIT_ASSERT(WaitTimeHistory::decode(bytes).has_value());
        CPPUNIT_ASSERT(WaitTimeHistory::decode(WaitTimeHistory().encode(at(0s))).has_value());
        for (size_t i = 0; i < bytes.size(); ++i) {
            std::string corrupted = bytes;
            corrupted[i] = static_cast<char>(corrupted[i] ^ 0x10);
            CPPUNIT_ASSERT(WaitTimeHistory::decode(corrupted).error().code == ErrorCode::Corrupt);
            CPPUNIT_ASSERT(WaitTimeHistory::decode(bytes.substr(0, i)).error().code == ErrorCode::Corrupt);
        }
    }

    // Guards against memory that grows with the number of row names.
    void rowsAreBounded()
    {
        WaitTimeHistory buckets;
        for (size_t i = 0; i < WaitTimeHistory::maxRows + 10; ++i)
            buckets.record(RowName("r" + std::to_string(i)), 1ms, 1ms, true, at(0s));
        CPPUNIT_ASSERT_EQUAL(WaitTimeHistory::maxRows, buckets.rows().size());
    }

    // Guards against a report that stays empty for days after a wrong wall clock was corrected.
    void clockSetBackKeepsRecording()
    {
        WaitTimeHistory buckets;
        recordMany(buckets, lookup, 1, 0, at(std::chrono::hours(100)));
        recordMany(buckets, lookup, 1, 0, at(0s));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), buckets.sum(lookup, 5, 0, at(0s)).total);
    }

    // Guards against differences between the output formats, and against sums that omit hosts silently.
    void allFormatsNameRowsAndMissingHosts()
    {
        WaitTimeHistory buckets;
        recordMany(buckets, lookup, 95, 5, at(0s));
        const BurnReport report = reportOf(buckets, at(0s));
        const auto json = nlohmann::json::parse(report.json());
        CPPUNIT_ASSERT_EQUAL(std::string("h3"), json["hostsMissing"][0].get<std::string>());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, json["rows"][0]["windows"][0]["burnRate"].get<double>(), 1e-9);
        CPPUNIT_ASSERT_EQUAL(report.rows[0].summary, json["rows"][0]["summary"].get<std::string>());
        for (const std::string& format : { report.text(), report.html(), report.json() }) {
            CPPUNIT_ASSERT(contains(format, "2 of 3 hosts answered; the sums leave out h3."));
            CPPUNIT_ASSERT(contains(format, report.rows[0].summary));
        }
        CPPUNIT_ASSERT(contains(report.text(), "2026-12-04 00:00 UTC"));
    }

    // Guards against a page that loads external resources or executes injected text.
    void pageIsSelfContainedAndEscaped()
    {
        WaitTimeHistory buckets;
        recordMany(buckets, RowName("<script>alert(1)</script>"), 1, 1, at(0s));
        const BurnReport report = BurnReport::make(buckets, {}, {}, { HostId("\"><img src=x>&") }, at(0s));
        const std::string page = report.html();
        for (const char* part : { "<script", "<img", "http:", "https:", "href=", "url(", "@import" })
            CPPUNIT_ASSERT_MESSAGE(part, !contains(page, part));
        CPPUNIT_ASSERT(contains(page, "&lt;script&gt;"));
        CPPUNIT_ASSERT(contains(page, "&quot;&gt;&lt;img src=x&gt;&amp;"));
        CPPUNIT_ASSERT(contains(page, "<svg"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurnReportTest);

} // namespace hickoryknot

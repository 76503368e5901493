#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <random>

#include "table/RowColumns.h"
#include "table/Table.h"
#include "table/TableCheck.h"
#include "table/TableCsv.h"
#include "table/TableJson.h"

namespace hickoryknot {

class TableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TableTest);
    CPPUNIT_TEST(conflictingChangeIsRejected);
    CPPUNIT_TEST(resendReturnsFirstOutcome);
    CPPUNIT_TEST(versionIsMonotonic);
    CPPUNIT_TEST(malformedChangesAreRejectedAtomically);
    CPPUNIT_TEST(csvRoundTrip);
    CPPUNIT_TEST(csvErrorsNameLineAndColumn);
    CPPUNIT_TEST(jsonRoundTrip);
    CPPUNIT_TEST(invalidJsonIsRejected);
    CPPUNIT_TEST(partialRowsKeepOtherColumns);
    CPPUNIT_TEST(explanationsCoverEveryChangedColumn);
    CPPUNIT_TEST(documentationListsAllColumns);
    CPPUNIT_TEST_SUITE_END();

    static Row makeRow(const char* name, uint32_t weight)
    {
        Row row;
        row.name = RowName(name);
        row.weight = weight;
        return row;
    }

    static TableChange makeChange(uint64_t base, const char* request, std::vector<Row> rows)
    {
        return { .baseVersion = base, .request = RequestId(request), .changedBy = request, .rows = std::move(rows) };
    }

    // Guards against concurrent changes of two operators silently overwriting each other.
    void conflictingChangeIsRejected()
    {
        Table table;
        CPPUNIT_ASSERT(table.set(makeChange(1, "anna", { makeRow("a", 5) })).isAccepted);
        const auto lost = table.set(makeChange(1, "ben", { makeRow("a", 6) }));
        CPPUNIT_ASSERT(!lost.isAccepted);
        CPPUNIT_ASSERT_EQUAL(std::string("version_conflict"), lost.reason);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, lost.version);
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), lost.wonBy);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 5 }, table.findClass(RowName("a"))->weight);
    }

    // Guards against a change applied twice when its response was lost, and against reuse of a request id.
    void resendReturnsFirstOutcome()
    {
        Table table;
        const auto change = makeChange(1, "anna", { makeRow("a", 5) });
        const auto first = table.set(change);
        CPPUNIT_ASSERT(table.set(makeChange(2, "ben", { makeRow("a", 6) })).isAccepted);
        CPPUNIT_ASSERT(table.set(change) == first);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, table.version());
        const auto reused = table.set(makeChange(3, "anna", { makeRow("a", 7) }));
        CPPUNIT_ASSERT_EQUAL(std::string("request_id_reused"), reused.reason);
        // A rejection is also kept as the first outcome.
        const auto late = makeChange(1, "cara", { makeRow("c", 1) });
        const auto refused = table.set(late);
        CPPUNIT_ASSERT(table.set(late) == refused);
    }

    // Guards against repeated or decreasing versions, over random conflicts, resends and restores.
    void versionIsMonotonic()
    {
        std::mt19937_64 random(11);
        Table table;
        uint64_t previous = table.version();
        for (int i = 0; i < 5000; ++i) {
            const uint64_t base = table.version() - std::min<uint64_t>(random() % 3, table.version() - 1);
            const auto request = "r" + std::to_string(random() % 3000);
            const auto weight = static_cast<uint32_t>(random() % 1200);
            const auto result = table.set(makeChange(base, request.c_str(), { makeRow("a", weight) }));
            const bool isNew = table.version() != previous;
            CPPUNIT_ASSERT(!isNew || (table.version() == previous + 1 && result.isAccepted && base == previous));
            previous = table.version();
            CPPUNIT_ASSERT(table.content().outcomes.size() <= Table::maxOutcomes);
            if (i % 500 == 0)
                table.restore(Table::Content(table.content()));
        }
    }

    // Guards against a partially applied change.
    void malformedChangesAreRejectedAtomically()
    {
        Table table;
        auto twice = makeChange(1, "r1", { makeRow("a", 5), makeRow("a", 6) });
        auto missing = makeChange(1, "r2", { makeRow("a", 5) });
        missing.removed = { RowName("b") };
        auto noDefault = makeChange(1, "r3", {});
        noDefault.removed = { RowName("default") };
        auto range = makeChange(1, "r4", { makeRow("a", 0) });
        for (const auto& change : { twice, missing, noDefault, range }) {
            CPPUNIT_ASSERT_EQUAL(std::string("invalid_change"), table.set(change).reason);
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, table.rows().size());
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, table.version());
    }

    static Row randomRow(std::mt19937_64& random, int number)
    {
        Row row = makeRow(("row." + std::to_string(number)).c_str(), static_cast<uint32_t>(1 + random() % 1000));
        row.kind = random() % 2 ? RowKind::Team : RowKind::Class;
        row.priority = static_cast<uint32_t>(random() % 101);
        row.isRepeatable = random() % 2;
        row.targetWait = static_cast<int64_t>(1 + random() % 1000) * 1ms;
        row.waitBound = row.targetWait + static_cast<int64_t>(random() % 1000) * 1ms;
        row.queueBound = static_cast<uint32_t>(random() % 100001);
        row.maxRunning = static_cast<uint32_t>(random() % 1000001);
        row.retryBudgetPercent = static_cast<uint32_t>(random() % 101);
        row.hours = { .startMinute = static_cast<uint16_t>(random() % 720), .endMinute = 900 };
        row.placement = random() % 2 ? PlacementStyle::Pack : PlacementStyle::Spread;
        row.cutOff = random() % 2 ? CutOffRule::Keep : CutOffRule::Stop;
        row.isUrgent = random() % 2;
        row.isPreemptible = !row.isUrgent;
        if (row.kind == RowKind::Team)
            row.quota.mebibytes = Mebibytes(static_cast<int64_t>(random() % 4000000001));
        return row;
    }

    // Guards against values that CSV export and import treat differently.
    void csvRoundTrip()
    {
        std::mt19937_64 random(12);
        std::vector<Row> rows;
        for (int i = 0; i < 50; ++i)
            rows.push_back(randomRow(random, i));
        const auto parsed = parseTableCsv(formatTableCsv(rows));
        CPPUNIT_ASSERT_MESSAGE(parsed ? "" : parsed.error().message, parsed.has_value());
        CPPUNIT_ASSERT(*parsed == rows);
        const auto quoted = parseTableCsv("\"name\",weight\n\"a\",\"7\"\n\n");
        CPPUNIT_ASSERT(quoted && quoted->size() == 1 && quoted->front().weight == 7);
    }

    // Guards against errors that do not locate the fault in a long file.
    void csvErrorsNameLineAndColumn()
    {
        const std::vector<std::pair<const char*, const char*>> cases {
            { "name,wieght\na,1\n", "line 1: unknown column 'wieght'" },
            { "weight\n1\n", "line 1: column 'name' is missing" },
            { "name,weight,weight\n", "line 1: column 'weight' appears twice" },
            { "name,weight\na,1\nb,-1\n", "line 3, column weight: '-1'" },
            { "name,weight\na,1e2\n", "line 2, column weight: '1e2'" },
            { "name,weight\na,99999999999999999999\n", "line 2, column weight" },
            { "name,weight\na\n", "line 2: 1 fields, but the header names 2" },
            { "name,weight\na,1\na,2\n", "line 3, column name: row 'a' appears twice" },
            { "name,weight\n\"a,1\n", "line 2: a quote is not closed" },
            { "name,hours\na,25:00-03:00\n", "line 2, column hours" },
        };
        for (const auto& [text, expected] : cases) {
            const auto parsed = parseTableCsv(text);
            CPPUNIT_ASSERT(!parsed);
            CPPUNIT_ASSERT_MESSAGE(parsed.error().message, parsed.error().message.starts_with(expected));
        }
    }

    // Guards against values that JSON formatting and parsing treat differently.
    void jsonRoundTrip()
    {
        std::mt19937_64 random(13);
        for (int i = 0; i < 50; ++i) {
            const Row row = randomRow(random, i);
            const auto parsed = parseRowJson(formatRowJson(row));
            CPPUNIT_ASSERT(parsed && *parsed == row);
        }
    }

    // Guards against values that overflow, are truncated or are silently ignored.
    void invalidJsonIsRejected()
    {
        for (const char* text : { R"({"name":"a","weight":1.5})", R"({"name":"a","weight":-1})",
                 R"({"name":"a","weight":4294967297})", R"({"name":"a","weight":18446744073709551615})",
                 R"({"name":"a","weight":NaN})", R"({"name":"a","weight":"1"})", R"({"name":"a","weight":true})",
                 R"({"name":"a","urgent":1})", R"({"name":"a","urgent":true,"preemptible":true})",
                 R"({"name":"a","colour":"red"})", R"({"name":"a b"})", R"({"weight":1})", R"([])", R"({"name":"a")",
                 R"({"name":"a","weight":1,"weight":2})", R"({"name":"a","waitBoundMs":1})",
                 R"({"name":"a","quotaMebibytes":5})", R"({"name":"a","hours":"08:00-08:00"})" })
            CPPUNIT_ASSERT_MESSAGE(text, !parseRowJson(text));
        const Table table;
        for (const char* text : { R"({"baseVersion":-1,"requestId":"r"})", R"({"baseVersion":1})",
                 R"({"baseVersion":1,"requestId":"r","row":[]})", R"({"baseVersion":1.0,"requestId":"r"})" })
            CPPUNIT_ASSERT_MESSAGE(text, !parseTableChangeJson(text, table));
    }

    // Guards against a change of one column that resets the others.
    void partialRowsKeepOtherColumns()
    {
        Table table;
        CPPUNIT_ASSERT(table.set(makeChange(1, "r1", { makeRow("a", 5) })).isAccepted);
        const auto change = parseTableChangeJson(
            R"({"baseVersion":2,"requestId":"r2","rows":[{"name":"a","priority":9}],"remove":["a"]})", table);
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(uint32_t { 5 }, change->rows.front().weight);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 9 }, change->rows.front().priority);
        CPPUNIT_ASSERT_EQUAL(std::string("invalid_change"), table.set(*change).reason);
    }

    // Guards against changed columns that are not explained.
    void explanationsCoverEveryChangedColumn()
    {
        std::mt19937_64 random(14);
        Table table;
        Row before = makeRow("default", 100);
        for (const auto& column : rowColumns()) {
            if (column.name == "name" || column.name == "kind" || column.name.starts_with("quota"))
                continue;
            Row after = before;
            while (column.format(after) == column.format(before)) {
                Row other = randomRow(random, 1);
                CPPUNIT_ASSERT(column.parse(after, column.format(other)).has_value());
            }
            after.waitBound
                = column.name == "targetWaitMs" ? std::max(after.waitBound, after.targetWait) : after.waitBound;
            after.targetWait = std::min(after.targetWait, after.waitBound);
            const auto explanations = explainChange(table, makeChange(1, "r", { after }));
            CPPUNIT_ASSERT(explanations.has_value());
            const auto start = "Row 'default', column " + std::string(column.name) + ": " + column.format(before);
            const bool isNamed
                = std::any_of(explanations->begin(), explanations->end(), [&](const std::string& explanation) {
                      return explanation.starts_with(start)
                          && explanation.find(column.format(after)) != std::string::npos;
                  });
            CPPUNIT_ASSERT_MESSAGE(start, isNamed);
        }
    }

    // Guards against documentation with other columns, ranges or defaults than the code.
    void documentationListsAllColumns()
    {
        std::string expected;
        const Row defaults;
        for (const auto& column : rowColumns())
            expected += "| `" + std::string(column.name) + "` | " + std::string(column.unit) + " | "
                + std::string(column.range) + " | " + column.format(defaults) + " | " + std::string(column.description)
                + " |\n";
        std::ifstream file(SOURCE_FOLDER "/docs/table.md");
        std::string rows;
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("| `"))
                rows += line + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(expected, rows);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableTest);

} // namespace hickoryknot

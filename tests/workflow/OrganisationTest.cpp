#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

#include "OrganisationSamples.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

class OrganisationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrganisationTest);
    CPPUNIT_TEST(keysAreThoseOfTheNewestTable);
    CPPUNIT_TEST(invalidOrganisationsAreRejected);
    CPPUNIT_TEST(largeTablesKeepTheirKeysOrAreRejected);
    CPPUNIT_TEST(workflowsAreReachedByTheirOrganisationOrQueue);
    CPPUNIT_TEST_SUITE_END();

    WorkflowState m_state;

    void replace(const QueueTable& next) { m_state.apply(1, encodeCommands({ ReplaceTable { next } })); }

    // Owner of the key by the table in force; "refused" if the call is not authorised.
    std::string ownerOf(const std::string& key, const char* queue = "q") const
    {
        const QueueTable& current = m_state.table();
        const auto result = current.authenticate(*current.find(QueueName(queue)), KeyDigest::of(key));
        return result.isAuthorised ? result.organisation.value() : "refused";
    }

    // Guards against a key that is valid late, a withdrawn one that is still valid, also if it was the last one, and
    // withdrawn keys that come back with a table that was sent late, also after a snapshot was installed.
    void keysAreThoseOfTheNewestTable()
    {
        const QueueTable first = samples::tableWith(1, { { "a", { "k1" } } });
        replace(first);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), ownerOf("k1"));
        CPPUNIT_ASSERT_EQUAL(std::string("refused"), ownerOf("k2"));
        const QueueTable second = samples::tableWith(2, { { "a", {} }, { "b", { "k2", "k3" } } });
        CPPUNIT_ASSERT(checkQueueTable(second));
        replace(second);
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("refused"), ownerOf("k1"));
            CPPUNIT_ASSERT_EQUAL(std::string("b"), ownerOf("k2"));
            CPPUNIT_ASSERT(!m_state.table().authenticate(second.queues.front(), KeyDigest()).isAuthorised);
            replace(first);
            CPPUNIT_ASSERT(m_state.restore(m_state.snapshot()));
        }
    }

    // Guards against names that break log lines, figures that break the planner's arithmetic, and keys with two owners.
    void invalidOrganisationsAreRejected()
    {
        const auto expectError = [](const std::string& text, const QueueTable& table) {
            const auto checked = checkQueueTable(table);
            const std::string message = checked ? "valid" : checked.error().message;
            CPPUNIT_ASSERT_MESSAGE(message + " instead of " + text, message.find(text) != std::string::npos);
        };
        for (const std::string& name : { std::string(), std::string(129, 'n') })
            expectError("field name of organisation number 1", samples::tableWith(1, { { name, {} } }));
        expectError("field name: organisation a", samples::tableWith(1, { { "a", {} }, { "a", {} } }));
        expectError("valid", samples::tableWith(1, { { "\"\n\xc3\xa4", {} }, { std::string(128, 'n'), {} } }));
        expectError("organisations a and b share a key",
            samples::tableWith(1, { { "a", { "secret" } }, { "b", { "x", "secret" } } }));
        expectError("apiKeys", samples::tableWith(1, { { "a", std::vector<std::string>(65, "k") } }));
        QueueTable table = samples::tableWith(1, { { "a", {} } });
        Organisation& organisation = table.organisations.front();
        for (const double weight : { -0.001, std::nan(""), 1e300 }) {
            organisation.weight = weight;
            expectError("field weight of organisation a", table);
        }
        organisation.weight = 0;
        organisation.limit.mebibytes = Mebibytes(-1);
        expectError("field maxCount.memMb of organisation a", table);
        table.organisations.resize(1025);
        expectError("field tenants", table);
    }

    // Guards against an index that misses keys, against a table that is refused for its many queues, and against one
    // that no leader can commit, so that one after another gives up its leadership.
    void largeTablesKeepTheirKeysOrAreRejected()
    {
        std::vector<samples::NameAndKeys> many;
        for (int i = 0; i < 1024; ++i) {
            many.push_back({ "o" + std::to_string(i), {} });
            for (int k = 0; k < 64; ++k)
                many.back().keys.push_back(std::to_string(i * 64 + k));
        }
        QueueTable table = samples::tableWith(2, many);
        for (int i = 0; i < 1400; ++i)
            table.queues.push_back(samples::queue(("more" + std::to_string(i)).c_str()));
        CPPUNIT_ASSERT(checkQueueTable(table));
        replace(samples::tableWith(1, { { "a", { "k1" } } }));
        replace(table);
        CPPUNIT_ASSERT(m_state.table() == table);
        for (int key = 0; key < 65'536; key += 97)
            CPPUNIT_ASSERT_EQUAL("o" + std::to_string(key / 64), ownerOf(std::to_string(key), "more1399"));
        CPPUNIT_ASSERT_EQUAL(std::string("refused"), ownerOf("65536"));
        // A table that is not in force has no index, and answers the same.
        CPPUNIT_ASSERT(table.authenticate(table.queues.front(), KeyDigest::of("64")).organisation.value() == "o1");
        table.document = std::string(size_t { 3 } * 512 * 1024, 'd');
        CPPUNIT_ASSERT(checkQueueTable(table).error().code == ErrorCode::TooLarge);
    }

    // Guards against callers who reach others' workflows, also by way of a public queue, and against workflows that
    // nobody reaches after the table or the queue has changed, or that need a key without organisations.
    void workflowsAreReachedByTheirOrganisationOrQueue()
    {
        const QueueTable table = samples::tableWith(1, { { "a", { "k1" } } });
        const auto mayAccess = [&](const char* queue, const char* caller, WorkflowOwner owner) {
            return table.mayAccess(QueueName(queue), OrganisationName(caller), owner);
        };
        const OrganisationName a("a");
        CPPUNIT_ASSERT(mayAccess("q", "a", { .queue = QueueName("q"), .organisation = a }));
        CPPUNIT_ASSERT(!mayAccess("q", "b", { .queue = QueueName("q"), .organisation = a }));
        CPPUNIT_ASSERT(!mayAccess("open", "", { .queue = QueueName("q"), .organisation = a }));
        CPPUNIT_ASSERT(mayAccess("open", "", { .queue = QueueName("open"), .organisation = a }));
        CPPUNIT_ASSERT(mayAccess("q", "a", { .queue = QueueName("q") }));
        CPPUNIT_ASSERT(!mayAccess("open", "", { .queue = QueueName("q") }));
        CPPUNIT_ASSERT(mayAccess("open", "", { .queue = QueueName("removed") }));
        const QueueTable plain = samples::tableWith(2, {});
        const Queue& queue = plain.queues.front();
        CPPUNIT_ASSERT(plain.authenticate(queue, KeyDigest()).isAuthorised);
        CPPUNIT_ASSERT(plain.mayAccess(queue.name, {}, { .queue = QueueName("low"), .organisation = a }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationTest);

} // namespace hickoryknot::workflow

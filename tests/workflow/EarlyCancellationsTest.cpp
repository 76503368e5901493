#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "OrganisationSamples.h"
#include "workflow/EarlyCancellations.h"

namespace hickoryknot::workflow {

class EarlyCancellationsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EarlyCancellationsTest);
    CPPUNIT_TEST(fullRecordsRefuseAndForgetNothing);
    CPPUNIT_TEST(organisationCannotFillTheRecordsOfOthers);
    CPPUNIT_TEST(removedOrganisationStillCounts);
    CPPUNIT_TEST(cancellationHoldsForItsOrganisationOnly);
    CPPUNIT_TEST(cancellationHoldsWhenKeysAreIntroducedOrDropped);
    CPPUNIT_TEST_SUITE_END();

    EarlyCancellations m_cancellations;
    const QueueName m_queue { "q" };
    const QueueName m_openQueue { "open" };

    static WorkflowId idOf(size_t number) { return WorkflowId(fmt::format("{:016x}", number)); }

    bool add(const QueueTable& table, const WorkflowId& id, const std::string& organisation = {})
    {
        return m_cancellations.add({ .key = { id, OrganisationName(organisation) },
                                       .queue = m_queue,
                                       .isWithoutOrganisations = table.organisations.empty() },
            table);
    }
    // Adds until one is refused, or `most`; returns how many were recorded.
    size_t fill(
        const QueueTable& table, const std::string& organisation, size_t most = 2 * EarlyCancellations::capacity)
    {
        size_t added = 0;
        while (added < most && add(table, idOf(added), organisation))
            ++added;
        return added;
    }
    bool covers(const QueueTable& table, const WorkflowId& id, const char* organisation = "", const char* queue = "q")
    {
        return m_cancellations.covers(id, OrganisationName(organisation), QueueName(queue), table);
    }

public:
    // Guards against acknowledged cancellations that are dropped to make room, and against memory without a bound.
    void fullRecordsRefuseAndForgetNothing()
    {
        const auto table = samples::table();
        CPPUNIT_ASSERT_EQUAL(EarlyCancellations::capacity, fill(table, ""));
        CPPUNIT_ASSERT(covers(table, idOf(0)) && covers(table, idOf(EarlyCancellations::capacity - 1)));
        CPPUNIT_ASSERT(!covers(table, idOf(EarlyCancellations::capacity)));
        CPPUNIT_ASSERT(add(table, idOf(0)));
        m_cancellations.remove({ { idOf(0), {} }, { idOf(0), {} } });
        CPPUNIT_ASSERT(add(table, idOf(EarlyCancellations::capacity)));
        CPPUNIT_ASSERT(!add(table, idOf(0)));
        CPPUNIT_ASSERT_EQUAL(EarlyCancellations::capacity, m_cancellations.size());
    }

    // Guards against an organisation that cancels without end, so that the cancellations of others are refused.
    void organisationCannotFillTheRecordsOfOthers()
    {
        const auto table = samples::tableWith(1, { { "a", { "a1" } }, { "b", { "b1" } }, { "c", { "c1" } } });
        // The callers of a public queue have a part too, although the table does not name them.
        const size_t most = fill(table, "a");
        CPPUNIT_ASSERT(most >= EarlyCancellations::capacity / 4 && most <= EarlyCancellations::capacity / 3);
        for (const char* other : { "b", "", "c" })
            CPPUNIT_ASSERT(fill(table, other) >= EarlyCancellations::capacity / 4);
        CPPUNIT_ASSERT(m_cancellations.size() <= 2 * EarlyCancellations::capacity);
    }

    // Guards against an organisation that leaves nothing for those of a later table.
    void removedOrganisationStillCounts()
    {
        const auto before = samples::tableWith(1, { { "a", { "a1" } } });
        CPPUNIT_ASSERT_EQUAL(EarlyCancellations::capacity, fill(before, "a"));
        const auto after = samples::tableWith(2, { { "b", { "b1" } } });
        CPPUNIT_ASSERT_EQUAL(EarlyCancellations::capacity / 2, fill(after, "b"));
        CPPUNIT_ASSERT(covers(after, idOf(0), "a"));
        EarlyCancellations restored;
        restored.restore(m_cancellations.entries());
        CPPUNIT_ASSERT_EQUAL(m_cancellations.size(), restored.size());
        m_cancellations = restored;
        CPPUNIT_ASSERT(!add(after, idOf(EarlyCancellations::capacity), "b"));
    }

    // Guards against organisations that prevent each other's submissions by cancelling their ids first.
    void cancellationHoldsForItsOrganisationOnly()
    {
        const auto table = samples::tableWith(1, { { "a", { "a1" } }, { "b", { "b1" } } });
        CPPUNIT_ASSERT(add(table, samples::firstId, "a"));
        CPPUNIT_ASSERT(covers(table, samples::firstId, "a") && !covers(table, samples::firstId, "b"));
        CPPUNIT_ASSERT(!covers(table, samples::secondId, "a"));
        // Without a key, by way of a public queue.
        m_cancellations.add({ .key = { samples::secondId, {} }, .queue = m_openQueue }, table);
        CPPUNIT_ASSERT(!covers(table, samples::secondId, "a") && covers(table, samples::secondId, "", "open"));
    }

    // Guards against a cancelled workflow that runs because a change of the table lies between the cancellation and the
    // late submission, which then names another organisation or none.
    void cancellationHoldsWhenKeysAreIntroducedOrDropped()
    {
        const auto open = samples::table(1);
        const auto closed = samples::tableWith(2, { { "a", { "a1" } } });
        CPPUNIT_ASSERT(add(open, samples::firstId));
        CPPUNIT_ASSERT(covers(closed, samples::firstId, "a"));
        CPPUNIT_ASSERT(add(closed, samples::secondId, "a"));
        CPPUNIT_ASSERT(covers(open, samples::secondId));
        // A queue that becomes public or ceases to be.
        CPPUNIT_ASSERT(covers(closed, samples::secondId, ""));
        const WorkflowId third = idOf(3);
        m_cancellations.add({ .key = { third, {} }, .queue = m_openQueue }, closed);
        CPPUNIT_ASSERT(covers(closed, third, "a", "open"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyCancellationsTest);

} // namespace hickoryknot::workflow

#include "net/MemoryBudget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>

#include "net/DescriptorShares.h"
#include "net/MemoryCharge.h"

namespace hickoryknot {

class MemoryBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(dropsTheLongestUnfinishedOfTheLargestPeer);
    CPPUNIT_TEST(keepsWhatMustNotBeDropped);
    CPPUNIT_TEST(smallRequestsDisplaceLargeOnes);
    CPPUNIT_TEST(poolsHaveRoomOfTheirOwn);
    CPPUNIT_TEST(sharesLeaveDescriptors);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint start { 1000s };

    std::shared_ptr<MemoryBudget> m_budget
        = std::make_shared<MemoryBudget>(MemoryBudgetSettings { .poolBytes = { 100, 100, 100 }, .smallBytes = 10 });
    std::string m_dropped;

    std::unique_ptr<MemoryCharge> charge(
        const std::string& peer, char name, Duration age, MemoryPool pool = MemoryPool::Clients)
    {
        auto result = std::make_unique<MemoryCharge>(m_budget, pool, peer, [this, name] { m_dropped += name; });
        result->setDroppableSince(start - age);
        return result;
    }

    // Guards against one peer's unfinished requests that push out those of another, and against a total that drifts.
    void dropsTheLongestUnfinishedOfTheLargestPeer()
    {
        {
            const auto old = charge("quiet", 'a', 9s);
            const auto second = charge("loud", 'b', 2s);
            const auto first = charge("loud", 'c', 3s);
            const auto fresh = charge("other", 'd', 0s);
            CPPUNIT_ASSERT(old->resize(30, start) && second->resize(30, start) && first->resize(30, start));
            CPPUNIT_ASSERT(fresh->resize(20, start));
            CPPUNIT_ASSERT_EQUAL(std::string("c"), m_dropped);
            CPPUNIT_ASSERT_EQUAL(size_t { 80 }, m_budget->heldBytes(MemoryPool::Clients));
            // The request that would be dropped for itself is refused instead.
            CPPUNIT_ASSERT(!old->resize(90, start));
            CPPUNIT_ASSERT_EQUAL(size_t { 30 }, old->bytes());
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, m_budget->heldBytes(MemoryPool::Clients));
    }

    // Guards against dropping a request that was passed to its handler, or a response too early, and against refusing
    // what a single client may send.
    void keepsWhatMustNotBeDropped()
    {
        const auto handled = charge("p", 'a', 5s);
        CPPUNIT_ASSERT(handled->resize(150, start));
        handled->setDroppableSince(std::nullopt);
        const auto fresh = charge("p", 'b', 0s);
        CPPUNIT_ASSERT(!fresh->resize(5, start));
        handled->setDroppableSince(start + 1s);
        CPPUNIT_ASSERT(!fresh->resize(5, start));
        CPPUNIT_ASSERT(fresh->resize(5, start + 1s));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_dropped);
        // A response that exists already is charged, and takes the room of unfinished requests.
        CPPUNIT_ASSERT(handled->resize(50, start));
        fresh->resizeRegardless(90, start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::string("aa"), m_dropped);
        CPPUNIT_ASSERT_EQUAL(size_t { 90 }, m_budget->heldBytes(MemoryPool::Clients));
    }

    // Guards against large unfinished requests that keep small ones out, and against large ones that push out small
    // ones.
    void smallRequestsDisplaceLargeOnes()
    {
        const auto small = charge("p", 'a', 9s);
        const auto large = charge("p", 'b', 3s);
        CPPUNIT_ASSERT(small->resize(10, start) && large->resize(90, start));
        const auto fresh = charge("p", 'c', 0s);
        CPPUNIT_ASSERT(fresh->resize(10, start));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), m_dropped);
        CPPUNIT_ASSERT(fresh->resize(80, start));
        CPPUNIT_ASSERT(!fresh->resize(100, start));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), m_dropped);
    }

    // Guards against callers that starve calls between hosts, and against freed memory that is never returned.
    void poolsHaveRoomOfTheirOwn()
    {
        m_budget = std::make_shared<MemoryBudget>(memoryBudgetOf(size_t { 120 } << 20));
        const size_t size = m_budget->poolBytes(MemoryPool::Clients);
        const auto callers = charge("p", 'a', 3s);
        const auto host = charge("p", 'b', 2s, MemoryPool::Hosts);
        CPPUNIT_ASSERT(callers->resize(size, start) && host->resize(size, start));
        CPPUNIT_ASSERT(m_dropped.empty());
        CPPUNIT_ASSERT(!m_budget->takeReleaseDue());
        callers->release();
        host->release();
        CPPUNIT_ASSERT(m_budget->takeReleaseDue());
        CPPUNIT_ASSERT(!m_budget->takeReleaseDue());
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, m_budget->heldBytes(MemoryPool::Hosts));
    }

    // Guards against connection limits that add up to more descriptors than there are.
    void sharesLeaveDescriptors()
    {
        for (const size_t descriptors : { 64, 400, 3075, 4096, 10250 }) {
            for (const auto use : { DescriptorUse::Entry, DescriptorUse::Control, DescriptorUse::Serve }) {
                const auto shares = shareDescriptors(descriptors, use);
                const size_t files = std::min<size_t>(200, descriptors / 2);
                CPPUNIT_ASSERT(
                    shares.clients + shares.readiness + shares.hostCalls + shares.messages < descriptors - files);
                CPPUNIT_ASSERT(shares.clients >= 4);
            }
        }
        // All workers of the largest deployment report on connections of their own.
        CPPUNIT_ASSERT(shareDescriptors(4096, DescriptorUse::Control).clients > 960);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

} // namespace hickoryknot

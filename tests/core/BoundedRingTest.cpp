#include <cppunit/extensions/HelperMacros.h>
#include <thread>

#include "core/BoundedRing.h"

namespace hickoryknot {

class BoundedRingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BoundedRingTest);
    CPPUNIT_TEST(fullQueueRejectsItemUnchanged);
    CPPUNIT_TEST(closedQueueDeliversQueuedItems);
    CPPUNIT_TEST(itemsOfOneProducerKeepOrder);
    CPPUNIT_TEST_SUITE_END();

    // Guards against items that are lost silently when the consumer is slow.
    void fullQueueRejectsItemUnchanged()
    {
        BoundedRing<std::string> queue(1);
        std::string first = "first";
        std::string second = "second";
        CPPUNIT_ASSERT(queue.tryPush(first));
        CPPUNIT_ASSERT(!queue.tryPush(second));
        CPPUNIT_ASSERT_EQUAL(std::string("second"), second);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), queue.tryPop().value());
        CPPUNIT_ASSERT(!queue.tryPop());
    }

    // Guards against lost items when the consumer thread is stopped.
    void closedQueueDeliversQueuedItems()
    {
        BoundedRing<int> queue(4);
        CPPUNIT_ASSERT(queue.push(7));
        queue.close();
        CPPUNIT_ASSERT(!queue.push(8));
        CPPUNIT_ASSERT_EQUAL(7, queue.popFor(1s).value());
        CPPUNIT_ASSERT(!queue.popFor(1s));
    }

    // Guards against items reordered between producer and consumer thread.
    void itemsOfOneProducerKeepOrder()
    {
        constexpr int count = 10000;
        BoundedRing<int> queue(16);
        std::thread producer([&] {
            for (int i = 0; i < count; ++i)
                queue.push(i);
            queue.close();
        });
        int expected = 0;
        bool isOrdered = true;
        while (const auto item = queue.popFor(10s))
            isOrdered = isOrdered && *item == expected++;
        producer.join();
        CPPUNIT_ASSERT(isOrdered);
        CPPUNIT_ASSERT_EQUAL(count, expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedRingTest);

} // namespace hickoryknot

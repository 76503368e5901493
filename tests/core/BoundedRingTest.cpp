#include <cppunit/extensions/HelperMacros.h>
#include <thread>

#include "core/BoundedRing.h"

namespace hickoryknot {

class BoundedRingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BoundedRingTest);
    CPPUNIT_TEST(fullRingRefusesAndKeepsItem);
    CPPUNIT_TEST(closedRingDeliversWhatItHolds);
    CPPUNIT_TEST(itemsOfOneProducerKeepTheirOrder);
    CPPUNIT_TEST_SUITE_END();

    // Guards against silent loss when a consumer is slow.
    void fullRingRefusesAndKeepsItem()
    {
        BoundedRing<std::string> ring(1);
        std::string first = "first";
        std::string second = "second";
        CPPUNIT_ASSERT(ring.tryPush(first));
        CPPUNIT_ASSERT(!ring.tryPush(second));
        CPPUNIT_ASSERT_EQUAL(std::string("second"), second);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), ring.tryPop().value());
        CPPUNIT_ASSERT(!ring.tryPop());
    }

    // Guards against lost items when a duty stops.
    void closedRingDeliversWhatItHolds()
    {
        BoundedRing<int> ring(4);
        CPPUNIT_ASSERT(ring.push(7));
        ring.close();
        CPPUNIT_ASSERT(!ring.push(8));
        CPPUNIT_ASSERT_EQUAL(7, ring.popFor(1s).value());
        CPPUNIT_ASSERT(!ring.popFor(1s));
    }

    // Guards against reordering between two threads.
    void itemsOfOneProducerKeepTheirOrder()
    {
        constexpr int count = 10000;
        BoundedRing<int> ring(16);
        std::thread producer([&] {
            for (int i = 0; i < count; ++i)
                ring.push(i);
            ring.close();
        });
        int expected = 0;
        bool isOrdered = true;
        while (const auto item = ring.popFor(10s))
            isOrdered = isOrdered && *item == expected++;
        producer.join();
        CPPUNIT_ASSERT(isOrdered);
        CPPUNIT_ASSERT_EQUAL(count, expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedRingTest);

} // namespace hickoryknot

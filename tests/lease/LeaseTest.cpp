#include <cppunit/extensions/HelperMacros.h>
#include <random>

#include "lease/HeldLease.h"
#include "lease/LeaseTable.h"

namespace hickoryknot {

class LeaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseTest);
    CPPUNIT_TEST(holderStopsBeforeGrantorCountsItAsExpired);
    CPPUNIT_TEST(grantableLeaseEndsInTime);
    CPPUNIT_TEST(lateAnswersNeverShortenALease);
    CPPUNIT_TEST_SUITE_END();

    static TimePoint at(Duration time) { return TimePoint(time); }

    // Guards against two holders at the same time when clocks drift by up to 1% and step by up to 50 ms.
    void holderStopsBeforeGrantorCountsItAsExpired()
    {
        const LeaseTimes times;
        std::mt19937_64 random(21);
        for (int i = 0; i < 10000; ++i) {
            const double holderRate = 1 - 0.01 * static_cast<double>(random() % 1001) / 1000;
            const auto travel = Duration(random() % 100000);
            const auto step = Duration(random() % 50000);
            HeldLease held;
            held.renew(at(0s), times.task);
            LeaseTable table(times);
            table.recordGrant(1, at(travel), times.task);
            // The grantor's clock is exact; the holder's clock is slow and steps back.
            for (Duration now = travel; now < 5s; now += 10ms) {
                const Duration holderNow(static_cast<int64_t>(static_cast<double>(now.count()) * holderRate));
                const bool isHeld = held.isHeld(at(holderNow - step));
                CPPUNIT_ASSERT(!isHeld || table.mayRun(1, at(now)));
            }
        }
    }

    // Guards against a nested lease that ends after the lease that bounds it.
    void grantableLeaseEndsInTime()
    {
        const LeaseCalculator calculator({});
        for (Duration remaining = 0ms; remaining < 5s; remaining += 1ms) {
            const Duration lease = calculator.maxGrantable(at(0s), at(remaining), 3s);
            CPPUNIT_ASSERT(lease >= 0s && lease <= 3s);
            CPPUNIT_ASSERT(lease == 0s || calculator.expiry(at(0s), lease) <= at(remaining));
        }
        CPPUNIT_ASSERT(calculator.maxGrantable(at(0s), at(5s), 3s) == 3s);
    }

    // Guards against a response that arrives out of order and shortens the lease on one side only.
    void lateAnswersNeverShortenALease()
    {
        HeldLease held;
        CPPUNIT_ASSERT(!held.isHeld(at(0s)));
        held.renew(at(5s), 2s);
        held.renew(at(1s), 2s);
        CPPUNIT_ASSERT(held.isHeld(at(6s)) && !held.isHeld(at(7s)));
        LeaseTable table({});
        table.recordGrant(7, at(5s), 3s);
        table.recordGrant(7, at(1s), 3s);
        table.recordGrant(8, at(1s), 3s);
        std::vector<uint64_t> expired;
        table.appendExpired(at(5s), expired);
        CPPUNIT_ASSERT(expired == std::vector<uint64_t> { 8 });
        table.release(8);
        CPPUNIT_ASSERT(!table.mayRun(8, at(2s)) && table.mayRun(7, at(8s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

} // namespace hickoryknot

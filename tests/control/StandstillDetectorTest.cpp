#include <cppunit/extensions/HelperMacros.h>

#include "control/StandstillDetector.h"

namespace hickoryknot {

class StandstillDetectorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StandstillDetectorTest);
    CPPUNIT_TEST(requestsOfBeforeALongStandstillAreNotHandled);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a submission that lay in a socket for longer than its cancellation is kept, and then runs.
    void requestsOfBeforeALongStandstillAreNotHandled()
    {
        StandstillDetector detector(60s);
        const TimePoint start(100s);
        // A process that was started long after the machine has not stood still, nor one that was paused briefly.
        for (const Duration at : { 0s, 1s, 61s, 62s })
            CPPUNIT_ASSERT(!detector.check(start + at));
        CPPUNIT_ASSERT(detector.check(start + 123s) == Duration(61s));
        // Several requests lay there.
        CPPUNIT_ASSERT(detector.check(start + 123s) == Duration(61s));
        CPPUNIT_ASSERT(detector.check(start + 124s) == Duration(61s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandstillDetectorTest);

} // namespace hickoryknot

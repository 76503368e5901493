#include <cppunit/extensions/HelperMacros.h>
#include <pcg_random.hpp>

#include "placement/CapacityGrid.h"

namespace hickoryknot {

class CapacityGridTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CapacityGridTest);
    CPPUNIT_TEST(everyFittingWorkerIsVisited);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a search that misses a fitting worker, which would leave work waiting beside free capacity.
    void everyFittingWorkerIsVisited()
    {
        constexpr uint32_t workers = 200;
        pcg32 random(7);
        CapacityGrid grid;
        std::vector<Resources> open(workers);
        std::vector<bool> isInside(workers, false);
        const auto amount = [&] { return Resources { Millicores(random(200000)), Mebibytes(random(500000)), {} }; };
        for (int round = 0; round < 2000; ++round) {
            const uint32_t changed = random(workers);
            isInside[changed] = round % 7 != 0;
            open[changed] = amount();
            if (isInside[changed])
                grid.insertOrMove(changed, open[changed]);
            else
                grid.remove(changed);
            const Resources need = amount();
            std::vector<int> visits(workers, 0);
            grid.search(need, [&](WorkerIndex worker) { return ++visits[worker], true; });
            for (uint32_t worker = 0; worker < workers; ++worker) {
                const bool fits = isInside[worker] && need.fitsInto(open[worker]);
                CPPUNIT_ASSERT(visits[worker] == 1 || (visits[worker] == 0 && !fits));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityGridTest);

} // namespace hickoryknot

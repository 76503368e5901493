#include <cppunit/extensions/HelperMacros.h>
#include <pcg_random.hpp>

#include "placement/CapacityGrid.h"

namespace hickoryknot {

class CapacityGridTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CapacityGridTest);
    CPPUNIT_TEST(everyFittingWorkerIsVisited);
    CPPUNIT_TEST_SUITE_END();

    // If the search missed a fitting worker, tasks would wait although there is free capacity.
    void everyFittingWorkerIsVisited()
    {
        constexpr uint32_t workers = 200;
        pcg32 random(7);
        CapacityGrid grid;
        std::vector<Resources> available(workers);
        std::vector<bool> isInserted(workers, false);
        const auto amount = [&] { return Resources { Millicores(random(200000)), Mebibytes(random(500000)), {} }; };
        for (int round = 0; round < 2000; ++round) {
            const uint32_t changed = random(workers);
            isInserted[changed] = round % 7 != 0;
            available[changed] = amount();
            if (isInserted[changed])
                grid.insertOrMove(changed, available[changed]);
            else
                grid.remove(changed);
            const Resources need = amount();
            std::vector<int> visits(workers, 0);
            grid.search(need, [&](WorkerIndex worker) { return ++visits[worker], true; });
            for (uint32_t worker = 0; worker < workers; ++worker) {
                const bool fits = isInserted[worker] && need.fitsInto(available[worker]);
                CPPUNIT_ASSERT(visits[worker] == 1 || (visits[worker] == 0 && !fits));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityGridTest);

} // namespace hickoryknot

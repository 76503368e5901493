#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>

#include "processes/ProcessScenario.h"

namespace hickoryknot {

/// Runs all files of tests/scenarios/processes, or the one that SCENARIO names.
class ProcessScenarioTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProcessScenarioTest);
    CPPUNIT_TEST(allScenariosPass);
    CPPUNIT_TEST_SUITE_END();

    // The first line of each file describes the failure that it guards against.
    void allScenariosPass()
    {
        std::vector<std::string> files;
        const char* only = std::getenv("SCENARIO");
        for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_FOLDER "/processes")) {
            if (entry.path().extension() == ".scenario" && (!only || entry.path().stem() == only))
                files.push_back(entry.path());
        }
        std::sort(files.begin(), files.end());
        std::string failures;
        for (const auto& file : files) {
            ProcessScenario scenario;
            if (const auto failure = scenario.run(file))
                failures += *failure + "\n";
        }
        CPPUNIT_ASSERT(!files.empty());
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessScenarioTest);

} // namespace hickoryknot

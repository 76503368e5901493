#include <cppunit/TestCaller.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <filesystem>

#include "consensus/ScenarioRunner.h"

namespace hickoryknot {

namespace {

// One test per file in tests/scenarios. Each file names the failure it guards against.
class ScenarioTest : public CppUnit::TestCase {
public:
    explicit ScenarioTest(const std::filesystem::path& path)
        : TestCase("scenario " + path.stem().string())
        , m_path(path)
    {
    }

    void runTest() override
    {
        if (const auto failure = ScenarioRunner().run(m_path.string()))
            CPPUNIT_FAIL(*failure);
    }

private:
    std::filesystem::path m_path;
};

class ScenarioSuite {
public:
    static CppUnit::Test* suite()
    {
        std::set<std::filesystem::path> paths;
        for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_FOLDER)) {
            if (entry.path().extension() == ".scenario")
                paths.insert(entry.path());
        }
        auto suite = std::make_unique<CppUnit::TestSuite>("ScenarioTest");
        for (const auto& path : paths)
            suite->addTest(std::make_unique<ScenarioTest>(path).release());
        return suite.release();
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioSuite);

} // namespace hickoryknot

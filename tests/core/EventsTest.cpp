#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>

#include "core/Events.h"

namespace hickoryknot {

class EventsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventsTest);
    CPPUNIT_TEST(catalogueMatchesDocument);
    CPPUNIT_TEST_SUITE_END();

    // Guards against events that docs/events.md omits or describes differently.
    void catalogueMatchesDocument()
    {
        std::ostringstream expected;
        uint16_t previous = 0;
        for (const auto& description : eventCatalogue()) {
            const auto number = static_cast<uint16_t>(description.event);
            CPPUNIT_ASSERT(number > previous);
            previous = number;
            expected << "| " << number << " | " << description.name << " | " << description.meaning << " |\n";
        }
        std::ifstream file(SOURCE_FOLDER "/docs/events.md");
        std::string rows;
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("| ") && std::isdigit(static_cast<unsigned char>(line[2])))
                rows += line + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(expected.str(), rows);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsTest);

} // namespace hickoryknot

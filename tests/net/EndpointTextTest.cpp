#include <cppunit/extensions/HelperMacros.h>

#include "net/EndpointText.h"

namespace hickoryknot {

class EndpointTextTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EndpointTextTest);
    CPPUNIT_TEST(parsesNumericEndpoints);
    CPPUNIT_TEST(rejectsInvalidEndpoints);
    CPPUNIT_TEST_SUITE_END();

    // Guards against endpoints that change when formatted and parsed again.
    void parsesNumericEndpoints()
    {
        for (const std::string text : { "127.0.0.1:7000", "[::1]:1" })
            CPPUNIT_ASSERT_EQUAL(text, formatEndpoint(parseEndpoint(text).value()));
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, parseEndpoints("10.0.0.1:1,10.0.0.2:2").value().size());
    }

    // Guards against name lookups and truncated ports.
    void rejectsInvalidEndpoints()
    {
        for (const std::string text : { "", "localhost:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:1x",
                 "::1:1", "[127.0.0.1]:1", "127.0.0.1:-1" })
            CPPUNIT_ASSERT_MESSAGE(text, !parseEndpoint(text));
        CPPUNIT_ASSERT(!parseEndpoints("127.0.0.1:1,"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTextTest);

} // namespace hickoryknot

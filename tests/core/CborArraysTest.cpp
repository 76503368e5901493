#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "core/CborArrays.h"

namespace hickoryknot {

class CborArraysTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CborArraysTest);
    CPPUNIT_TEST(arraysRoundTrip);
    CPPUNIT_TEST(deepNestingIsRejected);
    CPPUNIT_TEST(otherInputIsRejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string encode(const nlohmann::json& value)
    {
        std::string bytes;
        nlohmann::json::to_cbor(value, bytes);
        return bytes;
    }

    void arraysRoundTrip()
    {
        const nlohmann::json value
            = { 1, -2, 1.5, "text", true, nullptr, nlohmann::json::binary({ 1, 2 }), { 1, { 2, { "three" } } }, { 4 } };
        const auto parsed = parseCborArrays(encode(value), 4);
        CPPUNIT_ASSERT(parsed);
        CPPUNIT_ASSERT(*parsed == value);
        CPPUNIT_ASSERT(!parseCborArrays(encode(value), 3));
    }

    // Guards against a process that one message ends: each level of nesting takes space on the stack.
    void deepNestingIsRejected()
    {
        for (const char opening : { '\x81', '\x9f', '\xa1', '\xbf', '\xc1' })
            CPPUNIT_ASSERT(!parseCborArrays(std::string(size_t { 4 } << 20, opening), 8));
    }

    // Guards against taking a message that was cut off, or followed by other bytes, for a whole one.
    void otherInputIsRejected()
    {
        const std::string whole = encode({ 1, { 2, "three" } });
        for (size_t length = 0; length < whole.size(); ++length)
            CPPUNIT_ASSERT(!parseCborArrays(whole.substr(0, length), 8));
        CPPUNIT_ASSERT(!parseCborArrays(whole + whole, 8));
        CPPUNIT_ASSERT(!parseCborArrays(encode({ { "name", 1 } }), 8));
        // An array with 2^63 elements.
        CPPUNIT_ASSERT(!parseCborArrays(std::string("\x9b\x80\x00\x00\x00\x00\x00\x00\x00", 9), 8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CborArraysTest);

} // namespace hickoryknot

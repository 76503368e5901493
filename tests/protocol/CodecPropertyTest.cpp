#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListener.h>
#include <sstream>

#include "protocol/ErrorCodec.h"
#include "protocol/MessageSamples.h"

namespace hickoryknot {

using nlohmann::json;

namespace {

/// Fixed, so that all runs test the same documents.
constexpr uint64_t propertySeed = 20261204;

/// Suppresses the progress output of rapidcheck.
class SilentListener : public rc::detail::TestListener {
public:
    void onTestCaseFinished(const rc::detail::CaseDescription&) override { }
    void onShrinkTried(const rc::detail::CaseDescription&, bool) override { }
    void onTestFinished(const rc::detail::TestMetadata&, const rc::detail::TestResult&) override { }
};

// Checks a property for every message type with random documents.
template <typename Property> void checkAllMessages(Property property)
{
    for (const auto& sample : messageSamples()) {
        const auto holds = [&](uint64_t seed) {
            pcg32 random(seed);
            property(sample, random);
        };
        SilentListener listener;
        const rc::detail::TestParams parameters { .seed = propertySeed };
        const auto result = rc::detail::checkProperty(
            rc::detail::toProperty(holds), rc::detail::TestMetadata(), parameters, listener, {});
        if (result.template is<rc::detail::SuccessResult>())
            continue;
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        CPPUNIT_FAIL(sample.name + ": " + text.str());
    }
}

// A rejected document gives an encodable error; an accepted one is unchanged by another decode and encode.
void checkReencoding(const MessageSample& sample, const std::string& document)
{
    const auto once = sample.reencode(document);
    if (!once) {
        RC_ASSERT(!once.error().message.empty());
        RC_ASSERT(json::accept(encodeError(once.error())));
        return;
    }
    const auto twice = sample.reencode(*once);
    RC_ASSERT(twice.has_value());
    RC_ASSERT(*twice == *once);
}

std::string mutate(std::string document, pcg32& random)
{
    const std::vector<std::string> fragments { "-1", "1.5", "1e999", "18446744073709551616", "null", "[[[[[[[[[[",
        "{\"\":", "\"", "\xff\xfe", std::string(1, '\0'), "\\ud800", "NaN", ",", "true" };
    for (uint32_t count = 1 + random(3); count > 0; --count) {
        const size_t at = random(static_cast<uint32_t>(document.size() + 1));
        const size_t length = std::min<size_t>(random(6), document.size() - at);
        switch (random(3)) {
        case 0:
            document.replace(at, length, fragments[random(static_cast<uint32_t>(fragments.size()))]);
            break;
        case 1:
            document.replace(at, length, std::string(length, static_cast<char>(random(256))));
            break;
        default:
            document.insert(at, document.substr(random(static_cast<uint32_t>(document.size() + 1)), random(30)));
        }
    }
    return document;
}

} // namespace

class CodecPropertyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CodecPropertyTest);
    CPPUNIT_TEST(roundTrips);
    CPPUNIT_TEST(handlesMutatedDocuments);
    CPPUNIT_TEST(handlesArbitraryBytes);
    CPPUNIT_TEST(rejectsNumbersOutOfRange);
    CPPUNIT_TEST(rejectsFieldsOfWrongType);
    CPPUNIT_TEST(rejectsUnknownFields);
    CPPUNIT_TEST_SUITE_END();

    // Guards against fields that are lost or altered by encode and decode.
    void roundTrips()
    {
        checkAllMessages([](const MessageSample& sample, pcg32& random) {
            const auto document = sample.make(random);
            const auto again = sample.reencode(document);
            RC_ASSERT(again.has_value());
            RC_ASSERT(*again == document);
        });
    }

    // Guards against crashes, and against accepting a document whose re-encoding is rejected.
    void handlesMutatedDocuments()
    {
        checkAllMessages([](const MessageSample& sample, pcg32& random) {
            for (int i = 0; i < 20; ++i)
                checkReencoding(sample, mutate(sample.make(random), random));
        });
    }

    // Guards against crashes on input that is not JSON.
    void handlesArbitraryBytes()
    {
        checkAllMessages([](const MessageSample& sample, pcg32& random) {
            std::string bytes(random(200), ' ');
            for (char& c : bytes)
                c = static_cast<char>(random(256));
            checkReencoding(sample, bytes);
            RC_ASSERT(!sample.reencode(bytes));
        });
    }

    // Guards against negative, fractional and overflowing numbers, and against errors that do not name the field.
    void rejectsNumbersOutOfRange()
    {
        checkAllMessages([](const MessageSample& sample, pcg32& random) {
            const auto document = json::parse(sample.make(random));
            for (const auto& [name, value] : document.items()) {
                if (!value.is_number())
                    continue;
                for (const json& wrong : { json(-1), json(0.5), json(1e300), json("7"), json(nullptr) }) {
                    auto changed = document;
                    changed[name] = wrong;
                    const auto result = sample.reencode(changed.dump());
                    RC_ASSERT(!result && result.error().message.starts_with(name + " must be a whole number from "));
                }
            }
        });
    }

    // Guards against a missing type check for any field.
    void rejectsFieldsOfWrongType()
    {
        checkAllMessages([](const MessageSample& sample, pcg32& random) {
            const auto document = json::parse(sample.make(random));
            for (const auto& field : document.items()) {
                auto changed = document;
                changed[field.key()] = json::array({ json::array() });
                const auto result = sample.reencode(changed.dump());
                RC_ASSERT(!result && result.error().message.starts_with(field.key()));
            }
        });
    }

    // Guards against misspelt optional fields that are silently ignored.
    void rejectsUnknownFields()
    {
        checkAllMessages([](const MessageSample& sample, pcg32& random) {
            auto document = json::parse(sample.make(random));
            document["homeZnoe"] = "z1";
            const auto result = sample.reencode(document.dump());
            RC_ASSERT(!result && result.error().message == "homeZnoe is not a field of this message");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecPropertyTest);

} // namespace hickoryknot

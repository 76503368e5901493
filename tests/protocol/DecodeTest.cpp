#include <cppunit/extensions/HelperMacros.h>

#include "protocol/Base64.h"
#include "protocol/CancelBatchCodec.h"
#include "protocol/ErrorCodec.h"
#include "protocol/OutcomeCodec.h"
#include "protocol/ProtocolLimits.h"
#include "protocol/ServerHeartbeatCodec.h"
#include "protocol/Utf8.h"
#include "protocol/WorkRequestCodec.h"
#include "protocol/WorkerHeartbeatCodec.h"

namespace hickoryknot {

class DecodeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecodeTest);
    CPPUNIT_TEST(errorsNameTheFieldPath);
    CPPUNIT_TEST(rejectsMessagesOverLimits);
    CPPUNIT_TEST(rejectsDuplicateFields);
    CPPUNIT_TEST(rejectsHostNamesAsAddresses);
    CPPUNIT_TEST(preservesNonUtf8Bytes);
    CPPUNIT_TEST(errorsPreserveCodeAndMessage);
    CPPUNIT_TEST(base64IsCanonical);
    CPPUNIT_TEST(utf8IsWellFormed);
    CPPUNIT_TEST_SUITE_END();

    template <typename T> static std::string messageOf(const Expected<T>& result)
    {
        CPPUNIT_ASSERT(!result);
        return result.error().message;
    }

    // Guards against errors that do not locate the fault in a long message.
    void errorsNameTheFieldPath()
    {
        WorkerHeartbeat heartbeat { .worker = WorkerId("w"), .zone = ZoneId("z"), .rack = RackId("r") };
        heartbeat.running = { { TaskId("t"), 1, {} }, { TaskId("not valid"), 1, {} } };
        CPPUNIT_ASSERT_EQUAL(
            std::string("running[1].taskId must be a string of 1 to 128 characters out of letters, digits and ._:-"),
            messageOf(decodeWorkerHeartbeat(encodeWorkerHeartbeat(heartbeat))));
        CPPUNIT_ASSERT_EQUAL(std::string("ids is missing"), messageOf(decodeCancelBatch(R"({"requestId":"r"})")));
        CPPUNIT_ASSERT_EQUAL(std::string("ids must be a list of from 1 to 10000 elements"),
            messageOf(decodeCancelBatch(R"({"requestId":"r","ids":[]})")));
    }

    // Guards against unbounded memory and stack use with malicious input.
    void rejectsMessagesOverLimits()
    {
        const auto codeOf = [](const std::string& text) { return decodeCancelBatch(text).error().code; };
        CPPUNIT_ASSERT(codeOf(std::string(protocol_limits::maxMessageBytes + 1, ' ')) == ErrorCode::TooLarge);
        CPPUNIT_ASSERT(codeOf(std::string(500'000, '[')) == ErrorCode::TooLarge);
        std::string list = R"({"requestId":"r","ids":["j")";
        for (size_t i = 0; i < protocol_limits::maxListLength; ++i)
            list += ",\"j\"";
        CPPUNIT_ASSERT(codeOf(list + "]}") == ErrorCode::TooLarge);
        const std::string body(protocol_limits::maxRequestBodyBytes + 1, 'x');
        CPPUNIT_ASSERT(
            decodeWorkRequest(encodeWorkRequest({ RequestId("r"), body })).error().code == ErrorCode::TooLarge);
    }

    // Guards against parsers that read different values from the same document.
    void rejectsDuplicateFields()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("the field \"ids\" appears twice"),
            messageOf(decodeCancelBatch(R"({"requestId":"r","ids":["a"],"ids":["b"]})")));
    }

    // Guards against DNS lookups.
    void rejectsHostNamesAsAddresses()
    {
        ServerHeartbeat heartbeat { .server = ServerId("s"),
            .zone = ZoneId("z"),
            .rack = RackId("r"),
            .port = 1,
            .slots = 1,
            .connectionLimit = 1 };
        for (const std::string address : { "localhost", "1.2.3", "1.2.3.4 ", "", "::1%lo", "0x7f.1" }) {
            heartbeat.address = address;
            CPPUNIT_ASSERT_EQUAL(std::string("address must be a numeric IPv4 or IPv6 address"),
                messageOf(decodeServerHeartbeat(encodeServerHeartbeat(heartbeat))));
        }
    }

    // Guards against responses that are altered on the way to the caller.
    void preservesNonUtf8Bytes()
    {
        const Outcome outcome { OutcomeKind::Done, "done", "", std::string("\xff\x00\xc0", 3) };
        CPPUNIT_ASSERT(decodeOutcome(encodeOutcome(outcome)).value() == outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("answer must not stand beside answerBase64"),
            messageOf(
                decodeOutcome(R"({"outcome":"done","reason":"","sentence":"","answer":"a","answerBase64":"YQ=="})")));
    }

    // Guards against error codes that are altered between hosts, and against bodies that are not error documents.
    void errorsPreserveCodeAndMessage()
    {
        const auto error = decodeError(encodeError({ ErrorCode::NotLeader, "h2 leads" }));
        CPPUNIT_ASSERT(error.code == ErrorCode::NotLeader && error.message == "h2 leads");
        for (const std::string text : { "", "<html>", "{}", R"({"error":1})", R"({"error":{"code":"made_up"}})" })
            CPPUNIT_ASSERT(decodeError(text).code == ErrorCode::Unavailable);
    }

    // Guards against several encodings of the same bytes, and against reads past the end of the text.
    void base64IsCanonical()
    {
        for (const std::string bytes : { "", "f", "fo", "foo", "foob" })
            CPPUNIT_ASSERT_EQUAL(bytes, decodeBase64(encodeBase64(bytes)).value());
        CPPUNIT_ASSERT_EQUAL(std::string("Zm9vYg=="), encodeBase64("foob"));
        for (const std::string text : { "Z", "Zg", "Zh==", "Zg=a", "====", "Zm9=Zm9v", "Zm 9" })
            CPPUNIT_ASSERT_MESSAGE(text, !decodeBase64(text));
    }

    // Guards against overlong forms, surrogates and truncated characters.
    void utf8IsWellFormed()
    {
        for (const std::string text : { "", "a", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80", "\xf4\x8f\xbf\xbf" })
            CPPUNIT_ASSERT(isUtf8(text));
        for (const std::string text :
            { "\x80", "\xc0\x80", "\xe0\x80\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xc3", "\xf5" })
            CPPUNIT_ASSERT(!isUtf8(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodeTest);

} // namespace hickoryknot

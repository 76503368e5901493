#include <cppunit/extensions/HelperMacros.h>
#include <pcg_random.hpp>

#include "consensus/LogMessage.h"

namespace hickoryknot {

class LogMessageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogMessageTest);
    CPPUNIT_TEST(returnsEveryKind);
    CPPUNIT_TEST(refusesDamage);
    CPPUNIT_TEST(refusesDeepNesting);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<LogMessage> samples()
    {
        const StoreIdentity identity { static_cast<StoreId>(0xfedcba9876543210), 3, static_cast<SessionId>(9) };
        Membership members;
        members.set({ HostId("a"), identity.store, true, false });
        members.set({ HostId("b"), StoreId::None, false, true });
        AppendRequest append { .previousIndex = 4,
            .previousTerm = 2,
            .entries = {},
            .commitIndex = 4,
            .round = 8,
            .evidence = { { HostId("b"), identity, 2, 4 } } };
        append.entries = { { 5, 2, EntryKind::Payload, std::string("\0\xff binary", 9) },
            { 6, 3, EntryKind::Empty, "" }, { 7, 3, EntryKind::Members, encodeMembership(members) } };
        const std::vector<LogMessageBody> bodies {
            VoteRequest { 5, 9, 4, true, false },
            VoteResponse { 5, false, true },
            append,
            AppendResponse { true, true, 7, 0, 0, 8 },
            SnapshotChunk { 90, 4, members, 5000, 77, 256, std::string(300, '\x80'), 9 },
            SnapshotResponse { 90, 556, 9 },
            TimeoutNow {},
            IdentityCheck { 4, 90 },
            IdentityCheckResponse { identity, true, false },
        };
        std::vector<LogMessage> messages;
        for (const auto& body : bodies)
            messages.push_back({ "cell", HostId("a"), identity, HostId("b"), 6, body });
        return messages;
    }

    // Guards against fields that are lost or swapped on the wire.
    void returnsEveryKind()
    {
        const auto messages = samples();
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<LogMessageBody>, messages.size());
        for (const auto& message : messages) {
            const auto decoded = decodeLogMessage(encodeLogMessage(message));
            CPPUNIT_ASSERT_MESSAGE(decoded ? "" : decoded.error().message, decoded.has_value());
            CPPUNIT_ASSERT(*decoded == message);
        }
    }

    // Guards against a crash or exception on bytes that are no message.
    void refusesDamage()
    {
        pcg32 random(5);
        for (const auto& message : samples()) {
            const std::string bytes = encodeLogMessage(message);
            for (size_t size = 0; size < bytes.size(); ++size)
                CPPUNIT_ASSERT(!decodeLogMessage(bytes.substr(0, size)));
            for (int i = 0; i < 2000; ++i) {
                std::string damaged = bytes;
                for (unsigned changes = random(4) + 1; changes; --changes)
                    damaged[random(static_cast<uint32_t>(damaged.size()))] = static_cast<char>(random(256));
                static_cast<void>(decodeLogMessage(damaged));
            }
        }
    }

    // Guards against exhausting the stack with nested arrays.
    void refusesDeepNesting() { CPPUNIT_ASSERT(!decodeLogMessage(std::string(10'000'000, '\x81'))); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogMessageTest);

} // namespace hickoryknot

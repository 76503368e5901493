#include "net/MessageTransport.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <string>
#include <vector>

#include "net/MemoryBudget.h"
#include "net/MessageFrame.h"

namespace hickoryknot {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class MessageTransportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MessageTransportTest);
    CPPUNIT_TEST(messagesArriveInOrder);
    CPPUNIT_TEST(largeMessageArrivesWhole);
    CPPUNIT_TEST(oversizeMessageClosesTheConnection);
    CPPUNIT_TEST(dropsMessagesBeyondTheQueueLimit);
    CPPUNIT_TEST(delaysReconnectAfterFailure);
    CPPUNIT_TEST(reconnectsWithoutAcks);
    CPPUNIT_TEST(keepsConnectionWithLittleTraffic);
    CPPUNIT_TEST(closesIncompleteMessages);
    CPPUNIT_TEST_SUITE_END();

    struct Received {
        uint8_t kind;
        std::string bytes;
    };

    asio::io_context m_io;
    std::vector<Received> m_received;
    std::optional<Error> m_rejection;

    MessageTransport::Handler collect()
    {
        return [this](uint8_t kind, std::string_view bytes) { m_received.push_back({ kind, std::string(bytes) }); };
    }

    MessageTransport::PeerRejected recordRejection()
    {
        return [this](const Error& error) { m_rejection = error; };
    }

    template <typename Condition> void runUntil(Condition isDone, Duration limit = 10s)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone()) {
            CPPUNIT_ASSERT_MESSAGE("took too long", std::chrono::steady_clock::now() < end);
            m_io.run_one_for(10ms);
            m_io.restart();
        }
    }

    // Guards against frames parsed wrongly when several arrive in one read or one arrives in several reads.
    void messagesArriveInOrder()
    {
        MessageTransport receiver(m_io, {}, collect(), recordRejection());
        CPPUNIT_ASSERT(receiver.listen({ "127.0.0.1", 0 }));
        MessageTransport sender(m_io, {}, collect(), recordRejection());
        constexpr int count = 500;
        for (int i = 0; i < count; ++i)
            CPPUNIT_ASSERT(
                sender.send({ "127.0.0.1", receiver.port() }, static_cast<uint8_t>(1 + i % 3), std::to_string(i)));
        runUntil([&] { return m_received.size() == count; });
        for (int i = 0; i < count; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), m_received[static_cast<size_t>(i)].bytes);
            CPPUNIT_ASSERT_EQUAL(1 + i % 3, static_cast<int>(m_received[static_cast<size_t>(i)].kind));
        }
    }

    // Guards against a read buffer that does not grow, or loses data received after a large message.
    void largeMessageArrivesWhole()
    {
        MessageTransport receiver(m_io, {}, collect(), recordRejection());
        CPPUNIT_ASSERT(receiver.listen({ "127.0.0.1", 0 }));
        MessageTransport sender(m_io, {}, collect(), recordRejection());
        const Endpoint peer { "127.0.0.1", receiver.port() };
        const std::string large(1'000'000, 'x');
        CPPUNIT_ASSERT(sender.send(peer, 1, "before"));
        CPPUNIT_ASSERT(sender.send(peer, 1, large));
        CPPUNIT_ASSERT(sender.send(peer, 1, "after"));
        runUntil([&] { return m_received.size() == 3; });
        CPPUNIT_ASSERT(m_received[1].bytes == large);
        CPPUNIT_ASSERT_EQUAL(std::string("after"), m_received[2].bytes);
    }

    // Guards against a peer that makes this host allocate memory without limit.
    void oversizeMessageClosesTheConnection()
    {
        MessageTransport receiver(m_io, { .maxMessageBytes = 100 }, collect(), recordRejection());
        CPPUNIT_ASSERT(receiver.listen({ "127.0.0.1", 0 }));
        MessageTransport sender(m_io, {}, collect(), recordRejection());
        CPPUNIT_ASSERT(sender.send({ "127.0.0.1", receiver.port() }, 1, std::string(101, 'x')));
        runUntil([&] { return m_rejection.has_value(); });
        CPPUNIT_ASSERT(ErrorCode::TooLarge == m_rejection->code);
        CPPUNIT_ASSERT(m_received.empty());
    }

    // Guards against incomplete messages that hold memory for ever, or as much as they announce.
    void closesIncompleteMessages()
    {
        const auto memory = std::make_shared<MemoryBudget>();
        MessageTransport receiver(m_io, { .messageTimeout = 100ms, .maxInboundConnections = 1, .memory = memory },
            collect(), recordRejection());
        CPPUNIT_ASSERT(receiver.listen({ "127.0.0.1", 0 }));
        const tcp::endpoint address(asio::ip::make_address("127.0.0.1"), receiver.port());
        tcp::socket replaced(m_io);
        replaced.connect(address);
        tcp::socket incomplete(m_io);
        incomplete.connect(address);
        std::string frame;
        message_frame::append(frame, 1, std::string(1'000'000, 'x'));
        asio::write(incomplete, asio::buffer(frame, 100'000));
        runUntil([&] { return memory->heldBytes(MemoryPool::Hosts) >= 100'000; });
        CPPUNIT_ASSERT(memory->heldBytes(MemoryPool::Hosts) < 300'000);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, receiver.counters().evictedConnections);
        runUntil([&] { return memory->heldBytes(MemoryPool::Hosts) == 0; });
    }

    // Guards against an unbounded queue for a host that does not read its messages.
    void dropsMessagesBeyondTheQueueLimit()
    {
        tcp::acceptor silent(m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        MessageTransport sender(m_io, { .maxQueuedBytes = 1000 }, collect(), recordRejection());
        const Endpoint peer { "127.0.0.1", silent.local_endpoint().port() };
        CPPUNIT_ASSERT(sender.send(peer, 1, std::string(900, 'x')));
        CPPUNIT_ASSERT(!sender.send(peer, 1, std::string(900, 'x')));
    }

    // Guards against a connection attempt for each message to a host that is down.
    void delaysReconnectAfterFailure()
    {
        uint16_t port = 0;
        {
            tcp::acceptor closed(m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            port = closed.local_endpoint().port();
        }
        MessageTransport sender(m_io, { .reconnectDelay = 200ms }, collect(), recordRejection());
        CPPUNIT_ASSERT(sender.send({ "127.0.0.1", port }, 1, "lost"));
        runUntil([&] { return !sender.send({ "127.0.0.1", port }, 1, "dropped"); });
        // The connection is retried after the delay.
        runUntil([&] { return sender.send({ "127.0.0.1", port }, 1, "lost"); });
    }

    // Guards against sending forever on a half-open connection.
    void reconnectsWithoutAcks()
    {
        tcp::acceptor silent(m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        std::vector<tcp::socket> accepted;
        std::function<void()> accept = [&] {
            silent.async_accept([&](boost::system::error_code error, tcp::socket socket) {
                if (error)
                    return;
                accepted.push_back(std::move(socket));
                accept();
            });
        };
        accept();
        MessageTransport sender(
            m_io, { .reconnectDelay = 10ms, .probeAfter = 20ms, .ackTimeout = 60ms }, collect(), recordRejection());
        const Endpoint peer { "127.0.0.1", silent.local_endpoint().port() };
        runUntil([&] {
            sender.send(peer, 1, "tick");
            return accepted.size() >= 2;
        });
        silent.close();
    }

    // Guards against closing a working connection that carries little traffic.
    void keepsConnectionWithLittleTraffic()
    {
        tcp::acceptor acceptor(m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const uint16_t port = acceptor.local_endpoint().port();
        acceptor.close();
        MessageTransport receiver(m_io, {}, collect(), recordRejection());
        CPPUNIT_ASSERT(receiver.listen({ "127.0.0.1", port }));
        MessageTransport sender(
            m_io, { .reconnectDelay = 10ms, .probeAfter = 20ms, .ackTimeout = 80ms }, collect(), recordRejection());
        const auto startedAt = std::chrono::steady_clock::now();
        int sent = 0;
        runUntil([&] {
            // Two messages in short succession: only the first is acknowledged without a probe.
            if (sender.send({ "127.0.0.1", port }, 1, "a"))
                ++sent;
            const auto next = std::chrono::steady_clock::now() + 120ms;
            while (std::chrono::steady_clock::now() < next) {
                m_io.run_one_for(5ms);
                m_io.restart();
            }
            return std::chrono::steady_clock::now() - startedAt > 700ms;
        });
        // A closed connection would lose or drop messages.
        runUntil([&] { return m_received.size() == static_cast<size_t>(sent); });
        CPPUNIT_ASSERT(sent >= 5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageTransportTest);

} // namespace hickoryknot

#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/MessageTransportSettings.h"

namespace hickoryknot {

/// An outgoing connection of MessageTransport: connects on demand, writes queued messages, and closes the connection if
/// the peer does not acknowledge them in time.
class OutboundConnection : public std::enable_shared_from_this<OutboundConnection> {
public:
    OutboundConnection(boost::asio::io_context&, const MessageTransportSettings&, boost::asio::ip::tcp::endpoint);

    /// False: the message was dropped.
    bool send(uint8_t kind, std::string_view bytes);

    /// Closes the connection and discards queued messages. Later messages are dropped.
    void close();

private:
    void connect();
    void scheduleFlush();
    void flush();
    void readAcks();
    void scheduleAckCheck();
    void disconnect();

    boost::asio::io_context& m_io;
    MessageTransportSettings m_settings;
    boost::asio::ip::tcp::endpoint m_peer;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::steady_timer m_ackTimer;
    std::string m_sendQueue;
    std::string m_writeBuffer;
    std::array<char, 64> m_ackBuffer {};
    bool m_isConnecting { false };
    bool m_isConnected { false };
    bool m_isFlushScheduled { false };
    bool m_isAckCheckScheduled { false };
    bool m_isClosed { false };
    /// Incremented for each connection attempt and disconnect, so that handlers of an earlier connection do nothing.
    uint64_t m_connectionGeneration { 0 };
    std::optional<std::chrono::steady_clock::time_point> m_unacknowledgedSince;
    std::chrono::steady_clock::time_point m_nextConnectAt;
};

} // namespace hickoryknot

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>

#include "core/Error.h"
#include "net/ClientLimitCounters.h"
#include "net/HttpMessage.h"
#include "net/MessageTransportSettings.h"

namespace hickoryknot {

class InboundConnection;
class OutboundConnection;

/// Sends and receives one-way messages between hosts over one TCP connection in each direction. A message costs a
/// fraction of an HTTP call: frames that are ready at the same time share one write and one read, and messages have no
/// responses. Messages from one host arrive in the order in which they were sent or not at all; messages in flight when
/// a connection breaks are lost without notification. Not thread-safe: use only from the io_context's thread.
class MessageTransport {
public:
    /// `kind` is the value passed to send(); the bytes are valid only during the call.
    using Handler = std::function<void(uint8_t kind, std::string_view bytes)>;

    /// Called when a connection is closed because the peer sent an invalid message.
    using PeerRejected = std::function<void(const Error&)>;

    MessageTransport(boost::asio::io_context&, MessageTransportSettings, Handler, PeerRejected);
    ~MessageTransport();
    MessageTransport(const MessageTransport&) = delete;
    MessageTransport& operator=(const MessageTransport&) = delete;

    /// Accepts connections from other hosts. Unavailable: the address cannot be bound.
    Expected<void> listen(const Endpoint&);

    /// Queues a message. False: the message was dropped because the peer's queue is full, the reconnect delay has not
    /// passed, or the address is not an IP address. `kind` must not be 0.
    bool send(const Endpoint& peer, uint8_t kind, std::string_view bytes);

    /// The bound port; the one chosen by the system if listen() was given port 0.
    uint16_t port() const { return m_port; }

    const ClientLimitCounters& counters() const { return m_counters; }

private:
    void accept();
    /// Closes overdue connections, now and from time to time.
    void closeOverdue();

    boost::asio::io_context& m_io;
    MessageTransportSettings m_settings;
    Handler m_handler;
    PeerRejected m_onPeerRejected;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    boost::asio::steady_timer m_overdueTimer;
    ClientLimitCounters m_counters;
    uint16_t m_port { 0 };
    std::map<std::pair<std::string, uint16_t>, std::shared_ptr<OutboundConnection>> m_outbound;
    std::set<std::shared_ptr<InboundConnection>> m_inbound;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot

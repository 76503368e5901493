#include "net/OutboundConnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "net/MessageFrame.h"

namespace hickoryknot {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using tcp = asio::ip::tcp;

OutboundConnection::OutboundConnection(
    asio::io_context& io, const MessageTransportSettings& settings, tcp::endpoint peer)
    : m_io(io)
    , m_settings(settings)
    , m_peer(std::move(peer))
    , m_socket(io)
    , m_connectTimer(io)
    , m_ackTimer(io)
{
}

bool OutboundConnection::send(uint8_t kind, std::string_view bytes)
{
    const bool isBackingOff = !m_isConnected && !m_isConnecting && Clock::now() < m_nextConnectAt;
    if (m_isClosed || isBackingOff || m_sendQueue.size() + bytes.size() > m_settings.maxQueuedBytes)
        return false;
    message_frame::append(m_sendQueue, kind, bytes);
    if (m_isConnected)
        scheduleFlush();
    else if (!m_isConnecting)
        connect();
    return true;
}

void OutboundConnection::close()
{
    m_isClosed = true;
    m_connectTimer.cancel();
    m_ackTimer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

void OutboundConnection::connect()
{
    m_isConnecting = true;
    ++m_connectionGeneration;
    m_connectTimer.expires_after(m_settings.connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this(), generation = m_connectionGeneration](error_code error) {
        if (!error && self->m_isConnecting && generation == self->m_connectionGeneration)
            self->disconnect();
    });
    m_socket.async_connect(m_peer, [self = shared_from_this(), generation = m_connectionGeneration](error_code error) {
        if (self->m_isClosed || generation != self->m_connectionGeneration || !self->m_isConnecting)
            return;
        if (error)
            return self->disconnect();
        self->m_connectTimer.cancel();
        self->m_isConnecting = false;
        self->m_isConnected = true;
        error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->readAcks();
        self->flush();
    });
}

// Messages sent in one iteration of the event loop share a write.
void OutboundConnection::scheduleFlush()
{
    if (!m_writeBuffer.empty() || std::exchange(m_isFlushScheduled, true))
        return;
    asio::post(m_io, [self = shared_from_this()] {
        self->m_isFlushScheduled = false;
        self->flush();
    });
}

void OutboundConnection::flush()
{
    if (m_isClosed || !m_isConnected || !m_writeBuffer.empty() || m_sendQueue.empty())
        return;
    std::swap(m_writeBuffer, m_sendQueue);
    if (!m_unacknowledgedSince)
        m_unacknowledgedSince = Clock::now();
    scheduleAckCheck();
    asio::async_write(m_socket, asio::buffer(m_writeBuffer),
        [self = shared_from_this(), generation = m_connectionGeneration](error_code error, size_t) {
            if (self->m_isClosed || generation != self->m_connectionGeneration)
                return;
            if (error)
                return self->disconnect();
            self->m_writeBuffer.clear();
            self->flush();
        });
}

void OutboundConnection::readAcks()
{
    m_socket.async_read_some(asio::buffer(m_ackBuffer),
        [self = shared_from_this(), generation = m_connectionGeneration](error_code error, size_t) {
            if (self->m_isClosed || generation != self->m_connectionGeneration)
                return;
            if (error)
                return self->disconnect();
            self->m_unacknowledgedSince.reset();
            self->readAcks();
        });
}

void OutboundConnection::scheduleAckCheck()
{
    if (std::exchange(m_isAckCheckScheduled, true))
        return;
    m_ackTimer.expires_after(m_settings.probeAfter);
    m_ackTimer.async_wait([self = shared_from_this()](error_code error) {
        self->m_isAckCheckScheduled = false;
        if (error || self->m_isClosed || !self->m_isConnected || !self->m_unacknowledgedSince)
            return;
        const auto unacknowledged = Clock::now() - *self->m_unacknowledgedSince;
        if (unacknowledged >= self->m_settings.ackTimeout)
            return self->disconnect();
        if (unacknowledged >= self->m_settings.probeAfter)
            self->send(message_frame::probeKind, {});
        self->scheduleAckCheck();
    });
}

void OutboundConnection::disconnect()
{
    // Pending handlers of this connection see that the generation has changed and do nothing.
    ++m_connectionGeneration;
    m_isConnecting = m_isConnected = false;
    m_unacknowledgedSince.reset();
    m_sendQueue.clear();
    m_writeBuffer.clear();
    m_nextConnectAt = Clock::now() + m_settings.reconnectDelay;
    error_code ignored;
    m_connectTimer.cancel();
    // A reset discards unsent data, which must not reach the peer after a network partition heals: the sender already
    // counts it as lost.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

} // namespace hickoryknot

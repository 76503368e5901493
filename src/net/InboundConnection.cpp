#include "net/InboundConnection.h"

#include <algorithm>
#include <boost/asio/write.hpp>

#include "net/MessageFrame.h"

namespace hickoryknot {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

/// Initial size of the read buffer. It grows to hold a larger message and shrinks after that message is handled.
constexpr size_t initialBufferBytes = size_t { 16 } * 1024;
/// Minimum time between two unsolicited acknowledgements; shorter than the sender's probe delay.
constexpr Duration ackInterval = 75ms;

} // namespace

InboundConnection::InboundConnection(
    asio::ip::tcp::socket socket, const MessageTransportSettings& settings, Handler handler, CloseHandler closeHandler)
    : m_socket(std::move(socket))
    , m_settings(settings)
    , m_handler(std::move(handler))
    , m_closeHandler(std::move(closeHandler))
    , m_buffer(initialBufferBytes, '\0')
    , m_lastReceivedAt(Clock::now())
{
}

void InboundConnection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    error_code ignored;
    m_socket.close(ignored);
}

void InboundConnection::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer.data() + m_bufferedBytes, m_buffer.size() - m_bufferedBytes),
        [self = shared_from_this()](error_code error, size_t bytes) {
            if (self->m_isClosed)
                return;
            const Clock::time_point now = Clock::now();
            self->m_lastReceivedAt = now;
            self->m_bufferedBytes += bytes;
            const auto handled = error ? Expected<void>() : self->handleMessages(now);
            if (self->m_isClosed)
                return;
            if (!error && handled)
                return self->read();
            self->close();
            self->m_closeHandler(self, handled ? std::nullopt : std::optional(handled.error()));
        });
}

Expected<void> InboundConnection::handleMessages(Clock::time_point now)
{
    size_t consumed = 0;
    bool isProbed = false;
    size_t neededBytes = initialBufferBytes;
    while (m_bufferedBytes - consumed >= message_frame::headerBytes) {
        const std::string_view rest(m_buffer.data() + consumed, m_bufferedBytes - consumed);
        const size_t size = message_frame::sizeOf(rest);
        if (size > m_settings.maxMessageBytes)
            return makeError(ErrorCode::TooLarge,
                "the header of a message between hosts gives a length of " + std::to_string(size) + " bytes");
        if (rest.size() < message_frame::headerBytes + size) {
            neededBytes = std::max(neededBytes, message_frame::headerBytes + size);
            break;
        }
        const auto kind = static_cast<uint8_t>(rest[message_frame::headerBytes - 1]);
        if (kind == message_frame::probeKind)
            isProbed = true;
        else
            m_handler(kind, rest.substr(message_frame::headerBytes, size));
        if (m_isClosed)
            return {};
        consumed += message_frame::headerBytes + size;
    }
    m_buffer.erase(0, consumed);
    m_bufferedBytes -= consumed;
    m_buffer.resize(std::max(neededBytes, m_bufferedBytes + 1));
    if (isProbed || now - m_lastAckAt >= ackInterval)
        sendAck(now);
    return {};
}

void InboundConnection::sendAck(Clock::time_point now)
{
    if (std::exchange(m_isSendingAck, true))
        return;
    m_lastAckAt = now;
    asio::async_write(
        m_socket, asio::buffer(&message_frame::ackByte, 1), [self = shared_from_this()](error_code, size_t) {
            // A failed write is handled by the next read, which fails too.
            self->m_isSendingAck = false;
        });
}

} // namespace hickoryknot

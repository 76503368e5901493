#include "net/InboundConnection.h"

#include <algorithm>
#include <boost/asio/write.hpp>

#include "net/MessageFrame.h"

namespace hickoryknot {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

/// Initial size of the read buffer. It grows with the bytes of a larger message as they arrive, whatever length is
/// announced, and shrinks after that message is handled.
constexpr size_t initialBufferBytes = size_t { 16 } * 1024;
/// A buffer up to this size is kept, so that messages of ordinary size need no allocation.
constexpr size_t maxKeptBufferBytes = size_t { 64 } * 1024;
/// Minimum time between two unsolicited acknowledgements; shorter than the sender's probe delay.
constexpr Duration ackInterval = 75ms;

TimePoint toTimePoint(Clock::time_point time)
{
    return TimePoint(std::chrono::duration_cast<Duration>(time.time_since_epoch()));
}

std::string peerOf(const asio::ip::tcp::socket& socket)
{
    error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

} // namespace

InboundConnection::InboundConnection(
    asio::ip::tcp::socket socket, const MessageTransportSettings& settings, Handler handler, CloseHandler closeHandler)
    : m_socket(std::move(socket))
    , m_settings(settings)
    , m_handler(std::move(handler))
    , m_closeHandler(std::move(closeHandler))
    , m_charge(settings.memory, MemoryPool::Hosts, peerOf(m_socket),
          [this] {
              close();
              m_closeHandler(shared_from_this(), Error { ErrorCode::Overloaded, "no memory for a message" });
          })
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
    m_charge.release();
}

bool InboundConnection::isOverdue(Clock::time_point now) const
{
    return now - m_lastReceivedAt > m_settings.idleTimeout
        || (m_incompleteSince && now - *m_incompleteSince > m_settings.messageTimeout);
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
        m_incompleteSince.reset();
    }
    m_buffer.erase(0, consumed);
    m_bufferedBytes -= consumed;
    if (auto prepared = prepareBuffer(neededBytes, now); !prepared)
        return prepared;
    if (isProbed || now - m_lastAckAt >= ackInterval)
        sendAck(now);
    return {};
}

Expected<void> InboundConnection::prepareBuffer(size_t neededBytes, Clock::time_point now)
{
    if (!m_bufferedBytes)
        m_incompleteSince.reset();
    else if (!m_incompleteSince)
        m_incompleteSince = now;
    const size_t grownBytes = std::max(initialBufferBytes, 2 * m_bufferedBytes);
    m_buffer.resize(std::max(std::min(neededBytes, grownBytes), m_bufferedBytes + 1));
    if (m_buffer.capacity() > maxKeptBufferBytes && m_buffer.size() <= initialBufferBytes)
        m_buffer.shrink_to_fit();
    if (m_incompleteSince)
        m_charge.setDroppableSince(toTimePoint(*m_incompleteSince));
    if (!m_charge.resize(m_incompleteSince ? m_buffer.capacity() : 0, toTimePoint(now)))
        return makeError(ErrorCode::Overloaded, "there is no memory for an incomplete message between hosts");
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

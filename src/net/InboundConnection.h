#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/Error.h"
#include "net/MemoryCharge.h"
#include "net/MessageTransportSettings.h"

namespace hickoryknot {

/// An accepted connection of MessageTransport: splits the received bytes into messages and acknowledges receipt
/// periodically and on request.
class InboundConnection : public std::enable_shared_from_this<InboundConnection> {
public:
    using Handler = std::function<void(uint8_t kind, std::string_view bytes)>;
    /// The error is empty if the peer closed the connection or the read failed.
    using CloseHandler = std::function<void(const std::shared_ptr<InboundConnection>&, const std::optional<Error>&)>;

    InboundConnection(boost::asio::ip::tcp::socket, const MessageTransportSettings&, Handler, CloseHandler);

    void start() { read(); }
    void close();

    /// True if nothing has arrived, or a message has been incomplete, for too long.
    bool isOverdue(std::chrono::steady_clock::time_point now) const;

    std::chrono::steady_clock::time_point lastReceivedAt() const { return m_lastReceivedAt; }

private:
    void read();
    /// Calls the handler for each complete message in the buffer. TooLarge: a message exceeds the limit.
    Expected<void> handleMessages(std::chrono::steady_clock::time_point now);
    /// Sizes the buffer for the next read, and charges it. Overloaded: the memory budget has no room.
    Expected<void> prepareBuffer(size_t neededBytes, std::chrono::steady_clock::time_point now);
    void sendAck(std::chrono::steady_clock::time_point now);

    boost::asio::ip::tcp::socket m_socket;
    MessageTransportSettings m_settings;
    Handler m_handler;
    CloseHandler m_closeHandler;
    MemoryCharge m_charge;
    std::string m_buffer;
    size_t m_bufferedBytes { 0 };
    bool m_isSendingAck { false };
    bool m_isClosed { false };
    std::chrono::steady_clock::time_point m_lastAckAt;
    std::chrono::steady_clock::time_point m_lastReceivedAt;
    /// Set while a message is incomplete.
    std::optional<std::chrono::steady_clock::time_point> m_incompleteSince;
};

} // namespace hickoryknot

#include "net/MessageTransport.h"

#include <algorithm>

#include "core/Assert.h"
#include "net/InboundConnection.h"
#include "net/MemoryBudget.h"
#include "net/MessageFrame.h"
#include "net/OutboundConnection.h"

namespace hickoryknot {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using tcp = asio::ip::tcp;

namespace {

/// Delay after a failed accept; prevents a busy loop when the process is out of file descriptors.
constexpr Duration acceptRetryDelay = 100ms;
constexpr Duration overdueCheckPeriod = 1s;

} // namespace

MessageTransport::MessageTransport(
    asio::io_context& io, MessageTransportSettings settings, Handler handler, PeerRejected onPeerRejected)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_handler(std::move(handler))
    , m_onPeerRejected(std::move(onPeerRejected))
    , m_acceptor(io)
    , m_acceptTimer(io)
    , m_overdueTimer(io)
{
    if (!m_settings.memory)
        m_settings.memory = std::make_shared<MemoryBudget>();
}

MessageTransport::~MessageTransport()
{
    *m_isAlive = false;
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& [peer, connection] : m_outbound)
        connection->close();
    for (const auto& connection : m_inbound)
        connection->close();
}

Expected<void> MessageTransport::listen(const Endpoint& address)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.address, error), address.port);
    if (!error)
        m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return makeError(ErrorCode::Unavailable,
            "cannot listen for messages between hosts on " + address.address + ":" + std::to_string(address.port) + ": "
                + error.message());
    m_port = m_acceptor.local_endpoint(error).port();
    accept();
    closeOverdue();
    return {};
}

void MessageTransport::accept()
{
    m_acceptor.async_accept([this, alive = m_isAlive](error_code failed, tcp::socket socket) {
        if (!*alive)
            return;
        if (failed) {
            m_acceptTimer.expires_after(acceptRetryDelay);
            m_acceptTimer.async_wait([this, alive](error_code cancelled) {
                if (!cancelled && *alive)
                    accept();
            });
            return;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        if (m_inbound.size() >= m_settings.maxInboundConnections) {
            const auto oldest = std::min_element(m_inbound.begin(), m_inbound.end(),
                [](const auto& a, const auto& b) { return a->lastReceivedAt() < b->lastReceivedAt(); });
            (*oldest)->close();
            m_inbound.erase(oldest);
            ++m_counters.evictedConnections;
        }
        auto connection = std::make_shared<InboundConnection>(
            std::move(socket), m_settings,
            [this, alive](uint8_t kind, std::string_view bytes) {
                if (*alive)
                    m_handler(kind, bytes);
            },
            [this, alive](const std::shared_ptr<InboundConnection>& closed, const std::optional<Error>& error) {
                if (!*alive)
                    return;
                if (error && error->code == ErrorCode::Overloaded)
                    ++m_counters.droppedConnections;
                else if (error)
                    m_onPeerRejected(*error);
                m_inbound.erase(closed);
            });
        m_inbound.insert(connection);
        connection->start();
        accept();
    });
}

void MessageTransport::closeOverdue()
{
    // Hosts behind a network partition leave half-open connections behind.
    std::erase_if(m_inbound, [now = Clock::now()](const auto& connection) {
        const bool isOverdue = connection->isOverdue(now);
        if (isOverdue)
            connection->close();
        return isOverdue;
    });
    m_overdueTimer.expires_after(overdueCheckPeriod);
    m_overdueTimer.async_wait([this, alive = m_isAlive](error_code cancelled) {
        if (!cancelled && *alive)
            closeOverdue();
    });
}

bool MessageTransport::send(const Endpoint& peer, uint8_t kind, std::string_view bytes)
{
    HICKORYKNOT_ASSERT(kind != message_frame::probeKind, "kind 0 is reserved for probes");
    auto& connection = m_outbound[{ peer.address, peer.port }];
    if (!connection) {
        error_code error;
        const auto address = asio::ip::make_address(peer.address, error);
        if (error) {
            m_outbound.erase({ peer.address, peer.port });
            return false;
        }
        connection = std::make_shared<OutboundConnection>(m_io, m_settings, tcp::endpoint(address, peer.port));
    }
    return connection->send(kind, bytes);
}

} // namespace hickoryknot

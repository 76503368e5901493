#include "net/HttpClientPool.h"

#include <algorithm>

#include "net/HttpClientCall.h"
#include "net/HttpClientConnection.h"

namespace hickoryknot {

HttpClientPool::HttpClientPool(
    boost::asio::io_context& io, const HttpClientSettings& settings, boost::asio::ip::tcp::endpoint endpoint)
    : m_io(io)
    , m_settings(settings)
    , m_endpoint(std::move(endpoint))
{
}

HttpClientPool::~HttpClientPool() = default;

Expected<void> HttpClientPool::submit(std::shared_ptr<HttpClientCall> call)
{
    if (const auto connection = popUsableIdle()) {
        connection->run(std::move(call));
        return {};
    }
    if (m_connections.size() < m_settings.maxConnectionsPerEndpoint) {
        open(std::move(call));
        return {};
    }
    if (m_waiting.size() >= m_settings.maxWaitingPerEndpoint) {
        return makeError(ErrorCode::Overloaded,
            std::to_string(m_waiting.size()) + " requests already wait for a connection to this endpoint");
    }
    m_waiting.push_back(std::move(call));
    return {};
}

void HttpClientPool::expire(const std::shared_ptr<HttpClientCall>& call)
{
    Error error { ErrorCode::Timeout, "no whole answer within the deadline" };
    if (const auto connection = call->connection.lock())
        return connection->abort(std::move(error));
    const auto found = std::find(m_waiting.begin(), m_waiting.end(), call);
    if (found == m_waiting.end())
        return;
    m_waiting.erase(found);
    error.message = "no connection became free within the deadline";
    call->finish({ .response = tl::unexpected(std::move(error)), .wasSent = false });
}

void HttpClientPool::onConnectionReleased(const std::shared_ptr<HttpClientConnection>& connection)
{
    if (m_waiting.empty()) {
        m_idle.push_back(connection);
        return;
    }
    auto call = std::move(m_waiting.front());
    m_waiting.pop_front();
    connection->run(std::move(call));
}

void HttpClientPool::onConnectionClosed(const std::shared_ptr<HttpClientConnection>& connection)
{
    m_connections.erase(connection);
    std::erase(m_idle, connection);
    if (m_waiting.empty())
        return;
    auto call = std::move(m_waiting.front());
    m_waiting.pop_front();
    open(std::move(call));
}

void HttpClientPool::closeIdle(std::chrono::steady_clock::time_point limit)
{
    while (!m_idle.empty() && m_idle.front()->idleSince() < limit) {
        // close() removes the connection from the list.
        const auto oldest = m_idle.front();
        oldest->close();
    }
}

void HttpClientPool::close(bool dropCompletions)
{
    // Emptied first, since closing a connection opens a new one for the next queued call.
    const auto waiting = std::exchange(m_waiting, {});
    const std::vector<std::shared_ptr<HttpClientConnection>> open(m_connections.begin(), m_connections.end());
    for (const auto& connection : open) {
        if (dropCompletions)
            connection->dropCompletion();
        connection->abort({ ErrorCode::Unavailable, "the client is closed" });
    }
    for (const auto& call : waiting) {
        if (dropCompletions)
            call->completion = nullptr;
        call->finish({ .response = makeError(ErrorCode::Unavailable, "the client is closed"), .wasSent = false });
    }
}

std::shared_ptr<HttpClientConnection> HttpClientPool::popUsableIdle()
{
    while (!m_idle.empty()) {
        auto connection = m_idle.back();
        if (connection->isUsable()) {
            m_idle.pop_back();
            return connection;
        }
        // close() removes the connection from the list.
        connection->close();
    }
    return nullptr;
}

void HttpClientPool::open(std::shared_ptr<HttpClientCall> call)
{
    const auto connection = std::make_shared<HttpClientConnection>(m_io, weak_from_this(), m_settings, m_endpoint);
    m_connections.insert(connection);
    connection->run(std::move(call));
}

} // namespace hickoryknot

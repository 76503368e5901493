#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <unordered_set>
#include <vector>

#include "net/HttpClient.h"

namespace hickoryknot {

class HttpClientConnection;
struct HttpClientCall;

/// The connections to one endpoint and the queue of calls waiting for a connection.
class HttpClientPool : public std::enable_shared_from_this<HttpClientPool> {
public:
    HttpClientPool(boost::asio::io_context&, const HttpClientSettings&, boost::asio::ip::tcp::endpoint);
    ~HttpClientPool();

    /// Sends the call on an idle or a new connection, or queues it. Overloaded: the queue is full.
    Expected<void> submit(std::shared_ptr<HttpClientCall>);

    /// Fails a call whose deadline has passed.
    void expire(const std::shared_ptr<HttpClientCall>&);

    /// Uses the connection for the next queued call, or adds it to the idle connections.
    void onConnectionReleased(const std::shared_ptr<HttpClientConnection>&);

    /// Removes a closed connection and opens a new one for the next queued call.
    void onConnectionClosed(const std::shared_ptr<HttpClientConnection>&);

    /// Closes connections that have been idle since before `limit`.
    void closeIdle(std::chrono::steady_clock::time_point limit);

    /// Fails all calls with Unavailable and closes all connections. With `dropCompletions`, no completion is called.
    void close(bool dropCompletions);

    bool isEmpty() const { return m_connections.empty() && m_waiting.empty(); }
    size_t connections() const { return m_connections.size(); }
    const HttpClientSettings& settings() const { return m_settings; }
    const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }

private:
    std::shared_ptr<HttpClientConnection> popUsableIdle();
    void open(std::shared_ptr<HttpClientCall>);

    boost::asio::io_context& m_io;
    const HttpClientSettings m_settings;
    const boost::asio::ip::tcp::endpoint m_endpoint;

    std::unordered_set<std::shared_ptr<HttpClientConnection>> m_connections;
    /// Least recently used first. Reused from the back, so that surplus connections reach the idle timeout.
    std::vector<std::shared_ptr<HttpClientConnection>> m_idle;
    std::deque<std::shared_ptr<HttpClientCall>> m_waiting;
};

} // namespace hickoryknot

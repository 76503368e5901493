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

/// The connections to one endpoint and the calls that wait for one of them.
class HttpClientPool : public std::enable_shared_from_this<HttpClientPool> {
public:
    HttpClientPool(boost::asio::io_context&, const HttpClientSettings&, boost::asio::ip::tcp::endpoint);
    ~HttpClientPool();

    /// Sends over an idle or a new connection, or queues the call. Overloaded: the queue is full.
    Expected<void> submit(std::shared_ptr<HttpClientCall>);

    /// Ends a call whose deadline has passed.
    void expire(const std::shared_ptr<HttpClientCall>&);

    /// Takes back a connection that can carry another call.
    void released(const std::shared_ptr<HttpClientConnection>&);

    /// Forgets a closed connection.
    void closed(const std::shared_ptr<HttpClientConnection>&);

    /// Closes connections that have been idle since before `limit`.
    void closeIdle(std::chrono::steady_clock::time_point limit);

    /// Ends all calls with Unavailable and closes all connections. With `dropCompletions`, no completion runs.
    void close(bool dropCompletions);

    bool isEmpty() const { return m_connections.empty() && m_waiting.empty(); }
    size_t connections() const { return m_connections.size(); }
    const HttpClientSettings& settings() const { return m_settings; }
    const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }

private:
    std::shared_ptr<HttpClientConnection> takeIdle();
    void open(std::shared_ptr<HttpClientCall>);

    boost::asio::io_context& m_io;
    const HttpClientSettings m_settings;
    const boost::asio::ip::tcp::endpoint m_endpoint;

    std::unordered_set<std::shared_ptr<HttpClientConnection>> m_connections;
    /// Most recently used last; taken from the back, so that surplus connections grow old and close.
    std::vector<std::shared_ptr<HttpClientConnection>> m_idle;
    std::deque<std::shared_ptr<HttpClientCall>> m_waiting;
};

} // namespace hickoryknot

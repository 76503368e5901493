#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "net/HttpClient.h"

namespace hickoryknot {

class HttpClientPool;
struct HttpClientCall;

/// A client connection: connects on its first call and processes one call at a time.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
public:
    HttpClientConnection(boost::asio::io_context&, std::weak_ptr<HttpClientPool>, const HttpClientSettings&,
        const boost::asio::ip::tcp::endpoint&);
    ~HttpClientConnection();

    /// Sends the request of the call; connects first if this is the first call.
    void run(std::shared_ptr<HttpClientCall>);

    /// Closes the connection and fails the current call, if any, with this error.
    void abort(Error);

    /// Discards the completion of the current call.
    void dropCompletion();

    void close();

    /// False if the peer has closed the idle connection or sent unexpected data.
    bool isUsable();

    std::chrono::steady_clock::time_point idleSince() const;

private:
    struct State;

    void connect();
    void write();
    void read();
    void finishRead();
    /// Fails the call with this error, or with the error passed to abort(), and closes the connection.
    void fail(ErrorCode, const std::string& message);
    /// Closes the idle connection as soon as the peer closes it or sends unexpected data.
    void watchIdle();

    std::unique_ptr<State> m_state;
};

} // namespace hickoryknot

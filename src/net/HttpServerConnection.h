#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "net/HttpServerContext.h"

namespace hickoryknot {

/// One accepted connection: reads a request, hands it to the handler, writes the answer, and starts over. A connection
/// lives as long as the context's set holds it or an operation is under way.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
public:
    HttpServerConnection(boost::asio::ip::tcp::socket, std::shared_ptr<HttpServerContext>);
    ~HttpServerConnection();

    /// Begins to read.
    void start();

    /// Writes the answer to the request in progress. Does nothing once the connection is closed.
    void answer(HttpResponse);

    /// Closes the socket and leaves the context's set. May be called repeatedly.
    void close();

    /// True while no byte of a next request has arrived.
    bool isIdle() const;

private:
    struct State;

    void waitForRequest();
    void readHeader();
    void readBody();
    void dispatch();
    void finishRequest();
    /// Answers a request that cannot be read, then closes.
    void reject(int status, const Error&);
    void write(HttpResponse, bool keepAlive);
    /// Reads and drops what the peer still sends, so that closing does not destroy an answer under way.
    void linger();
    void dropRemainder();

    template <typename Next> auto unlessFailed(Next);

    std::shared_ptr<HttpServerContext> m_context;
    std::unique_ptr<State> m_state;
};

} // namespace hickoryknot

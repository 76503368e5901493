#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "net/HttpServerContext.h"

namespace hickoryknot {

/// An accepted connection: reads a request, passes it to the handler, writes the response, and repeats. The object
/// exists as long as it is in the context's set or an operation is pending.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
public:
    HttpServerConnection(boost::asio::ip::tcp::socket, std::shared_ptr<HttpServerContext>);
    ~HttpServerConnection();

    /// Starts reading requests.
    void start();

    /// Writes the response to the current request. Does nothing once the connection is closed.
    void respond(HttpResponse);

    /// Closes the socket and removes the connection from the context's set. Further calls do nothing.
    void close();

    /// True while waiting for the first byte of the next request.
    bool isIdle() const;

private:
    struct State;

    void waitForRequest();
    void readHeader();
    void readBody();
    void dispatch();
    void finishRequest();
    /// Sends an error response to an invalid request, then closes the connection.
    void reject(int status, const Error&);
    void write(HttpResponse, bool keepAlive);
    /// Lingering close: reads and discards further input before closing, since closing with unread input would reset
    /// the connection and could destroy the response in flight.
    void startLingeringClose();
    void discardInput();

    template <typename Next> auto handleErrors(Next);

    std::shared_ptr<HttpServerContext> m_context;
    std::unique_ptr<State> m_state;
};

} // namespace hickoryknot

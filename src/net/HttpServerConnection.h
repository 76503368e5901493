#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "core/Error.h"
#include "core/Time.h"
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

    /// True if the client has not read its response within the grace period.
    bool isSlowReader(TimePoint now) const;

    /// Closes the connection for others: while it is idle, while its request is unfinished, or while its response is
    /// not read. An unfinished request gets a 503 response if it can be sent without waiting.
    void drop();

    /// Called periodically. Keeps input from piling up in the kernel while a request is handled for long.
    void checkInput(TimePoint now);

private:
    struct State;
    enum class Phase : uint8_t {
        Idle,
        Reading,
        Handling,
        Writing,
        Lingering,
    };

    void enter(Phase);
    void waitForRequest();
    void beginRequest();
    /// Reads more of the unfinished request.
    void readMore();
    /// Parses what has arrived, and charges it to the memory budget.
    void parseInput();
    /// Handles a complete header. False: the request was rejected, or continues after an interim response.
    bool handleHeader();
    void handleError(const boost::system::error_code&);
    /// Memory that the unfinished request occupies, in bytes.
    size_t heldBytes() const;
    void dispatch();
    void readAhead();
    void resume();
    void finishRequest();
    /// Sends an error response to an invalid request, then closes the connection.
    void reject(int status, const Error&, bool isRetryable = false);
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

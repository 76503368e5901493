#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/Error.h"
#include "core/Time.h"
#include "net/ClientLimitCounters.h"
#include "net/HttpMessage.h"
#include "net/RequestClass.h"

namespace hickoryknot {

class MemoryBudget;

struct HttpServerSettings {
    Endpoint listen {};
    size_t maxBodyBytes { size_t { 1024 } * 1024 };
    size_t maxHeaderBytes { size_t { 16 } * 1024 };
    /// At the limit, the connection that has been idle for longest is closed for a new one, else the one whose request
    /// has been unfinished for longest.
    size_t maxConnections { 2048 };
    /// The memory for requests and responses; shared by all servers of a process. Null: one of its own, with defaults.
    std::shared_ptr<MemoryBudget> memory {};
    /// Pool of the budget until the header is read, and after it unless there is a classifier.
    MemoryPool pool { MemoryPool::Clients };
    RequestClassifier classifier { nullptr };
    /// Maximum time from the first byte of a request to its last.
    Duration readTimeout { 10s };
    /// Maximum time in which nothing of an unfinished request arrives.
    Duration progressTimeout { 5s };
    /// Maximum time between two requests on a connection.
    Duration idleTimeout { 60s };
    /// Maximum time from the first byte of a response to its last.
    Duration writeTimeout { 10s };
    /// From this time on, an unread response may be dropped when the memory budget is exhausted.
    Duration slowReaderGrace { 1s };
    /// Lingering closes at the same time; further connections are closed at once.
    size_t maxLingeringCloses { 64 };
    /// How long a draining server keeps idle connections open, for requests already in flight.
    Duration drainGrace { 100ms };
};

/// HTTP/1.1 server. Not thread-safe: all calls and handlers run on the io_context's thread.
class HttpServer {
public:
    /// Sends the response to one request. May be called after the handler has returned, from the io_context's thread.
    /// Further calls, and calls after the connection was closed or the server destroyed, do nothing. If the responder
    /// is destroyed without being called, the response is 500.
    using Responder = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Responder)>;

    HttpServer(boost::asio::io_context&, HttpServerSettings, Handler);
    ~HttpServer();

    /// Unavailable: the address cannot be bound.
    Expected<void> start();

    /// The bound port; the one chosen by the system if the settings have port 0.
    uint16_t port() const;

    /// Stops accepting connections and closes each connection after the response to its current request. Idle
    /// connections are closed after `drainGrace`.
    void drain();

    /// Requests that have been read and whose responses are not yet completely written.
    size_t requestsInProgress() const;

    /// Open connections, idle ones included.
    size_t connections() const;

    const ClientLimitCounters& counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hickoryknot

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/Error.h"
#include "core/Time.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

struct HttpServerSettings {
    Endpoint listen {};
    size_t maxBodyBytes { size_t { 1024 } * 1024 };
    size_t maxHeaderBytes { size_t { 16 } * 1024 };
    size_t maxConnections { 2048 };
    /// From the first byte of a request to its last.
    Duration readTimeout { 10s };
    /// Between requests of one connection.
    Duration idleTimeout { 60s };
    /// From the first byte of an answer to its last.
    Duration writeTimeout { 10s };
    /// How long a draining server still reads from an idle connection, for requests that were already on their way.
    Duration drainGrace { 100ms };
};

/// HTTP/1.1 server on one io_context. All calls and all handlers run on that context's thread.
class HttpServer {
public:
    /// Answers one request. May be called later, once, from the context's thread. Further calls, and calls after the
    /// connection or the server is gone, do nothing. A request whose responder is destroyed unused is answered with
    /// 500.
    using Responder = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Responder)>;

    HttpServer(boost::asio::io_context&, HttpServerSettings, Handler);
    ~HttpServer();

    /// Unavailable: the address cannot be bound.
    Expected<void> start();

    /// The bound port, also when 0 was asked for.
    uint16_t port() const;

    /// Takes no new connections and closes each one after the answer to its request in progress. Idle connections are
    /// closed after `drainGrace`.
    void drain();

    /// Requests that have been read and not yet answered in full.
    size_t requestsInProgress() const;

    /// Open connections, idle ones included.
    size_t connections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hickoryknot

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/Error.h"
#include "core/Time.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

struct HttpClientSettings {
    /// Maximum connections to one endpoint, idle and in use; further requests are queued.
    size_t maxConnectionsPerEndpoint { 8 };
    /// Maximum requests queued for a connection to one endpoint; further requests fail with Overloaded.
    size_t maxWaitingPerEndpoint { 1024 };
    size_t maxBodyBytes { size_t { 4 } * 1024 * 1024 };
    size_t maxHeaderBytes { size_t { 16 } * 1024 };
    Duration connectTimeout { 500ms };
    Duration idleTimeout { 30s };
};

/// The result of one request.
struct HttpClientResult {
    Expected<HttpResponse> response { HttpResponse {} };
    /// False only if no byte of the request was written to the socket, so that the peer cannot have received it.
    bool wasSent { false };
};

/// HTTP/1.1 client with persistent connections. Not thread-safe: all calls and completions run on the io_context's
/// thread.
class HttpClient {
public:
    using Completion = std::function<void(HttpClientResult)>;

    HttpClient(boost::asio::io_context&, HttpClientSettings);
    ~HttpClient();

    /// Sends the request once, without retries. The completion is never called from inside send(). Errors:
    /// InvalidArgument: the address is not numeric, or the method, target or a header has a control character.
    /// Overloaded: the queue of this endpoint is full. Unavailable: the connection failed or was lost.
    /// Timeout: no complete response within `deadline`, which includes the time in the queue; the connection is closed.
    /// TooLarge: the response exceeds a limit.
    void send(const Endpoint&, HttpRequest, Duration deadline, Completion);

    /// Closes all connections; pending and later requests fail with Unavailable. The destructor also closes all
    /// connections, but discards the completions of pending requests.
    void close();

    /// Closes the idle connections to this endpoint; used when the connections to a peer may be half-open.
    void closeIdle(const Endpoint&);

    /// Open connections to this endpoint, idle ones included.
    size_t connections(const Endpoint&) const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hickoryknot

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/Error.h"
#include "core/Time.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

struct HttpClientSettings {
    /// Connections kept to one endpoint, idle and in use; further requests wait.
    size_t maxConnectionsPerEndpoint { 8 };
    /// Requests to one endpoint that may wait for a connection; further ones end with Overloaded.
    size_t maxWaitingPerEndpoint { 1024 };
    size_t maxBodyBytes { size_t { 4 } * 1024 * 1024 };
    size_t maxHeaderBytes { size_t { 16 } * 1024 };
    Duration connectTimeout { 500ms };
    Duration idleTimeout { 30s };
};

/// What became of one request.
struct HttpClientResult {
    Expected<HttpResponse> response { HttpResponse {} };
    /// False only if no byte of the request left this process, so the peer surely did not get it.
    bool wasSent { false };
};

/// HTTP/1.1 client with persistent connections on one io_context. All calls and completions run on that context's
/// thread.
class HttpClient {
public:
    using Completion = std::function<void(HttpClientResult)>;

    HttpClient(boost::asio::io_context&, HttpClientSettings);
    ~HttpClient();

    /// Sends once, never repeats by itself. The completion is never called from inside send(). Errors:
    /// InvalidArgument: the address is not numeric, or the method, target or a header has a control character.
    /// Overloaded: too many requests wait for this endpoint. Unavailable: the connection cannot be made or broke.
    /// Timeout: no whole answer within `deadline`, waiting included; the connection is closed.
    /// TooLarge: the answer exceeds a limit.
    void send(const Endpoint&, HttpRequest, Duration deadline, Completion);

    /// Closes all connections; open requests, and all later ones, end with Unavailable. Destruction closes too, but
    /// drops the completions of open requests.
    void close();

    /// Closes the idle connections to this endpoint, for a peer whose connections may have gone silent.
    void closeIdle(const Endpoint&);

    /// Open connections to this endpoint, idle ones included.
    size_t connections(const Endpoint&) const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hickoryknot

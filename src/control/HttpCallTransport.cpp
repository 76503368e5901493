#include "control/HttpCallTransport.h"

#include "control/ControlPaths.h"
#include "control/HostAddress.h"

namespace hickoryknot {

namespace {

/// A host that does not accept a connection within this time is down or cut off.
constexpr Duration connectionTimeout = 250ms;
/// Per host, since calls of many callers may be in progress to it at the same time.
constexpr size_t maxConnections = 32;

} // namespace

HttpCallTransport::HttpCallTransport(boost::asio::io_context& io)
    : m_client(io, { .maxConnectionsPerEndpoint = maxConnections, .connectTimeout = connectionTimeout })
{
}

void HttpCallTransport::send(const HostId& host, const ControlCall& call, Duration timeout, Completion completion)
{
    const auto endpoint = endpointOf(host);
    if (!endpoint)
        return completion({ .reply = tl::unexpected(endpoint.error()), .mayHaveExecuted = false });
    HttpRequest request {
        .method = "POST", .target = control_paths::call, .headers = {}, .body = encodeControlCall(call)
    };
    m_client.send(*endpoint, std::move(request), timeout,
        [this, host, endpoint = *endpoint, completion = std::move(completion)](const HttpClientResult& result) {
            auto reply = result.response && result.response->status == 200
                ? decodeControlReply(result.response->body)
                : Expected<ControlReply>(makeError(ErrorCode::Unavailable,
                    result.response ? "host " + host.value() + " answered " + std::to_string(result.response->status)
                                    : result.response.error().message));
            // Other idle connections to this host may be broken without a notification, so they are closed too.
            if (!reply)
                m_client.closeIdle(endpoint);
            completion({ .reply = std::move(reply), .mayHaveExecuted = result.wasSent });
        });
}

} // namespace hickoryknot

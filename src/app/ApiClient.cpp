#include "app/ApiClient.h"

#include <boost/asio/io_context.hpp>
#include <optional>

#include "net/EndpointText.h"
#include "net/HttpClient.h"

namespace hickoryknot {

namespace {

HttpClientResult sendOnce(const Endpoint& endpoint, HttpRequest request, Duration deadline)
{
    boost::asio::io_context context;
    HttpClient client(context, HttpClientSettings { .maxConnectionsPerEndpoint = 1 });
    std::optional<HttpClientResult> result;
    client.send(endpoint, std::move(request), deadline, [&](HttpClientResult response) {
        result = std::move(response);
        client.close();
        context.stop();
    });
    context.run();
    if (!result)
        return { makeError(ErrorCode::Internal, "the request ended without a result"), true };
    return std::move(*result);
}

} // namespace

ApiClient::ApiClient(std::vector<Endpoint> entryHosts)
    : m_entryHosts(std::move(entryHosts))
{
}

Expected<HttpResponse> ApiClient::call(
    const std::string& method, const std::string& target, const std::string& body, Duration deadline, bool isIdempotent)
{
    Error last { ErrorCode::Unavailable, "no entry host is given; use --entry ip:port or HICKORYKNOT_ENTRY" };
    for (const auto& endpoint : m_entryHosts) {
        HttpRequest request { .method = method, .target = target, .headers = {}, .body = body };
        auto result = sendOnce(endpoint, std::move(request), deadline);
        if (result.response)
            return std::move(result.response);
        last = Error { ErrorCode::Unavailable,
            "entry host " + formatEndpoint(endpoint) + ": " + result.response.error().message };
        if (result.wasSent && !isIdempotent) {
            last.message += "; the request may have arrived, ask again with the same request id";
            break;
        }
    }
    return tl::unexpected(last);
}

Expected<HttpResponse> ApiClient::get(const std::string& target, Duration deadline)
{
    return call("GET", target, "", deadline, true);
}

} // namespace hickoryknot

#include "app/HostClient.h"

#include <algorithm>
#include <charconv>

#include "protocol/ErrorCodec.h"
#include "protocol/ProtocolLimits.h"

namespace hickoryknot {

namespace {

constexpr const char* hopsHeader = "X-Hops";
constexpr Duration logMessageDeadline = 2s;

HttpResponse errorResponse(const Error& error)
{
    return { .status = httpStatus(error.code), .headers = {}, .body = encodeError(error) };
}

} // namespace

HostClient::HostClient(boost::asio::io_context& context)
    : m_state(std::make_shared<PublishedState>())
    , m_client(context,
          HttpClientSettings {
              .maxConnectionsPerEndpoint = 64, .maxBodyBytes = protocol_limits::maxInternalMessageBytes })
    , m_logClient(context,
          HttpClientSettings { .maxConnectionsPerEndpoint = 4,
              .maxWaitingPerEndpoint = 64,
              .maxBodyBytes = protocol_limits::maxInternalMessageBytes })
{
}

void HostClient::send(const HostId& host, HttpRequest request, Duration deadline, Completion completion)
{
    const auto found = m_state->hosts.find(host);
    if (found == m_state->hosts.end()) {
        completion({ makeError(ErrorCode::Unavailable, "host " + host.value() + " is not known"), false });
        return;
    }
    m_client.send(found->second.endpoint, std::move(request), deadline, std::move(completion));
}

void HostClient::sendLogMessage(const HostId& host, std::string target, std::string body)
{
    const auto found = m_state->hosts.find(host);
    if (found == m_state->hosts.end())
        return;
    HttpRequest request { .method = "POST", .target = std::move(target), .headers = {}, .body = std::move(body) };
    m_logClient.send(found->second.endpoint, std::move(request), logMessageDeadline, [](const HttpClientResult&) {});
}

void HostClient::forward(const HostId& host, const HttpRequest& request, Duration deadline, Responder respond)
{
    const int hopCount = hops(request);
    if (hopCount >= maxHops) {
        respond(errorResponse({ ErrorCode::Unavailable,
            "the request was forwarded " + std::to_string(hopCount)
                + " times without meeting its owner; send it again" }));
        return;
    }
    HttpRequest copy { .method = request.method,
        .target = request.target,
        .headers = { { hopsHeader, std::to_string(hopCount + 1) } },
        .body = request.body };
    send(host, std::move(copy), deadline, [respond = std::move(respond), host](HttpClientResult result) {
        if (result.response) {
            respond(std::move(*result.response));
            return;
        }
        respond(errorResponse({ ErrorCode::Unavailable,
            "host " + host.value() + " did not answer: " + result.response.error().message }));
    });
}

int HostClient::hops(const HttpRequest& request)
{
    for (const auto& [name, value] : request.headers) {
        const bool isHops
            = std::equal(name.begin(), name.end(), hopsHeader, hopsHeader + std::char_traits<char>::length(hopsHeader),
                [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
        if (!isHops)
            continue;
        int count = maxHops;
        std::from_chars(value.data(), value.data() + value.size(), count);
        return std::max(0, count);
    }
    return 0;
}

std::optional<HostId> HostClient::hostOfZone(const ZoneId& zone) const
{
    const auto leader = m_state->zoneLeaders.find(zone);
    if (leader != m_state->zoneLeaders.end())
        return leader->second;
    for (const auto& host : m_state->liveHosts) {
        const auto found = m_state->hosts.find(host);
        if (found != m_state->hosts.end() && found->second.zone == zone)
            return host;
    }
    for (const auto& [host, address] : m_state->hosts) {
        if (address.zone == zone)
            return host;
    }
    return std::nullopt;
}

} // namespace hickoryknot

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "app/PublishedState.h"
#include "net/HttpClient.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

/// HTTP client for the other hosts of the cell. Not thread-safe: used only on the network thread.
class HostClient {
public:
    using Completion = HttpClient::Completion;
    using Responder = std::function<void(HttpResponse)>;

    /// Maximum number of times a request is forwarded; prevents forwarding loops between hosts with outdated leader
    /// information.
    static constexpr int maxHops = 2;

    explicit HostClient(boost::asio::io_context&);

    void setState(std::shared_ptr<const PublishedState> state) { m_state = std::move(state); }
    const PublishedState& state() const { return *m_state; }

    /// Sends the request once, without retries. Unavailable with wasSent false: the host is not known.
    void send(const HostId&, HttpRequest, Duration deadline, Completion);

    /// Sends a message of a replicated log and ignores the response. Uses separate connections, so that bulk traffic
    /// never delays heartbeats.
    void sendLogMessage(const HostId&, std::string target, std::string body);

    /// Forwards a caller's request to another host and returns its response.
    void forward(const HostId&, const HttpRequest&, Duration deadline, Responder);

    /// Number of times the request has been forwarded.
    static int hops(const HttpRequest&);

    /// Selects a host of the zone: its leader if known, else a live host, else any host.
    std::optional<HostId> hostOfZone(const ZoneId&) const;

private:
    std::shared_ptr<const PublishedState> m_state;
    HttpClient m_client;
    HttpClient m_logClient;
};

} // namespace hickoryknot

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "app/PublishedState.h"
#include "net/HttpClient.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

/// HTTP to the other hosts of the cell. For the network thread.
class HostLinks {
public:
    using Completion = HttpClient::Completion;
    using Responder = std::function<void(HttpResponse)>;

    /// Each forward counts one hop; a request that arrives with this many is not forwarded again, so that stale views
    /// of the leaders cannot send it in a circle.
    static constexpr int maxHops = 2;

    explicit HostLinks(boost::asio::io_context&);

    void setState(std::shared_ptr<const PublishedState> state) { m_state = std::move(state); }
    const PublishedState& state() const { return *m_state; }

    /// Sends once. Unavailable with wasSent false: the host is not known.
    void send(const HostId&, HttpRequest, Duration deadline, Completion);

    /// Sends a message of a replicated log; nobody waits for the answer. Uses connections of its own, so that bulk
    /// traffic never delays heartbeats.
    void sendLogMessage(const HostId&, std::string target, std::string body);

    /// Passes a caller's request on and its answer back.
    void forward(const HostId&, const HttpRequest&, Duration deadline, Responder);

    /// How often the request has been forwarded.
    static int hops(const HttpRequest&);

    /// A host of that zone to ask: its leader if known, else one heard from lately, else any.
    std::optional<HostId> hostOfZone(const ZoneId&) const;

private:
    std::shared_ptr<const PublishedState> m_state;
    HttpClient m_client;
    HttpClient m_logClient;
};

} // namespace hickoryknot

#include "control/HostMessageLinks.h"

#include "app/EventLog.h"
#include "control/HostAddress.h"

namespace hickoryknot {

namespace {

/// Messages use the port next to that for calls, which is the same on all hosts.
constexpr uint16_t portOffset = 1;

Endpoint messageEndpoint(const Endpoint& calls)
{
    return { calls.address, static_cast<uint16_t>(calls.port + portOffset) };
}

} // namespace

HostMessageLinks::HostMessageLinks(boost::asio::io_context& io, MessageTransportSettings settings)
    : m_links(
        io, std::move(settings), [this](uint8_t kind, std::string_view bytes) { dispatch(kind, bytes); },
        [](const Error& error) { EventLog::write(EventLevel::Warning, Event::RequestRejected, error.message); })
{
}

Expected<void> HostMessageLinks::listen(const Endpoint& calls) { return m_links.listen(messageEndpoint(calls)); }

void HostMessageLinks::setHandler(HostMessageKind kind, Handler handler)
{
    m_handlers.at(static_cast<size_t>(kind)) = std::move(handler);
}

bool HostMessageLinks::send(const HostId& to, HostMessageKind kind, std::string_view bytes)
{
    const auto calls = endpointOf(to);
    return calls && m_links.send(messageEndpoint(*calls), static_cast<uint8_t>(kind), bytes);
}

void HostMessageLinks::dispatch(uint8_t kind, std::string_view bytes)
{
    if (kind < m_handlers.size() && m_handlers[kind])
        return m_handlers[kind](bytes);
    EventLog::write(EventLevel::Debug, Event::RequestRejected,
        "dropping a message of a kind that this host does not handle", { { "kind", std::to_string(kind) } });
}

} // namespace hickoryknot

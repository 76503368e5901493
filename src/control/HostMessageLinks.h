#pragma once

#include <array>
#include <functional>
#include <string_view>

#include "core/Ids.h"
#include "net/MessageTransport.h"

namespace hickoryknot {

/// What hosts of a fleet tell each other without waiting for an answer.
enum class HostMessageKind : uint8_t {
    Log = 1, // The replicated log.
    WorkerRequests = 2, // A leader hands orders for workers to a courier.
    WorkerResponses = 3, // A courier hands back what workers answered.
    Calls = 4, // Calls of entry hosts and workers that reached another host than the leader.
    Replies = 5,
};

/// Messages between hosts that keep state, named by their ids. For one io_context's thread.
class HostMessageLinks {
public:
    using Handler = std::function<void(std::string_view bytes)>;

    explicit HostMessageLinks(boost::asio::io_context&);

    /// Takes messages for the host that takes calls on this endpoint. Unavailable: the address cannot be bound.
    Expected<void> listen(const Endpoint& calls);

    /// Messages of a kind without a handler are dropped with a log line.
    void setHandler(HostMessageKind, Handler);

    /// False: the message was dropped; see MessageTransport::send().
    bool send(const HostId& to, HostMessageKind, std::string_view bytes);

private:
    void dispatch(uint8_t kind, std::string_view bytes);

    MessageTransport m_links;
    std::array<Handler, 6> m_handlers; // By kind.
};

} // namespace hickoryknot

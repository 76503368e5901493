#pragma once

#include <array>
#include <functional>
#include <string_view>

#include "core/Ids.h"
#include "net/MessageTransport.h"

namespace hickoryknot {

/// Kinds of one-way messages between hosts; the values are part of the wire format.
enum class HostMessageKind : uint8_t {
    Log = 1, // The replicated log.
    WorkerRequests = 2, // From the leader to a worker proxy.
    WorkerResponses = 3, // From a worker proxy to the leader.
    Calls = 4, // Batched calls from a follower to the leader, on behalf of entry hosts and workers.
    Replies = 5, // Batched replies to calls.
};

/// One-way messages between replicas, which are addressed by host id. Must be used on the io_context's thread.
class HostMessageLinks {
public:
    using Handler = std::function<void(std::string_view bytes)>;

    explicit HostMessageLinks(boost::asio::io_context&, MessageTransportSettings = {});

    /// Accepts messages, on the port next to that of `calls`, this host's endpoint for calls. Error Unavailable: the
    /// address cannot be bound.
    Expected<void> listen(const Endpoint& calls);

    /// Messages of a kind without a handler are logged and dropped.
    void setHandler(HostMessageKind, Handler);

    /// Returns false if the message was dropped; see MessageTransport::send().
    bool send(const HostId& to, HostMessageKind, std::string_view bytes);

    const ClientLimitCounters& counters() const { return m_links.counters(); }

private:
    void dispatch(uint8_t kind, std::string_view bytes);

    MessageTransport m_links;
    std::array<Handler, 6> m_handlers; // By kind.
};

} // namespace hickoryknot

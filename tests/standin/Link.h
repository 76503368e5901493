#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_set>

#include "core/Time.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

/// Direction of the data: forward from the caller to the target, backward from the target to the caller.
enum class LinkDirection : uint8_t {
    Forward,
    Backward,
};

/// State of a link, shared by all its connections.
struct LinkState {
    bool isForwardCut { false };
    bool isBackwardCut { false };
    Duration delay { 0 };

    bool isCut(LinkDirection direction) const
    {
        return direction == LinkDirection::Forward ? isForwardCut : isBackwardCut;
    }
};

/// A TCP proxy that injects network faults. A cut direction silently discards data, as in a network partition.
/// Restoring it resets each connection that lost data, since its stream is incomplete.
class Link {
public:
    Link(boost::asio::io_context&, Endpoint listen, Endpoint target);
    ~Link();

    /// Throws boost::system::system_error if the port cannot be bound.
    void start();

    /// Cuts the given directions and restores the others.
    void cut(bool forward, bool backward);
    /// Resets all connections.
    void reset();
    /// Makes the current connections half-open: they discard all data without a reset. New connections work.
    void silence();
    /// Delays data by this time in both directions.
    void setDelay(Duration);

    const LinkState& state() const { return m_state; }

private:
    class Connection;
    friend class Connection;

    void accept();

    const Endpoint m_listen;
    const Endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    LinkState m_state;
    std::unordered_set<std::shared_ptr<Connection>> m_connections;
};

} // namespace hickoryknot

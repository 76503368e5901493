#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "control/CallTransport.h"
#include "control/HttpCallTransport.h"

namespace hickoryknot {

struct LeaderClientSettings {
    HostId self;
    /// Hosts known at the start, in the order in which they are tried.
    std::vector<HostId> seeds;
    /// With many replicas, calls go through a follower, which serves reads itself and forwards other calls to the
    /// leader in batches.
    bool callsViaFollowers { false };
    /// Timeout for one host's reply before another host is tried; allows for several commits of the leader's log.
    Duration attemptTimeout { 700ms };
    /// Delay before hosts are tried again after none of them was the leader.
    Duration retryDelay { 40ms };
};

/// Sends calls to the current leader. Finds the new leader after an election by trying the replicas. Must be used on
/// the io_context's thread.
class LeaderClient {
public:
    using Completion = std::function<void(Expected<ControlReply>)>;
    /// Serves a call on this host and returns true if this host is the leader.
    using LocalHandler = std::function<bool(const ControlCall&, const std::function<void(ControlReply)>&)>;

    LeaderClient(boost::asio::io_context&, LeaderClientSettings);
    ~LeaderClient();

    void setLocalHandler(LocalHandler handler) { m_localHandler = std::move(handler); }
    /// Sets the transport for calls to other hosts, which must outlive this object. The default is HTTP.
    void setTransport(CallTransport& transport) { m_transport = &transport; }

    /// Sends the call, with retries, until the leader replies or the timeout expires. Error Unavailable: the call was
    /// not executed. Error Timeout: it may have been executed or may still be. The completion runs once, never from
    /// inside call().
    void call(ControlCall, Duration timeout, Completion);

    /// Updates the known leader, replicas and table version from a reply of any host.
    void updateFrom(const ControlReply&);

    const HostId& leader() const { return m_leader; }
    const std::set<HostId>& replicas() const { return m_replicas; }
    /// True if there are enough replicas for followers to take load off the leader.
    bool hasManyReplicas() const;
    /// Highest table version in any reply.
    uint64_t tableVersion() const { return m_tableVersion; }
    /// When the leader last replied to a call; empty if it never did.
    std::optional<TimePoint> lastLeaderContact() const { return m_lastLeaderContact; }

private:
    struct Pending;

    void attempt(const std::shared_ptr<Pending>&);
    void sendTo(const std::shared_ptr<Pending>&, const HostId&);
    void onResult(const std::shared_ptr<Pending>&, const HostId&, CallTransport::Result);
    void retry(const std::shared_ptr<Pending>&, Duration delay);
    void finish(const std::shared_ptr<Pending>&, Expected<ControlReply>);
    HostId nextHost(const Pending&);
    /// The follower through which calls go to the leader; empty if the leader is called directly.
    HostId chooseFollower(TimePoint now) const;

    boost::asio::io_context& m_io;
    LeaderClientSettings m_settings;
    HttpCallTransport m_http;
    CallTransport* m_transport { &m_http };
    LocalHandler m_localHandler;
    HostId m_leader;
    std::set<HostId> m_replicas;
    std::map<HostId, TimePoint> m_avoidedUntil; // By host that did not reply.
    size_t m_nextReplica { 0 };
    uint64_t m_tableVersion { 0 };
    std::optional<TimePoint> m_lastLeaderContact;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot

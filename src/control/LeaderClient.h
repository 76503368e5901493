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
    /// Hosts known at the start, in the order in which they are asked.
    std::vector<HostId> seeds;
    /// Where many hosts keep state, calls go through one that does not lead: it answers questions itself and hands the
    /// rest on in batches.
    bool callsViaFollowers { false };
    /// Longest wait for one host's answer before another is asked: several commits of the leader's log.
    Duration attemptLimit { 700ms };
    /// Pause before a host is asked after all have been asked in vain.
    Duration roundPause { 40ms };
};

/// Hands calls to whichever host leads. Follows the leader across elections by asking the hosts that keep state. For
/// one io_context's thread.
class LeaderClient {
public:
    using Completion = std::function<void(Expected<ControlReply>)>;
    /// Serves a call on this host if it leads; false: it does not.
    using LocalHandler = std::function<bool(const ControlCall&, const std::function<void(ControlReply)>&)>;

    LeaderClient(boost::asio::io_context&, LeaderClientSettings);
    ~LeaderClient();

    void setLocalHandler(LocalHandler handler) { m_local = std::move(handler); }
    /// Carries calls to other hosts from now on; must outlive this object. At first, each call is an HTTP call.
    void setTransport(CallTransport& transport) { m_transport = &transport; }

    /// Sends the call until it is answered by the leader or the time is over. Unavailable: it surely was not carried
    /// out. Timeout: it may have been, or may yet be. The completion runs once, never from inside call().
    void call(ControlCall, Duration timeLimit, Completion);

    /// Takes over who leads and who keeps state, as a reply of the leader or another host says.
    void updateFrom(const ControlReply&);

    const HostId& leader() const { return m_leader; }
    const std::set<HostId>& replicas() const { return m_keepers; }
    /// True if enough hosts keep state to spare the leader what others can do.
    bool hasManyReplicas() const;
    /// Highest table version that a reply has shown.
    uint64_t tableVersion() const { return m_tableVersion; }
    /// When the leader last answered a call; empty: never.
    std::optional<TimePoint> lastLeaderContact() const { return m_leaderHeardAt; }

private:
    struct Pending;

    void attempt(const std::shared_ptr<Pending>&);
    void attemptAt(const std::shared_ptr<Pending>&, const HostId&);
    void answered(const std::shared_ptr<Pending>&, const HostId&, CallTransport::Result);
    void retry(const std::shared_ptr<Pending>&, Duration pause);
    void finish(const std::shared_ptr<Pending>&, Expected<ControlReply>);
    HostId nextHost(const Pending&);
    /// The host through which this one reaches the leader; empty: none, or the leader is called directly.
    HostId relay(TimePoint now) const;

    boost::asio::io_context& m_io;
    LeaderClientSettings m_settings;
    HttpCallTransport m_http;
    CallTransport* m_transport { &m_http };
    LocalHandler m_local;
    HostId m_leader;
    std::set<HostId> m_keepers;
    std::map<HostId, TimePoint> m_avoidedUntil; // Hosts that did not reply.
    size_t m_nextKeeper { 0 };
    uint64_t m_tableVersion { 0 };
    std::optional<TimePoint> m_leaderHeardAt;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot

#include "control/LeaderClient.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "app/SteadyTime.h"
#include "core/Hash.h"

namespace hickoryknot {

namespace {

/// With fewer replicas, the extra hop costs more than the load that it takes off the leader.
constexpr size_t minReplicasForFollowerCalls = 4;
/// How long calls do not go through a follower that did not reply; a restart takes about a second.
constexpr Duration failureBackoff = 2s;
/// Shorter attempts cannot complete: a round trip and a commit take at least this long.
constexpr Duration minAttemptTime = 30ms;

} // namespace

struct LeaderClient::Pending {
    Pending(boost::asio::io_context& io, ControlCall c, TimePoint until, Completion done)
        : call(std::move(c))
        , deadline(until)
        , completion(std::move(done))
        , timer(io)
    {
    }

    ControlCall call;
    TimePoint deadline;
    Completion completion;
    boost::asio::steady_timer timer;
    std::set<HostId> triedHosts; // In this round of attempts.
    bool mayHaveExecuted { false };
    std::string lastError { "no host that keeps state is known" };
};

LeaderClient::LeaderClient(boost::asio::io_context& io, LeaderClientSettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_http(io)
    , m_replicas(m_settings.seeds.begin(), m_settings.seeds.end())
{
}

LeaderClient::~LeaderClient() { *m_isAlive = false; }

void LeaderClient::call(ControlCall call, Duration timeout, Completion completion)
{
    auto pending = std::make_shared<Pending>(m_io, std::move(call), steadyNow() + timeout, std::move(completion));
    boost::asio::post(m_io, [this, alive = m_isAlive, pending] {
        if (*alive)
            attempt(pending);
    });
}

void LeaderClient::updateFrom(const ControlReply& reply)
{
    if (!reply.replicas.empty()) {
        m_replicas = { reply.replicas.begin(), reply.replicas.end() };
        // Seeds are kept: all other known replicas may have been replaced while this host was cut off.
        m_replicas.insert(m_settings.seeds.begin(), m_settings.seeds.end());
    }
    if (!reply.leader.isEmpty())
        m_leader = reply.leader;
    m_tableVersion = std::max(m_tableVersion, reply.tableVersion);
}

bool LeaderClient::hasManyReplicas() const { return m_replicas.size() >= minReplicasForFollowerCalls; }

HostId LeaderClient::chooseFollower(TimePoint now) const
{
    if (!m_settings.callsViaFollowers || !hasManyReplicas() || m_leader.isEmpty())
        return {};
    std::vector<HostId> candidates;
    for (const auto& host : m_replicas) {
        const auto avoided = m_avoidedUntil.find(host);
        if (host != m_leader && (avoided == m_avoidedUntil.end() || now >= avoided->second))
            candidates.push_back(host);
    }
    return candidates.empty() ? HostId() : candidates[hashBytes(m_settings.self.value()) % candidates.size()];
}

void LeaderClient::attempt(const std::shared_ptr<Pending>& pending)
{
    if (m_localHandler) {
        const bool isServed = m_localHandler(pending->call, [this, alive = m_isAlive, pending](ControlReply reply) {
            boost::asio::post(m_io, [this, alive, pending, reply = std::move(reply)] {
                if (!*alive)
                    return;
                if (reply.status == ControlStatus::NotLeader)
                    return retry(pending, m_settings.retryDelay);
                m_lastLeaderContact = steadyNow();
                finish(pending, reply);
            });
        });
        if (isServed)
            return;
    }
    const HostId host = nextHost(*pending);
    if (host.isEmpty()) {
        // All hosts were tried: an election may be in progress.
        pending->triedHosts.clear();
        return retry(pending, m_settings.retryDelay);
    }
    sendTo(pending, host);
}

HostId LeaderClient::nextHost(const Pending& pending)
{
    if (pending.triedHosts.empty()) {
        HostId follower = chooseFollower(steadyNow());
        if (!follower.isEmpty())
            return follower;
    }
    if (!m_leader.isEmpty() && m_leader != m_settings.self && !pending.triedHosts.contains(m_leader))
        return m_leader;
    std::vector<HostId> others;
    for (const auto& host : m_replicas) {
        if (host != m_settings.self && !pending.triedHosts.contains(host))
            others.push_back(host);
    }
    return others.empty() ? HostId() : others[m_nextReplica++ % others.size()];
}

void LeaderClient::sendTo(const std::shared_ptr<Pending>& pending, const HostId& host)
{
    const Duration remaining = pending->deadline - steadyNow();
    pending->triedHosts.insert(host);
    if (remaining < minAttemptTime)
        return retry(pending, remaining);
    m_transport->send(host, pending->call, std::min(remaining, m_settings.attemptTimeout),
        [this, alive = m_isAlive, pending, host](CallTransport::Result result) {
            if (*alive)
                onResult(pending, host, std::move(result));
        });
}

void LeaderClient::onResult(const std::shared_ptr<Pending>& pending, const HostId& host, CallTransport::Result result)
{
    const TimePoint now = steadyNow();
    if (!result.reply) {
        pending->mayHaveExecuted = pending->mayHaveExecuted || result.mayHaveExecuted;
        pending->lastError = result.reply.error().message;
        m_avoidedUntil[host] = now + failureBackoff;
        if (m_leader == host)
            m_leader = HostId();
        return retry(pending, Duration(0));
    }
    ControlReply& reply = *result.reply;
    if (reply.status == ControlStatus::NotLeader) {
        updateFrom(reply);
        pending->lastError = "host " + host.value() + " does not lead";
        if (m_leader == host)
            m_leader = HostId();
        return retry(pending, Duration(0));
    }
    // If a follower forwarded the call, its reply names the leader.
    m_leader = host;
    updateFrom(reply);
    m_lastLeaderContact = now;
    // An earlier attempt without a reply may have been accepted, or may still be. No refusal of a submission is final
    // then, whatever its reason: the table may have been changed in between.
    const bool isRefusal = std::holds_alternative<SubmitCall>(pending->call)
        ? reply.status != ControlStatus::Done && reply.status != ControlStatus::Uncertain
        : reply.status == ControlStatus::Refused || reply.status == ControlStatus::NotReady;
    if (isRefusal && pending->mayHaveExecuted) {
        reply.message += "; an earlier attempt went without a reply";
        reply.status = ControlStatus::Uncertain;
    }
    finish(pending, std::move(reply));
}

void LeaderClient::retry(const std::shared_ptr<Pending>& pending, Duration delay)
{
    const TimePoint now = steadyNow();
    if (now + std::max(delay, minAttemptTime) >= pending->deadline) {
        return finish(pending,
            makeError(pending->mayHaveExecuted ? ErrorCode::Timeout : ErrorCode::Unavailable,
                "the leader did not answer in time: " + pending->lastError));
    }
    if (delay <= Duration(0))
        return attempt(pending);
    pending->timer.expires_after(delay);
    pending->timer.async_wait([this, alive = m_isAlive, pending](const boost::system::error_code& error) {
        if (!error && *alive)
            attempt(pending);
    });
}

void LeaderClient::finish(const std::shared_ptr<Pending>& pending, Expected<ControlReply> reply)
{
    if (auto completion = std::exchange(pending->completion, nullptr))
        completion(std::move(reply));
}

} // namespace hickoryknot

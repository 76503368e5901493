#include "control/LeaderClient.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "app/SteadyTime.h"
#include "core/Hash.h"

namespace hickoryknot {

namespace {

/// With fewer hosts that keep state, a hop more costs more than it spares the leader.
constexpr size_t fewestKeepersForRelays = 4;
/// A host that did not reply is not used as a relay for this long: a restart takes about a second.
constexpr Duration avoidFor = 2s;
/// Less time than this does not suffice for a round trip and a commit.
constexpr Duration leastAttempt = 30ms;

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
    std::set<HostId> asked; // In this round.
    bool mayHaveRun { false };
    std::string lastError { "no host that keeps state is known" };
};

LeaderClient::LeaderClient(boost::asio::io_context& io, LeaderClientSettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_http(io)
    , m_keepers(m_settings.seeds.begin(), m_settings.seeds.end())
{
}

LeaderClient::~LeaderClient() { *m_isAlive = false; }

void LeaderClient::call(ControlCall call, Duration timeLimit, Completion completion)
{
    auto pending = std::make_shared<Pending>(m_io, std::move(call), steadyNow() + timeLimit, std::move(completion));
    boost::asio::post(m_io, [this, alive = m_isAlive, pending] {
        if (*alive)
            attempt(pending);
    });
}

void LeaderClient::updateFrom(const ControlReply& reply)
{
    if (!reply.replicas.empty()) {
        m_keepers = { reply.replicas.begin(), reply.replicas.end() };
        // Seeds stay known: the group may have moved on while this host was cut off.
        m_keepers.insert(m_settings.seeds.begin(), m_settings.seeds.end());
    }
    if (!reply.leader.isEmpty())
        m_leader = reply.leader;
    m_tableVersion = std::max(m_tableVersion, reply.tableVersion);
}

bool LeaderClient::hasManyReplicas() const { return m_keepers.size() >= fewestKeepersForRelays; }

HostId LeaderClient::relay(TimePoint now) const
{
    if (!m_settings.callsViaFollowers || !hasManyReplicas() || m_leader.isEmpty())
        return {};
    std::vector<HostId> choices;
    for (const auto& host : m_keepers) {
        const auto avoided = m_avoidedUntil.find(host);
        if (host != m_leader && (avoided == m_avoidedUntil.end() || now >= avoided->second))
            choices.push_back(host);
    }
    return choices.empty() ? HostId() : choices[hashBytes(m_settings.self.value()) % choices.size()];
}

void LeaderClient::attempt(const std::shared_ptr<Pending>& pending)
{
    if (m_local) {
        const bool isServed = m_local(pending->call, [this, alive = m_isAlive, pending](ControlReply reply) {
            boost::asio::post(m_io, [this, alive, pending, reply = std::move(reply)] {
                if (!*alive)
                    return;
                if (reply.status == ControlStatus::NotLeader)
                    return retry(pending, m_settings.roundPause);
                m_leaderHeardAt = steadyNow();
                finish(pending, reply);
            });
        });
        if (isServed)
            return;
    }
    const HostId host = nextHost(*pending);
    if (host.isEmpty()) {
        // All were asked: an election may be under way.
        pending->asked.clear();
        return retry(pending, m_settings.roundPause);
    }
    attemptAt(pending, host);
}

HostId LeaderClient::nextHost(const Pending& pending)
{
    if (pending.asked.empty()) {
        HostId through = relay(steadyNow());
        if (!through.isEmpty())
            return through;
    }
    if (!m_leader.isEmpty() && m_leader != m_settings.self && !pending.asked.contains(m_leader))
        return m_leader;
    std::vector<HostId> others;
    for (const auto& host : m_keepers) {
        if (host != m_settings.self && !pending.asked.contains(host))
            others.push_back(host);
    }
    return others.empty() ? HostId() : others[m_nextKeeper++ % others.size()];
}

void LeaderClient::attemptAt(const std::shared_ptr<Pending>& pending, const HostId& host)
{
    const Duration left = pending->deadline - steadyNow();
    pending->asked.insert(host);
    if (left < leastAttempt)
        return retry(pending, left);
    m_transport->send(host, pending->call, std::min(left, m_settings.attemptLimit),
        [this, alive = m_isAlive, pending, host](CallTransport::Result result) {
            if (*alive)
                answered(pending, host, std::move(result));
        });
}

void LeaderClient::answered(const std::shared_ptr<Pending>& pending, const HostId& host, CallTransport::Result result)
{
    const TimePoint now = steadyNow();
    if (!result.reply) {
        pending->mayHaveRun = pending->mayHaveRun || result.mayHaveExecuted;
        pending->lastError = result.reply.error().message;
        m_avoidedUntil[host] = now + avoidFor;
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
    // A relay names the leader in its replies.
    m_leader = host;
    updateFrom(reply);
    m_leaderHeardAt = now;
    // An earlier attempt without a reply may still reach the leader, so this refusal does not say that nothing runs.
    const bool isRefusal = reply.status == ControlStatus::Refused || reply.status == ControlStatus::NotReady;
    if (isRefusal && pending->mayHaveRun) {
        reply.message += "; an earlier attempt went without a reply";
        reply.status = ControlStatus::Uncertain;
    }
    finish(pending, std::move(reply));
}

void LeaderClient::retry(const std::shared_ptr<Pending>& pending, Duration pause)
{
    const TimePoint now = steadyNow();
    if (now + std::max(pause, leastAttempt) >= pending->deadline) {
        return finish(pending,
            makeError(pending->mayHaveRun ? ErrorCode::Timeout : ErrorCode::Unavailable,
                "the leader did not answer in time: " + pending->lastError));
    }
    if (pause <= Duration(0))
        return attempt(pending);
    pending->timer.expires_after(pause);
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

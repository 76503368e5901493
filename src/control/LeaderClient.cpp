#include "control/LeaderClient.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "app/SteadyTime.h"
#include "control/ControlPaths.h"
#include "control/HostAddress.h"

namespace hickoryknot {

namespace {

/// A connection that is not made within this time leads to a host that is down or cut off.
constexpr Duration connectLimit = 250ms;
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
    std::string body;
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
    , m_client(io, { .maxConnectionsPerEndpoint = 32, .connectTimeout = connectLimit })
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

void LeaderClient::learn(const ControlReply& reply)
{
    if (!reply.keepers.empty()) {
        m_keepers = { reply.keepers.begin(), reply.keepers.end() };
        // Seeds stay known: the group may have moved on while this host was cut off.
        m_keepers.insert(m_settings.seeds.begin(), m_settings.seeds.end());
    }
    if (!reply.leader.isEmpty())
        m_leader = reply.leader;
}

void LeaderClient::attempt(const std::shared_ptr<Pending>& pending)
{
    if (m_local) {
        const bool isServed = m_local(pending->call, [this, alive = m_isAlive, pending](ControlReply reply) {
            boost::asio::post(m_io, [this, alive, pending, reply = std::move(reply)] {
                if (!*alive)
                    return;
                if (reply.verdict == ControlVerdict::NotLeader)
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
    const auto endpoint = endpointOf(host);
    pending->asked.insert(host);
    if (!endpoint)
        return retry(pending, Duration(0));
    if (left < leastAttempt)
        return retry(pending, left);
    if (pending->body.empty())
        pending->body = encodeControlCall(pending->call);
    HttpRequest request { .method = "POST", .target = control_paths::call, .headers = {}, .body = pending->body };
    m_client.send(*endpoint, std::move(request), std::min(left, m_settings.attemptLimit),
        [this, alive = m_isAlive, pending, host](HttpClientResult result) {
            if (*alive)
                answered(pending, host, std::move(result));
        });
}

void LeaderClient::answered(const std::shared_ptr<Pending>& pending, const HostId& host, HttpClientResult result)
{
    auto reply = result.response && result.response->status == 200
        ? decodeControlReply(result.response->body)
        : Expected<ControlReply>(makeError(ErrorCode::Unavailable,
            result.response ? "host " + host.value() + " answered " + std::to_string(result.response->status)
                            : result.response.error().message));
    if (!reply) {
        pending->mayHaveRun = pending->mayHaveRun || result.wasSent;
        pending->lastError = reply.error().message;
        // Other connections to this host may be dead too, without having said so.
        if (const auto endpoint = endpointOf(host))
            m_client.closeIdle(*endpoint);
        if (m_leader == host)
            m_leader = HostId();
        return retry(pending, Duration(0));
    }
    learn(*reply);
    if (reply->verdict == ControlVerdict::NotLeader) {
        pending->lastError = "host " + host.value() + " does not lead";
        if (m_leader == host)
            m_leader = HostId();
        return retry(pending, Duration(0));
    }
    m_leader = host;
    m_leaderHeardAt = steadyNow();
    finish(pending, std::move(*reply));
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

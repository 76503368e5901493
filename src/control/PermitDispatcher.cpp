#include "control/PermitDispatcher.h"

#include <algorithm>
#include <vector>

#include "app/SteadyTime.h"
#include "control/ControlPaths.h"
#include "control/HostAddress.h"

namespace hickoryknot {

namespace {

/// A helper that said nothing for this long is left alone; hosts tell of themselves twice a second.
constexpr Duration silentAfter = 1500ms;
/// On top of the time that the service needs: two hops and the helper's own delay.
constexpr Duration callMargin = 300ms;
/// Calls that take longer than this leave one host in four to the shorter ones, which would otherwise wait behind them.
constexpr Duration longCall = 100ms;
constexpr size_t hostsPerReserved = 4;
/// A call that could only begin later than this is not queued: it is asked for again when it is still wanted, and
/// whatever is more urgent by then goes first.
constexpr Duration longestQueue = 700ms;
/// Time without calls after one went wrong.
constexpr Duration failurePause = 1s;

} // namespace

PermitDispatcher::PermitDispatcher(boost::asio::io_context& io, const HostId& self, PermissionService* own)
    : m_io(io)
    , m_self(self)
    , m_own(own)
    , m_client(io, { .maxConnectionsPerEndpoint = 8, .connectTimeout = 250ms })
{
}

PermitDispatcher::~PermitDispatcher() { *m_isAlive = false; }

void PermitDispatcher::helperHeard(const HostId& host, TimePoint now) { m_helpers[host].heardAt = now; }

HostId PermitDispatcher::choose(Duration cost, TimePoint now) const
{
    std::vector<const std::pair<const HostId, Helper>*> usable;
    for (const auto& item : m_helpers) {
        if (now - item.second.heardAt <= silentAfter && now >= item.second.usableFrom)
            usable.push_back(&item);
    }
    if (usable.empty())
        return m_self;
    if (cost > longCall)
        usable.resize(usable.size() - usable.size() / hostsPerReserved);
    const auto* best = *std::min_element(usable.begin(), usable.end(), [&](const auto* a, const auto* b) {
        return std::max(a->second.freeAt, now) < std::max(b->second.freeAt, now);
    });
    return best->first;
}

void PermitDispatcher::ask(const workflow::PermitRequest& request, TimePoint now, Completion completion)
{
    if (m_own)
        m_helpers[m_self].heardAt = now;
    const HostId host = choose(request.cost, now);
    Helper& helper = m_helpers[host];
    if (helper.freeAt > now + longestQueue)
        return completion(makeError(ErrorCode::Overloaded, "all hosts have calls to the permission service waiting"));
    helper.freeAt = std::max(helper.freeAt, now) + request.cost;
    const Duration limit = helper.freeAt - now + callMargin;
    PermitCall call { .step = request.step, .workers = request.workers, .timeLimit = limit };
    auto done
        = [this, alive = m_isAlive, host, completion = std::move(completion)](Expected<workflow::PermitAnswer> answer) {
              if (*alive)
                  answered(host, answer, steadyNow());
              completion(std::move(answer));
          };
    if (host == m_self) {
        if (!m_own)
            return done(makeError(ErrorCode::Unavailable, "no host can call the permission service"));
        m_own->ask(call, std::move(done));
        return;
    }
    const auto endpoint = endpointOf(host);
    if (!endpoint)
        return done(tl::unexpected(endpoint.error()));
    HttpRequest message {
        .method = "POST", .target = control_paths::permit, .headers = {}, .body = encodePermitCall(call)
    };
    m_client.send(*endpoint, std::move(message), limit, [done = std::move(done)](HttpClientResult result) {
        if (!result.response)
            return done(tl::unexpected(result.response.error()));
        if (result.response->status != 200)
            return done(
                makeError(ErrorCode::Unavailable, "the helper answered " + std::to_string(result.response->status)));
        done(decodePermitAnswer(result.response->body));
    });
}

void PermitDispatcher::answered(const HostId& host, const Expected<workflow::PermitAnswer>& answer, TimePoint now)
{
    if (answer)
        return;
    Helper& helper = m_helpers[host];
    helper.usableFrom = now + failurePause;
    helper.freeAt = now;
}

} // namespace hickoryknot

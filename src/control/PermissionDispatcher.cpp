#include "control/PermissionDispatcher.h"

#include "app/SteadyTime.h"
#include "control/ControlPaths.h"
#include "control/HostAddress.h"

namespace hickoryknot {

namespace {

/// Added to the estimated call time: two hops and the proxy's own delay.
constexpr Duration timeoutMargin = 300ms;
/// A call that would start later than this is rejected instead of queued. The scheduler repeats it if it is still
/// needed, after more urgent ones.
constexpr Duration maxQueueTime = 700ms;

} // namespace

PermissionDispatcher::PermissionDispatcher(boost::asio::io_context& io, const HostId& self, PermissionService* direct)
    : m_self(self)
    , m_direct(direct)
    , m_client(io, { .maxConnectionsPerEndpoint = 8, .connectTimeout = 250ms })
{
}

PermissionDispatcher::~PermissionDispatcher() { *m_isAlive = false; }

void PermissionDispatcher::onProxyHeartbeat(const HostId& host, TimePoint now) { m_proxies.onHeartbeat(host, now); }

void PermissionDispatcher::request(const workflow::PermissionRequest& request, TimePoint now, Completion completion)
{
    if (m_direct)
        m_proxies.onHeartbeat(m_self, now);
    const auto choice = m_proxies.choose(request.estimatedCallTime, now);
    if (choice && choice->estimatedStart > now + maxQueueTime)
        return completion(makeError(ErrorCode::Overloaded, "all hosts have queued calls to the permission service"));
    const HostId host = choice ? choice->host : m_self;
    const Duration timeout = m_proxies.assign(host, request.estimatedCallTime, now) - now + timeoutMargin;
    PermissionCall call { .step = request.step, .workers = request.workers, .timeout = timeout };
    auto done = [this, alive = m_isAlive, host, completion = std::move(completion)](
                    Expected<workflow::PermissionResponse> response) {
        if (*alive && !response)
            m_proxies.onFailure(host, steadyNow());
        completion(std::move(response));
    };
    if (host == m_self) {
        if (!m_direct)
            return done(makeError(ErrorCode::Unavailable, "no host can call the permission service"));
        m_direct->requestPermissions(call, std::move(done));
        return;
    }
    const auto endpoint = endpointOf(host);
    if (!endpoint)
        return done(tl::unexpected(endpoint.error()));
    HttpRequest httpRequest {
        .method = "POST", .target = control_paths::permission, .headers = {}, .body = encodePermissionCall(call)
    };
    m_client.send(*endpoint, std::move(httpRequest), timeout, [done = std::move(done)](HttpClientResult result) {
        if (!result.response)
            return done(tl::unexpected(result.response.error()));
        if (result.response->status != 200)
            return done(makeError(ErrorCode::Unavailable,
                "the permission proxy responded with status " + std::to_string(result.response->status)));
        done(decodePermissionResponse(result.response->body));
    });
}

} // namespace hickoryknot

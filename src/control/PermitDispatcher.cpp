#include "control/PermitDispatcher.h"

#include "app/SteadyTime.h"
#include "control/ControlPaths.h"
#include "control/HostAddress.h"

namespace hickoryknot {

namespace {

/// On top of the time that the service needs: two hops and the helper's own delay.
constexpr Duration callMargin = 300ms;
/// A call that could only begin later than this is not queued: it is asked for again when it is still wanted, and
/// whatever is more urgent by then goes first.
constexpr Duration longestQueue = 700ms;

} // namespace

PermitDispatcher::PermitDispatcher(boost::asio::io_context& io, const HostId& self, PermissionService* own)
    : m_self(self)
    , m_own(own)
    , m_client(io, { .maxConnectionsPerEndpoint = 8, .connectTimeout = 250ms })
{
}

PermitDispatcher::~PermitDispatcher() { *m_isAlive = false; }

void PermitDispatcher::helperHeard(const HostId& host, TimePoint now) { m_helpers.heard(host, now); }

void PermitDispatcher::ask(const workflow::PermissionRequest& request, TimePoint now, Completion completion)
{
    if (m_own)
        m_helpers.heard(m_self, now);
    const auto choice = m_helpers.choose(request.estimatedCallTime, now);
    if (choice && choice->startsAt > now + longestQueue)
        return completion(makeError(ErrorCode::Overloaded, "all hosts have calls to the permission service waiting"));
    const HostId host = choice ? choice->host : m_self;
    const Duration limit = m_helpers.assigned(host, request.estimatedCallTime, now) - now + callMargin;
    PermissionCall call { .step = request.step, .workers = request.workers, .timeout = limit };
    auto done = [this, alive = m_isAlive, host, completion = std::move(completion)](
                    Expected<workflow::PermissionResponse> answer) {
        if (*alive && !answer)
            m_helpers.failed(host, steadyNow());
        completion(std::move(answer));
    };
    if (host == m_self) {
        if (!m_own)
            return done(makeError(ErrorCode::Unavailable, "no host can call the permission service"));
        m_own->requestPermissions(call, std::move(done));
        return;
    }
    const auto endpoint = endpointOf(host);
    if (!endpoint)
        return done(tl::unexpected(endpoint.error()));
    HttpRequest message {
        .method = "POST", .target = control_paths::permission, .headers = {}, .body = encodePermissionCall(call)
    };
    m_client.send(*endpoint, std::move(message), limit, [done = std::move(done)](HttpClientResult result) {
        if (!result.response)
            return done(tl::unexpected(result.response.error()));
        if (result.response->status != 200)
            return done(
                makeError(ErrorCode::Unavailable, "the helper answered " + std::to_string(result.response->status)));
        done(decodePermissionResponse(result.response->body));
    });
}

} // namespace hickoryknot

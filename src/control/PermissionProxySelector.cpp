#include "control/PermissionProxySelector.h"

#include <algorithm>
#include <vector>

#include "core/Hash.h"

namespace hickoryknot {

namespace {

/// A host without a heartbeat for this long is not used; hosts send a heartbeat every 400 ms.
constexpr Duration heartbeatTimeout = 1500ms;
/// Calls longer than this do not use the hosts reserved for shorter calls, which would otherwise wait behind them.
constexpr Duration longCallTime = 100ms;
constexpr size_t hostsPerReservedHost = 4;
/// How long a host is not used after a failed call.
constexpr Duration failureBackoff = 1s;

std::pair<uint64_t, HostId> keyFor(const HostId& host) { return { hashBytes(host.value()), host }; }

} // namespace

void PermissionProxySelector::onHeartbeat(const HostId& host, TimePoint now)
{
    Proxy& proxy = m_proxies[keyFor(host)];
    proxy.host = host;
    proxy.lastHeartbeat = now;
}

// After a failed call the host may be cut off, so it needs a newer heartbeat before it is used again; the heartbeat
// timeout alone would detect this only later.
bool PermissionProxySelector::isUsable(const Proxy& proxy, TimePoint now) const
{
    return now - proxy.lastHeartbeat <= heartbeatTimeout
        && (!proxy.lastFailure
            || (proxy.lastHeartbeat > *proxy.lastFailure && now >= *proxy.lastFailure + failureBackoff));
}

std::optional<PermissionProxySelector::Choice> PermissionProxySelector::choose(
    Duration estimatedCallTime, TimePoint now) const
{
    std::vector<const Proxy*> usable;
    for (const auto& [key, proxy] : m_proxies) {
        if (isUsable(proxy, now))
            usable.push_back(&proxy);
    }
    if (usable.empty())
        return std::nullopt;
    if (estimatedCallTime > longCallTime)
        usable.resize(usable.size() - usable.size() / hostsPerReservedHost);
    const Proxy* best = *std::min_element(usable.begin(), usable.end(),
        [&](const Proxy* a, const Proxy* b) { return std::max(a->idleFrom, now) < std::max(b->idleFrom, now); });
    return Choice { .host = best->host, .estimatedStart = std::max(best->idleFrom, now) };
}

TimePoint PermissionProxySelector::assign(const HostId& host, Duration estimatedCallTime, TimePoint now)
{
    Proxy& proxy = m_proxies[keyFor(host)];
    proxy.host = host;
    proxy.idleFrom = std::max(proxy.idleFrom, now) + estimatedCallTime;
    return proxy.idleFrom;
}

void PermissionProxySelector::onFailure(const HostId& host, TimePoint now)
{
    const auto found = m_proxies.find(keyFor(host));
    if (found == m_proxies.end())
        return;
    found->second.lastFailure = now;
    found->second.idleFrom = now;
}

} // namespace hickoryknot

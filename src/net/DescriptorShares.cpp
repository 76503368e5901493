#include "net/DescriptorShares.h"

#include <algorithm>
#include <sys/resource.h>

namespace hickoryknot {

namespace {

/// Descriptors that the platform keeps for files.
constexpr size_t fileDescriptors = 200;
/// Enough for 43 entry hosts, and for links to 8 control hosts, with several connections each.
constexpr size_t maxHostConnections = 256;
constexpr size_t maxReadinessConnections = 64;
constexpr size_t minConnections = 4;

} // namespace

DescriptorShares shareDescriptors(size_t maxDescriptors, DescriptorUse use)
{
    const size_t sockets = maxDescriptors - std::min(fileDescriptors, maxDescriptors / 2);
    const size_t hosts = std::max(minConnections, std::min(maxHostConnections, sockets / 8));
    const size_t readiness = std::max(minConnections, std::min(maxReadinessConnections, sockets / 8));
    switch (use) {
    case DescriptorUse::Entry: {
        const size_t outgoing = sockets / 16;
        return { .clients = std::max(minConnections, sockets - std::min(sockets, hosts + readiness + outgoing)),
            .readiness = readiness,
            .hostCalls = hosts };
    }
    case DescriptorUse::Control: {
        const size_t outgoing = sockets / 3;
        return { .clients = std::max(minConnections, sockets - std::min(sockets, 2 * hosts + outgoing)),
            .hostCalls = hosts,
            .messages = hosts };
    }
    case DescriptorUse::Serve:
        break;
    }
    return { .clients = std::max(minConnections, sockets * 3 / 4) };
}

size_t descriptorLimit(size_t configured)
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
        return configured;
    const auto own = static_cast<size_t>(limit.rlim_cur);
    return configured ? std::min(configured, own) : own;
}

} // namespace hickoryknot

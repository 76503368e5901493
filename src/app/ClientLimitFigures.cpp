#include "app/ClientLimitFigures.h"

#include "report/Metrics.h"

namespace hickoryknot {

void ClientLimitFigures::addTo(Metrics& metrics) const
{
    static constexpr std::array<const char*, memoryPoolCount> poolNames { "clients", "workers", "hosts" };
    for (size_t i = 0; i < memoryPoolCount; ++i)
        metrics.set(
            metrics.gauge("hickoryknot_request_memory_bytes",
                "Bytes held by requests without an answer and by unread responses.", { { "pool", poolNames[i] } }),
            static_cast<double>(heldBytes[i]));
    struct Series {
        const char* event;
        uint64_t ClientLimitCounters::*count;
    };
    static constexpr Series series[] = {
        { "request_refused", &ClientLimitCounters::refusedRequests },
        { "connection_dropped", &ClientLimitCounters::droppedConnections },
        { "connection_evicted", &ClientLimitCounters::evictedConnections },
        { "connection_rejected", &ClientLimitCounters::rejectedConnections },
    };
    for (const auto& [port, counters] : ports) {
        for (const auto& [event, count] : series) {
            const auto id = metrics.counter("hickoryknot_client_limits_total",
                "What was done about clients that reached a limit.", { { "port", port }, { "event", event } });
            metrics.add(id, counters.*count - metrics.value(id));
        }
    }
}

} // namespace hickoryknot

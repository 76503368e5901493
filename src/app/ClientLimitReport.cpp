#include "app/ClientLimitReport.h"

#include "app/EventLog.h"
#include "net/MemoryBudget.h"

namespace hickoryknot {

namespace {

/// Bounds the lines that clients can cause.
constexpr Duration linePeriod = 10s;

} // namespace

ClientLimitReport::ClientLimitReport(std::shared_ptr<const MemoryBudget> memory)
    : m_memory(std::move(memory))
{
}

ClientLimitReport::~ClientLimitReport() = default;

void ClientLimitReport::addPort(std::string name, ReadCounters read)
{
    m_ports.push_back({ .name = std::move(name), .read = std::move(read), .logged = {} });
}

ClientLimitFigures ClientLimitReport::figures() const
{
    ClientLimitFigures figures;
    for (size_t i = 0; i < memoryPoolCount; ++i)
        figures.heldBytes[i] = m_memory->heldBytes(static_cast<MemoryPool>(i));
    for (const auto& port : m_ports)
        figures.ports.emplace_back(port.name, port.read());
    return figures;
}

void ClientLimitReport::logChanges(TimePoint now)
{
    if (now < m_nextLine)
        return;
    m_nextLine = now + linePeriod;
    for (auto& port : m_ports) {
        const auto counters = port.read();
        if (counters == port.logged)
            continue;
        const auto& logged = port.logged;
        EventLog::write(EventLevel::Warning, Event::ClientsLimited,
            "clients reached a limit of this host; the counts are those since the last such line",
            { { "port", port.name },
                { "refusedRequests", std::to_string(counters.refusedRequests - logged.refusedRequests) },
                { "droppedConnections", std::to_string(counters.droppedConnections - logged.droppedConnections) },
                { "evictedConnections", std::to_string(counters.evictedConnections - logged.evictedConnections) },
                { "rejectedConnections", std::to_string(counters.rejectedConnections - logged.rejectedConnections) } });
        port.logged = counters;
    }
}

} // namespace hickoryknot

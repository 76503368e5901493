#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "app/ClientLimitFigures.h"
#include "core/Time.h"

namespace hickoryknot {

class MemoryBudget;

/// Reports what the ports of a process did about clients that exceed its limits. Not thread-safe: used only on the
/// network thread.
class ClientLimitReport {
public:
    using ReadCounters = std::function<ClientLimitCounters()>;

    explicit ClientLimitReport(std::shared_ptr<const MemoryBudget>);
    ~ClientLimitReport();

    void addPort(std::string name, ReadCounters);

    ClientLimitFigures figures() const;

    /// Call periodically. Writes at most one line for each port in 10 s, and only if a counter has changed.
    void logChanges(TimePoint now);

private:
    struct Port {
        std::string name;
        ReadCounters read;
        ClientLimitCounters logged;
    };

    std::shared_ptr<const MemoryBudget> m_memory;
    std::vector<Port> m_ports;
    TimePoint m_nextLine;
};

} // namespace hickoryknot

#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_set>

#include "app/ControlContext.h"
#include "app/StartSample.h"
#include "protocol/WorkerHeartbeat.h"
#include "protocol/WorkerInstructions.h"

namespace hickoryknot {

/// Answers workers' heartbeats on the zone leader and holds answers back while there is nothing to say. For the control
/// thread.
class WorkerService {
public:
    using Reply = std::function<void(Expected<WorkerInstructions>)>;

    WorkerService(ControlContext& context, std::function<void(StartSample)> recordStart)
        : m_context(context)
        , m_recordStart(std::move(recordStart))
    {
    }

    /// NotLeader: another host leads the zone's group.
    void heartbeat(const WorkerHeartbeat&, TimePoint now, WallTime wall, Reply);

    /// Answers held heartbeats that have something to be told or whose wait is over. At least every 10 ms.
    void tick(TimePoint now, WallTime wall);

    /// Answers all held heartbeats; their workers then ask another host.
    void releaseAll();

    /// All workers of the zone as a JSON list for operators.
    std::string listJson() const;

private:
    struct Held {
        TimePoint deadline;
        Reply reply;
    };

    void answer(const WorkerInstructions&, WallTime wall, const Reply&);

    ControlContext& m_context;
    std::function<void(StartSample)> m_recordStart;
    std::map<WorkerId, Held> m_held;
    /// Assignment epochs whose start was counted; an answer that was lost is given again.
    std::unordered_set<uint64_t> m_countedStarts;
};

} // namespace hickoryknot

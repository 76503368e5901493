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

/// Responds to worker heartbeats on the zone leader (long polling: a response is deferred while there are no
/// instructions). Not thread-safe: used only on the control thread.
class WorkerService {
public:
    using Reply = std::function<void(Expected<WorkerInstructions>)>;

    WorkerService(ControlContext& context, std::function<void(StartSample)> recordStart)
        : m_context(context)
        , m_recordStart(std::move(recordStart))
    {
    }

    /// Responds to a heartbeat, or defers the response. NotLeader: another host leads the zone's group.
    void onHeartbeat(const WorkerHeartbeat&, TimePoint now, WallTime wall, Reply);

    /// Sends deferred responses for workers that have new instructions or whose wait has ended. Must be called at least
    /// every 10 ms.
    void tick(TimePoint now, WallTime wall);

    /// Responds to all deferred heartbeats with NotLeader; their workers then contact another host.
    void rejectDeferredResponses();

    /// Returns all workers of the zone as a JSON list for operators.
    std::string listJson() const;

private:
    struct DeferredResponse {
        TimePoint deadline;
        Reply reply;
    };

    void respond(const WorkerInstructions&, WallTime wall, const Reply&);

    ControlContext& m_context;
    std::function<void(StartSample)> m_recordStart;
    std::map<WorkerId, DeferredResponse> m_deferredResponses;
    /// Assignment epochs whose start was counted; lost responses are sent again and must not count twice.
    std::unordered_set<uint64_t> m_countedStarts;
};

} // namespace hickoryknot

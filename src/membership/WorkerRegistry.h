#pragma once

#include <map>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "protocol/WorkerHeartbeat.h"

namespace hickoryknot {

/// Contents of the latest heartbeat of a worker. Soft state of the zone leader.
struct TrackedWorker {
    WorkerId worker {};
    uint64_t incarnation { 0 };
    RackId rack {};
    Resources capacity {};
    bool isLeaving { false };
    bool isSilent { false };
    TimePoint lastContactAt {};
};

/// Effect of a heartbeat on the registry.
enum class HeartbeatResult : uint8_t {
    Unchanged,
    Joined, // First heartbeat, or first one after the worker was silent.
    Restarted, // A newer incarnation than before.
    Changed, // The capacity, the rack or isLeaving changed.
    Stale, // From an older incarnation; must be ignored.
};

struct WorkerRegistrySettings {
    /// Workers send a heartbeat at least once a second.
    Duration silentAfter { 1500ms };
};

/// Tracks the workers of one zone by their heartbeats. Not thread safe.
class WorkerRegistry {
public:
    explicit WorkerRegistry(WorkerRegistrySettings settings)
        : m_settings(settings)
    {
    }

    HeartbeatResult onHeartbeat(const WorkerHeartbeat&, TimePoint now);
    /// Appends the workers that have become silent since the last call.
    void appendNewlySilent(TimePoint now, std::vector<WorkerId>& workers);
    void forget(const WorkerId& worker) { m_workers.erase(worker); }
    void clear() { m_workers.clear(); }

    /// Null if no heartbeat of the worker was received.
    const TrackedWorker* find(const WorkerId&) const;
    const std::map<WorkerId, TrackedWorker>& workers() const { return m_workers; }

private:
    WorkerRegistrySettings m_settings;
    std::map<WorkerId, TrackedWorker> m_workers;
};

} // namespace hickoryknot

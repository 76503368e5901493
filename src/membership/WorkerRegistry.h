#pragma once

#include <map>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "protocol/WorkerHeartbeat.h"

namespace hickoryknot {

/// What a worker last said of itself, and when. Soft state of the zone leader.
struct TrackedWorker {
    WorkerId worker {};
    uint64_t incarnation { 0 };
    RackId rack {};
    Resources capacity {};
    bool isLeaving { false };
    bool isSilent { false };
    TimePoint lastContactAt {};
};

/// What a heartbeat means to the registry.
enum class WorkerNews : uint8_t {
    Nothing,
    Joined, // First heard, or heard again after silence.
    Restarted, // Another incarnation than before.
    Changed, // Another size, rack or wish to leave.
    Stale, // Of an incarnation older than known; to be ignored.
};

struct WorkerRegistrySettings {
    /// Workers send a heartbeat at least once a second.
    Duration silentAfter { 1500ms };
};

/// The workers of one zone as seen through their heartbeats. Not thread safe.
class WorkerRegistry {
public:
    explicit WorkerRegistry(WorkerRegistrySettings settings)
        : m_settings(settings)
    {
    }

    WorkerNews onHeartbeat(const WorkerHeartbeat&, TimePoint now);
    /// Appends the workers that have become silent since the last call.
    void appendNewlySilent(TimePoint now, std::vector<WorkerId>& workers);
    void forget(const WorkerId& worker) { m_workers.erase(worker); }
    void clear() { m_workers.clear(); }

    /// Null if the worker was never heard.
    const TrackedWorker* find(const WorkerId&) const;
    const std::map<WorkerId, TrackedWorker>& workers() const { return m_workers; }

private:
    WorkerRegistrySettings m_settings;
    std::map<WorkerId, TrackedWorker> m_workers;
};

} // namespace hickoryknot

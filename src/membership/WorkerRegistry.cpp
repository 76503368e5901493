#include "membership/WorkerRegistry.h"

namespace hickoryknot {

HeartbeatResult WorkerRegistry::onHeartbeat(const WorkerHeartbeat& heartbeat, TimePoint now)
{
    const auto [at, isNew] = m_workers.try_emplace(heartbeat.worker);
    TrackedWorker& tracked = at->second;
    if (!isNew && heartbeat.incarnation < tracked.incarnation)
        return HeartbeatResult::Stale;
    const bool isRestarted = !isNew && heartbeat.incarnation > tracked.incarnation;
    const bool wasSilent = tracked.isSilent;
    const bool isChanged = tracked.rack != heartbeat.rack || tracked.capacity != heartbeat.capacity
        || tracked.isLeaving != heartbeat.isLeaving;
    tracked = { .worker = heartbeat.worker,
        .incarnation = heartbeat.incarnation,
        .rack = heartbeat.rack,
        .capacity = heartbeat.capacity,
        .isLeaving = heartbeat.isLeaving,
        .isSilent = false,
        .lastContactAt = now };
    if (isRestarted)
        return HeartbeatResult::Restarted;
    if (isNew || wasSilent)
        return HeartbeatResult::Joined;
    return isChanged ? HeartbeatResult::Changed : HeartbeatResult::Unchanged;
}

void WorkerRegistry::appendNewlySilent(TimePoint now, std::vector<WorkerId>& workers)
{
    for (auto& [worker, tracked] : m_workers) {
        if (tracked.isSilent || now - tracked.lastContactAt <= m_settings.silentAfter)
            continue;
        tracked.isSilent = true;
        workers.push_back(worker);
    }
}

const TrackedWorker* WorkerRegistry::find(const WorkerId& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

} // namespace hickoryknot

#include "membership/WorkerRegistry.h"

namespace hickoryknot {

WorkerNews WorkerRegistry::onHeartbeat(const WorkerHeartbeat& heartbeat, TimePoint now)
{
    const auto [at, isNew] = m_workers.try_emplace(heartbeat.worker);
    TrackedWorker& view = at->second;
    if (!isNew && heartbeat.incarnation < view.incarnation)
        return WorkerNews::Stale;
    const bool isRestarted = !isNew && heartbeat.incarnation > view.incarnation;
    const bool wasSilent = view.isSilent;
    const bool isChanged
        = view.rack != heartbeat.rack || view.capacity != heartbeat.capacity || view.isLeaving != heartbeat.isLeaving;
    view = { .worker = heartbeat.worker,
        .incarnation = heartbeat.incarnation,
        .rack = heartbeat.rack,
        .capacity = heartbeat.capacity,
        .isLeaving = heartbeat.isLeaving,
        .isSilent = false,
        .lastContactAt = now };
    if (isRestarted)
        return WorkerNews::Restarted;
    if (isNew || wasSilent)
        return WorkerNews::Joined;
    return isChanged ? WorkerNews::Changed : WorkerNews::Nothing;
}

void WorkerRegistry::appendNewlySilent(TimePoint now, std::vector<WorkerId>& workers)
{
    for (auto& [worker, view] : m_workers) {
        if (view.isSilent || now - view.lastContactAt <= m_settings.silentAfter)
            continue;
        view.isSilent = true;
        workers.push_back(worker);
    }
}

const TrackedWorker* WorkerRegistry::find(const WorkerId& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

} // namespace hickoryknot

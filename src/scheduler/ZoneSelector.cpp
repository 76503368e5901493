#include "scheduler/ZoneSelector.h"

#include <algorithm>

namespace hickoryknot {

namespace {

// Four peer messages. By then the zone's reported capacity includes the assignment.
constexpr Duration reportDelay = 1s;

Resources demandOf(const JobSpec& spec) { return spec.perTask * spec.tasks; }

} // namespace

void ZoneSelector::setCandidates(const std::map<ZoneId, Resources>& freeCapacityByZone, TimePoint now)
{
    while (!m_recentAssignments.empty() && now - m_recentAssignments.front().assignedAt > reportDelay)
        m_recentAssignments.pop_front();
    m_candidates.clear();
    for (const auto& [zone, free] : freeCapacityByZone) {
        Candidate candidate { .zone = zone, .freeCapacity = free, .backlog = {} };
        for (const uint32_t number : m_state.jobsOfZone(zone))
            candidate.backlog += demandOf(m_state.findJob(number)->spec).millicores;
        for (const auto& recent : m_recentAssignments) {
            if (recent.zone == zone)
                candidate.freeCapacity -= recent.demand;
        }
        m_candidates.push_back(std::move(candidate));
    }
}

ZoneId ZoneSelector::select(const CellJob& job, TimePoint now)
{
    const Resources demand = demandOf(job.spec);
    Candidate* best = nullptr;
    // Zones into which the whole job fits come first, then the most free capacity. If it fits nowhere, the shortest
    // backlog wins.
    const auto isBetter = [&](const Candidate& a, const Candidate& b) {
        const bool aFits = demand.fitsInto(a.freeCapacity);
        const bool bFits = demand.fitsInto(b.freeCapacity);
        if (aFits != bFits)
            return aFits;
        return aFits ? a.freeCapacity.millicores > b.freeCapacity.millicores : a.backlog < b.backlog;
    };
    for (auto& candidate : m_candidates) {
        const auto& refusedBy = job.refusedBy;
        if (std::find(refusedBy.begin(), refusedBy.end(), candidate.zone) != refusedBy.end())
            continue;
        if (!best || isBetter(candidate, *best))
            best = &candidate;
    }
    if (!best)
        return {};
    best->freeCapacity -= demand;
    best->backlog += demand.millicores;
    m_recentAssignments.push_back({ .assignedAt = now, .zone = best->zone, .demand = demand });
    return best->zone;
}

} // namespace hickoryknot

#include "scheduler/ZoneChoice.h"

#include <algorithm>

namespace hickoryknot {

namespace {

// Four peer messages: by then a report shows the assignment.
constexpr Duration reportLag = 1s;

Resources demandOf(const JobSpec& spec) { return spec.perTask * spec.tasks; }

} // namespace

void ZoneChoice::begin(const std::map<ZoneId, Resources>& freeOfZone, TimePoint now)
{
    while (!m_recent.empty() && now - m_recent.front().at > reportLag)
        m_recent.pop_front();
    m_candidates.clear();
    for (const auto& [zone, free] : freeOfZone) {
        Candidate candidate { .zone = zone, .room = free, .backlog = {} };
        for (const uint32_t number : m_state.jobsOfZone(zone))
            candidate.backlog += demandOf(m_state.findJob(number)->spec).millicores;
        for (const auto& recent : m_recent) {
            if (recent.zone == zone)
                candidate.room -= recent.demand;
        }
        m_candidates.push_back(std::move(candidate));
    }
}

ZoneId ZoneChoice::choose(const CellJob& job, TimePoint now)
{
    const Resources demand = demandOf(job.spec);
    Candidate* best = nullptr;
    // Room for all tasks first, then the most room; without room anywhere, the shortest backlog.
    const auto isBetter = [&](const Candidate& a, const Candidate& b) {
        const bool aFits = demand.fitsInto(a.room);
        const bool bFits = demand.fitsInto(b.room);
        if (aFits != bFits)
            return aFits;
        return aFits ? a.room.millicores > b.room.millicores : a.backlog < b.backlog;
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
    best->room -= demand;
    best->backlog += demand.millicores;
    m_recent.push_back({ .at = now, .zone = best->zone, .demand = demand });
    return best->zone;
}

} // namespace hickoryknot

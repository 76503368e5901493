#include "placement/RefusalCheck.h"

#include <fmt/format.h>

#include "placement/Formatting.h"

namespace hickoryknot {

std::string RefusalCheck::checkTable(const JobRecord& job) const
{
    const Row& row = m_state.rowOf(job).row;
    const TeamRecord& team = m_state.teams[job.team];
    const std::string& teamName = m_state.teams.name(job.team).value();
    const bool isGang = job.kind == JobKind::Gang;
    const Resources concurrentNeed = job.perTask * (isGang ? job.tasks() : 1);
    if (!QuotaTracker::isWithin(concurrentNeed, team.quota)) {
        return fmt::format(
            "{} {}, but the quota of team row {} allows {} in all. It can run only if the quota is raised.",
            isGang ? fmt::format("The {} tasks of the gang together need", job.tasks()) : "One task needs",
            formatResources(concurrentNeed), teamName, formatQuota(team.quota));
    }
    if (isGang && row.maxRunning && job.tasks() > row.maxRunning) {
        return fmt::format(
            "The gang has {} tasks that must run at once, but row {} allows maxRunning={}. It can run only "
            "if maxRunning is raised to {}.",
            job.tasks(), row.name.value(), row.maxRunning, job.tasks());
    }
    return {};
}

std::string RefusalCheck::checkWorkers(const JobRecord& job) const
{
    Resources largest;
    uint64_t fittingTasks = 0;
    for (const CapacityClass& entry : m_state.workers.capacityClasses()) {
        largest.millicores = std::max(largest.millicores, entry.capacity.millicores);
        largest.mebibytes = std::max(largest.mebibytes, entry.capacity.mebibytes);
        largest.accelerators = std::max(largest.accelerators, entry.capacity.accelerators);
        fittingTasks += uint64_t { entry.workers } * WorkerTable::fitCount(job.perTask, entry.capacity);
    }
    if (!fittingTasks) {
        return fmt::format(
            "One task needs {}, but none of the {} known workers has that much; the largest values of any "
            "worker are {}. It can run only with smaller tasks or a larger worker.",
            formatResources(job.perTask), m_state.workers.knownCount(), formatResources(largest));
    }
    if (job.kind == JobKind::Gang && fittingTasks < job.tasks()) {
        return fmt::format(
            "The gang has {} tasks of {} that must run at once, but the {} known workers have room for {} "
            "even when empty. It can run only with fewer tasks or more workers.",
            job.tasks(), formatResources(job.perTask), m_state.workers.knownCount(), fittingTasks);
    }
    return {};
}

} // namespace hickoryknot

#include "placement/RefusalCheck.h"

#include <fmt/format.h>

#include "placement/Wording.h"

namespace hickoryknot {

std::string RefusalCheck::againstTable(const JobRecord& job) const
{
    const Row& row = m_state.rowOf(job).row;
    const TeamRecord& team = m_state.teams[job.team];
    const std::string& teamName = m_state.teams.name(job.team).value();
    const bool isGang = job.kind == JobKind::Gang;
    const Resources atOnce = job.perTask * (isGang ? job.tasks() : 1);
    if (!QuotaLedger::isWithin(atOnce, team.quota)) {
        return fmt::format(
            "{} {}, but the quota of team row {} allows {} in all. It can run only if the quota is raised.",
            isGang ? fmt::format("The {} tasks of the gang together need", job.tasks()) : "One task needs",
            describe(atOnce), teamName, describeQuota(team.quota));
    }
    if (isGang && row.maxRunning && job.tasks() > row.maxRunning) {
        return fmt::format(
            "The gang has {} tasks that must run at once, but row {} allows maxRunning={}. It can run only "
            "if maxRunning is raised to {}.",
            job.tasks(), row.name.value(), row.maxRunning, job.tasks());
    }
    return {};
}

std::string RefusalCheck::againstWorkers(const JobRecord& job) const
{
    Resources largest;
    uint64_t places = 0;
    for (const CapacityClass& entry : m_state.workers.capacityClasses()) {
        largest.millicores = std::max(largest.millicores, entry.capacity.millicores);
        largest.mebibytes = std::max(largest.mebibytes, entry.capacity.mebibytes);
        largest.accelerators = std::max(largest.accelerators, entry.capacity.accelerators);
        places += uint64_t { entry.workers } * WorkerTable::timesInto(job.perTask, entry.capacity);
    }
    if (!places) {
        return fmt::format(
            "One task needs {}, but none of the {} known workers has that much; the largest values of any "
            "worker are {}. It can run only with smaller tasks or a larger worker.",
            describe(job.perTask), m_state.workers.knownCount(), describe(largest));
    }
    if (job.kind == JobKind::Gang && places < job.tasks()) {
        return fmt::format(
            "The gang has {} tasks of {} that must run at once, but the {} known workers have room for {} "
            "even when empty. It can run only with fewer tasks or more workers.",
            job.tasks(), describe(job.perTask), m_state.workers.knownCount(), places);
    }
    return {};
}

} // namespace hickoryknot

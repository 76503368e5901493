// Limits and shares of organisations in planning passes.

#include <algorithm>

#include "workflow/Planner.h"
#include "workflow/RunController.h"

namespace hickoryknot::workflow {

namespace {

/// Capacity of a pool is short if the waiting tasks need more than this part of what is free; the rest is lost to
/// fragmentation.
constexpr double usableFreeFraction = 0.9;
/// From this time before its latest start on, a gang that waits keeps room below its organisation's limit from later
/// steps of the organisation: about the time that a preemption takes. Otherwise small tasks would use each part of the
/// limit as it is released, and the gang would never start.
constexpr Duration limitClaimWindow = 3s;

bool isShort(const Resources& waiting, const Resources& free)
{
    const auto exceeds = [](int64_t demand, int64_t have) {
        return demand > 0 && static_cast<double>(demand) > usableFreeFraction * static_cast<double>(have);
    };
    return exceeds(waiting.millicores.count(), free.millicores.count())
        || exceeds(waiting.mebibytes.count(), free.mebibytes.count())
        || exceeds(waiting.accelerators.count(), free.accelerators.count());
}

bool claimsLimit(const ReadyStep& step, TimePoint now)
{
    return step.isAccepted && step.spec->isGang && now > step.latestStart() - limitClaimWindow;
}

ReadyStep withFirstTasks(const ReadyStep& step, size_t count)
{
    ReadyStep part = step;
    part.tasks.resize(count);
    return part;
}

} // namespace

uint32_t Planner::startableTasks(const ReadyStep& step) const
{
    const auto tasks = static_cast<uint32_t>(step.tasks.size());
    const uint32_t startable = m_headroom.startableTasks(step.organisationPosition, step.spec->perTask, tasks);
    return step.spec->isGang && startable < tasks ? 0 : startable;
}

void Planner::applyOrganisations(
    std::vector<ReadyStep*>& steps, const std::vector<Organisation>& organisations, TimePoint now)
{
    m_partialSteps.clear();
    m_shortPools.clear();
    m_headroom.reset(organisations, m_runController.organisationUsage());
    const bool hasShares = organisations.size() > 1;
    if (!hasShares)
        m_shares.clear();
    // Positions of an earlier pass count for nothing, because m_headroom and m_shares are empty or without limits.
    if (!hasShares && !m_headroom.hasLimits())
        return;
    std::vector<bool> hasWaitingWork(organisations.size(), false);
    std::vector<Resources> waiting; // By pool.
    std::erase_if(steps, [&](ReadyStep* step) {
        step->organisationPosition = m_headroom.find(step->organisation);
        const uint32_t startable = startableTasks(*step);
        if (hasShares) {
            if (step->organisationPosition < organisations.size())
                hasWaitingWork[step->organisationPosition] = true;
            const size_t pool = poolIndex(step->queue.pool);
            if (pool >= waiting.size())
                waiting.resize(pool + 1);
            waiting[pool] += resourceDemand(*step->spec) * static_cast<int64_t>(startable);
        }
        return !startable && !claimsLimit(*step, now);
    });
    if (!hasShares)
        return;
    Resources capacity;
    std::vector<Resources> free(waiting.size());
    for (const auto& worker : m_workers) {
        capacity += worker.tracked->profile.capacity;
        if (worker.pool < free.size())
            free[worker.pool] += maxOf(worker.free, {});
    }
    m_shares.update(organisations, m_runController.organisationUsage(), hasWaitingWork, capacity);
    for (size_t pool = 0; pool < waiting.size(); ++pool) {
        if (isShort(waiting[pool], free[pool]))
            m_shortPools.push_back(*m_pools[pool]);
    }
}

bool Planner::isBehindForShare(const OrganisationName& name, const PoolName& pool) const
{
    return isBehindForShare(m_headroom.find(name), pool);
}

bool Planner::isBehindForShare(uint32_t organisationPosition, const PoolName& pool) const
{
    return !m_shortPools.empty() && m_shares.isOver(organisationPosition)
        && std::find(m_shortPools.begin(), m_shortPools.end(), pool) != m_shortPools.end();
}

bool Planner::planStepWithinLimit(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    const uint32_t startable = startableTasks(step);
    const size_t before = decisions.placements.size();
    const size_t preparedBefore = m_reservingGangs + decisions.preemptions.size();
    if (startable)
        planStep(startable < step.tasks.size() ? m_partialSteps.emplace_back(withFirstTasks(step, startable)) : step,
            decisions, now);
    // A gang below the limit that waits for something else, which may never come, claims nothing.
    const bool isPrepared = m_reservingGangs + decisions.preemptions.size() > preparedBefore;
    if (decisions.placements.size() == before && (!startable || isPrepared) && claimsLimit(step, now))
        m_headroom.claim(step.organisationPosition, step.spec->perTask * static_cast<int64_t>(step.tasks.size()));
    return startable > 0;
}

} // namespace hickoryknot::workflow

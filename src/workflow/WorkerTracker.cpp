#include "workflow/WorkerTracker.h"

#include <algorithm>
#include <limits>

namespace hickoryknot::workflow {

namespace {

/// Consecutive failed runs before probation. A single failure is usually the task's own fault.
constexpr uint32_t failuresBeforeProbation = 2;
/// Initial and maximum probation; doubled with each further failure.
constexpr Duration initialProbation = 2s;
constexpr Duration maxProbation = 16s;

} // namespace

Resources resourceDemand(const StepSpec& step)
{
    Resources size = step.perTask;
    if (step.usesSpareCapacity)
        size.millicores = Millicores(0);
    return size;
}

void WorkerTracker::clear()
{
    m_workers.clear();
    m_latestStartOfWorker.clear();
    m_latestStartAtAddress.clear();
    m_numbers.clear();
}

TrackedWorker& WorkerTracker::findOrAdd(const WorkerIncarnation& incarnation)
{
    const auto [found, isNew] = m_workers.try_emplace(incarnation);
    TrackedWorker& worker = found->second;
    if (isNew) {
        worker.profile.incarnation = incarnation;
        worker.number
            = m_numbers.try_emplace(incarnation.worker, static_cast<uint32_t>(m_numbers.size())).first->second;
        worker.isSuperseded = isSuperseded(incarnation);
    }
    return worker;
}

void WorkerTracker::recordStart(const WorkerIncarnation& incarnation)
{
    bool isLater = false;
    const auto raise = [&](auto& latest, const auto& key) {
        const auto [found, isFirst] = latest.try_emplace(key, incarnation.startTimeMs);
        isLater = isLater || isFirst || found->second < incarnation.startTimeMs;
        found->second = std::max(found->second, incarnation.startTimeMs);
    };
    raise(m_latestStartOfWorker, incarnation.worker);
    raise(m_latestStartAtAddress, incarnation.address);
    if (!isLater)
        return;
    for (auto& [other, worker] : m_workers) {
        const bool isSameWorker = other.worker == incarnation.worker || other.address == incarnation.address;
        worker.isSuperseded = worker.isSuperseded || (isSameWorker && other.startTimeMs < incarnation.startTimeMs);
    }
}

WorkerTracker::ReportResult WorkerTracker::applyReport(const WorkerReport& report, TimePoint now)
{
    const WorkerIncarnation& incarnation = report.profile.incarnation;
    if (isSuperseded(incarnation))
        return ReportResult::Stale;
    TrackedWorker& worker = findOrAdd(incarnation);
    const bool isNew = !worker.isProfileKnown;
    if (!isNew && report.sequence <= worker.sequence)
        return ReportResult::Stale;
    const bool isChanged = isNew || !(worker.profile == report.profile);
    worker.profile = report.profile;
    worker.isProfileKnown = true;
    recordStart(incarnation);
    worker.sequence = report.sequence;
    worker.lastContactAt = now;
    worker.profileReceivedAt = now;
    worker.profileClock = report.clock;
    worker.lifetime.addReport(report.clock, now);
    return isChanged ? ReportResult::Changed : ReportResult::Unchanged;
}

TrackedWorker& WorkerTracker::addRecorded(const WorkerProfile& profile, TimePoint now)
{
    TrackedWorker& worker = findOrAdd(profile.incarnation);
    worker.profile = profile;
    worker.isProfileKnown = true;
    recordStart(profile.incarnation);
    // Counts as contacted now until it responds or reports, because most recorded workers still exist.
    worker.lastContactAt = now;
    return worker;
}

TrackedWorker& WorkerTracker::addForRun(const WorkerIncarnation& incarnation, TimePoint leaseEnd)
{
    TrackedWorker& worker = findOrAdd(incarnation);
    worker.leaseEnd = std::max(worker.leaseEnd, leaseEnd);
    return worker;
}

void WorkerTracker::markSuperseded(const WorkerIncarnation& incarnation, int64_t startTimeMs, TimePoint now)
{
    if (startTimeMs <= incarnation.startTimeMs)
        return;
    const WorkerIncarnation next {
        .worker = incarnation.worker, .startTimeMs = startTimeMs, .address = incarnation.address
    };
    findOrAdd(next).lastContactAt = now;
    recordStart(next);
}

TrackedWorker* WorkerTracker::find(const WorkerIncarnation& incarnation)
{
    const auto found = m_workers.find(incarnation);
    return found == m_workers.end() ? nullptr : &found->second;
}

const TrackedWorker* WorkerTracker::find(const WorkerIncarnation& incarnation) const
{
    const auto found = m_workers.find(incarnation);
    return found == m_workers.end() ? nullptr : &found->second;
}

TrackedWorker* WorkerTracker::current(const WorkerId& worker)
{
    // Incarnations are ordered by id, then by start time.
    auto after = m_workers.upper_bound(WorkerIncarnation { worker, std::numeric_limits<int64_t>::max(), "\x7f" });
    if (after == m_workers.begin())
        return nullptr;
    --after;
    return after->first.worker == worker ? &after->second : nullptr;
}

void WorkerTracker::remove(const WorkerIncarnation& incarnation) { m_workers.erase(incarnation); }

bool WorkerTracker::isSuperseded(const WorkerIncarnation& incarnation) const
{
    const auto ofWorker = m_latestStartOfWorker.find(incarnation.worker);
    const auto atAddress = m_latestStartAtAddress.find(incarnation.address);
    return (ofWorker != m_latestStartOfWorker.end() && ofWorker->second > incarnation.startTimeMs)
        || (atAddress != m_latestStartAtAddress.end() && atAddress->second > incarnation.startTimeMs);
}

bool WorkerTracker::isProfileCurrent(const TrackedWorker& worker, TimePoint now) const
{
    if (!worker.profileReceivedAt)
        return false;
    Duration age = now - *worker.profileReceivedAt;
    // A partition may have delayed the report for seconds; the clock in later responses shows it.
    const WorkerClock& clock = worker.lifetime.clock();
    if (worker.profileClock && clock.isKnown())
        age = std::max(age, (clock.lowerBound(now) - *worker.profileClock) * Duration(1ms));
    return age < m_settings.maxProfileAge;
}

bool WorkerTracker::isPresent(const TrackedWorker& worker, TimePoint now) const
{
    return worker.isProfileKnown && !worker.isSuperseded && !worker.profile.isDraining && !worker.leavingSince
        && now - worker.lastContactAt < m_settings.contactTimeout && !worker.consecutiveFailedCalls
        && now >= worker.backoffEnd;
}

bool WorkerTracker::isReadyForWork(const TrackedWorker& worker, TimePoint now) const
{
    return isPresent(worker, now) && isProfileCurrent(worker, now) && worker.lifetime.clock().isKnown()
        && worker.hasConfirmedFence && !worker.hasInheritedRuns && !worker.isInDoubt
        && (!worker.pendingStartSince || now - *worker.pendingStartSince < m_settings.startResponseTimeout);
}

void WorkerTracker::allocate(TrackedWorker& worker, const StepRef& step, const StepSpec& spec)
{
    worker.used += resourceDemand(spec);
    ++worker.taskCountByStep[step];
}

void WorkerTracker::release(TrackedWorker& worker, const StepRef& step, const StepSpec& spec)
{
    worker.used -= resourceDemand(spec);
    const auto present = worker.taskCountByStep.find(step);
    if (present != worker.taskCountByStep.end() && !--present->second)
        worker.taskCountByStep.erase(present);
}

void WorkerTracker::onRunEnded(TrackedWorker& worker, RunOutcome outcome, TimePoint now)
{
    if (outcome == RunOutcome::Done) {
        worker.consecutiveFailedRuns = 0;
        worker.probationDuration = Duration(0);
    }
    if (outcome != RunOutcome::Failed || ++worker.consecutiveFailedRuns < failuresBeforeProbation)
        return;
    worker.probationDuration = std::clamp(worker.probationDuration * 2, initialProbation, maxProbation);
    worker.probationEnd = now + worker.probationDuration;
}

Millicores WorkerTracker::capacity(const PoolName& pool, TimePoint now) const
{
    Millicores sum;
    for (const auto& [incarnation, worker] : m_workers) {
        if (worker.profile.pool == pool && isHealthy(worker, now))
            sum += worker.profile.capacity.millicores;
    }
    return sum;
}

} // namespace hickoryknot::workflow

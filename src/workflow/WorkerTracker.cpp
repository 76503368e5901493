#include "workflow/WorkerTracker.h"

#include <algorithm>
#include <limits>
#include <utility>

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
    m_latestAtAddress.clear();
    m_endedStarts.clear();
    m_confirmed.clear();
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

bool WorkerTracker::isLatest(const WorkerIncarnation& incarnation) const
{
    const auto ofWorker = m_latestStartOfWorker.find(incarnation.worker);
    const auto atAddress = m_latestAtAddress.find(incarnation.address);
    return ofWorker != m_latestStartOfWorker.end() && ofWorker->second == incarnation.startTimeMs
        && atAddress != m_latestAtAddress.end() && atAddress->second.worker == incarnation.worker;
}

void WorkerTracker::setLatest(const WorkerIncarnation& incarnation)
{
    m_latestStartOfWorker[incarnation.worker] = incarnation.startTimeMs;
    m_latestAtAddress[incarnation.address] = { incarnation.worker, incarnation.startTimeMs };
    auto& ended = m_endedStarts[incarnation.worker];
    ended.erase(ended.begin(), ended.upper_bound(incarnation.startTimeMs));
    for (auto& [other, worker] : m_workers) {
        if (other.worker == incarnation.worker || other.address == incarnation.address)
            worker.isSuperseded = other != incarnation;
        if (other == incarnation)
            worker.isUnconfirmed = false;
        if (other.worker == incarnation.worker && other.startTimeMs > incarnation.startTimeMs)
            ended.insert(other.startTimeMs);
    }
}

WorkerTracker::ReportOrder WorkerTracker::orderOf(const WorkerIncarnation& incarnation, TimePoint now)
{
    if (hasEnded(incarnation) || isAddressTaken(incarnation))
        return ReportOrder::Earlier;
    const TrackedWorker* latest = current(incarnation.worker);
    if (!latest || latest->incarnation() == incarnation)
        return ReportOrder::Latest;
    const TrackedWorker* known = find(incarnation);
    if (known && known->isSuperseded)
        return ReportOrder::Earlier;
    // Before it has responded to this leader, an incarnation has nothing that would be lost by an error.
    if (!latest->hasConfirmedFence && incarnation.startTimeMs > latest->incarnation().startTimeMs)
        return ReportOrder::Latest;
    const bool isSilent = now - latest->lastContactAt >= m_settings.contactTimeout;
    return isSilent && latest->taskCountByStep.empty() ? ReportOrder::Latest : ReportOrder::Open;
}

void WorkerTracker::onResponded(TrackedWorker& worker)
{
    worker.isInDoubt = false;
    if (worker.isSuperseded || !std::exchange(worker.isUnconfirmed, false))
        return;
    // The incarnation that counted as the latest one was known before the request was sent, so it has ended.
    setLatest(worker.incarnation());
    m_confirmed.push_back(worker.incarnation().worker);
}

std::vector<WorkerId> WorkerTracker::drainConfirmed() { return std::exchange(m_confirmed, {}); }

WorkerTracker::ReportResult WorkerTracker::applyReport(const WorkerReport& report, TimePoint now)
{
    const WorkerIncarnation& incarnation = report.profile.incarnation;
    const ReportOrder order = orderOf(incarnation, now);
    if (order == ReportOrder::Earlier)
        return ReportResult::Stale;
    TrackedWorker& worker = findOrAdd(incarnation);
    const bool isNew = !worker.isProfileKnown;
    if (!isNew && report.sequence <= worker.sequence)
        return ReportResult::Stale;
    const bool isChanged = isNew || !worker.profile.isLike(report.profile);
    if (isChanged) {
        worker.profile = report.profile;
        worker.profile.sinceReport = report.sequence;
    }
    worker.isProfileKnown = true;
    worker.sequence = report.sequence;
    worker.lastContactAt = now;
    worker.profileReceivedAt = now;
    worker.profileClock = report.clock;
    worker.lifetime.addReport(report.clock, now);
    if (order == ReportOrder::Open) {
        worker.isSuperseded = false;
        worker.isUnconfirmed = true;
        current(incarnation.worker)->isInDoubt = true;
        return ReportResult::Stale;
    }
    if (!isLatest(incarnation))
        setLatest(incarnation);
    return isChanged ? ReportResult::Changed : ReportResult::Unchanged;
}

TrackedWorker& WorkerTracker::addRecorded(const WorkerProfile& profile, TimePoint now)
{
    TrackedWorker& worker = findOrAdd(profile.incarnation);
    worker.profile = profile;
    worker.sequence = profile.sinceReport;
    worker.isProfileKnown = true;
    if (!isSuperseded(profile.incarnation))
        setLatest(profile.incarnation);
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
    const WorkerIncarnation next {
        .worker = incarnation.worker, .startTimeMs = startTimeMs, .address = incarnation.address
    };
    const auto latest = m_latestStartOfWorker.find(incarnation.worker);
    // If a third incarnation has become known since the request, its order to this one is open, and start times decide.
    const bool isLater = latest == m_latestStartOfWorker.end() || latest->second == incarnation.startTimeMs
        || latest->second < startTimeMs;
    TrackedWorker& sender = findOrAdd(next);
    sender.lastContactAt = now;
    sender.isInDoubt = false;
    if (isLater) {
        setLatest(next);
        m_confirmed.push_back(next.worker);
    }
    if (m_latestStartOfWorker.at(incarnation.worker) < incarnation.startTimeMs)
        m_endedStarts[incarnation.worker].insert(incarnation.startTimeMs);
    if (TrackedWorker* ended = find(incarnation))
        ended->isSuperseded = true;
}

void WorkerTracker::markReplacedAtAddress(const WorkerIncarnation& incarnation)
{
    if (TrackedWorker* worker = find(incarnation))
        worker->isSuperseded = true;
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

TrackedWorker* WorkerTracker::current(const WorkerId& id)
{
    const auto latest = m_latestStartOfWorker.find(id);
    // Incarnations are ordered by id, then by start time.
    auto item = m_workers.lower_bound(WorkerIncarnation { id, std::numeric_limits<int64_t>::min(), {} });
    TrackedWorker* last = nullptr;
    for (; item != m_workers.end() && item->first.worker == id; ++item) {
        last = &item->second;
        if (latest != m_latestStartOfWorker.end() && item->first.startTimeMs == latest->second)
            return last;
    }
    return latest == m_latestStartOfWorker.end() ? last : nullptr;
}

void WorkerTracker::remove(const WorkerIncarnation& incarnation) { m_workers.erase(incarnation); }

bool WorkerTracker::hasEnded(const WorkerIncarnation& incarnation) const
{
    const auto ended = m_endedStarts.find(incarnation.worker);
    return ended != m_endedStarts.end() && ended->second.contains(incarnation.startTimeMs);
}

bool WorkerTracker::isAddressTaken(const WorkerIncarnation& incarnation) const
{
    const auto occupant = m_latestAtAddress.find(incarnation.address);
    return occupant != m_latestAtAddress.end() && occupant->second.worker != incarnation.worker
        && occupant->second.startTimeMs > incarnation.startTimeMs;
}

bool WorkerTracker::isSuperseded(const WorkerIncarnation& incarnation) const
{
    const auto ofWorker = m_latestStartOfWorker.find(incarnation.worker);
    return (ofWorker != m_latestStartOfWorker.end() && ofWorker->second > incarnation.startTimeMs)
        || hasEnded(incarnation) || isAddressTaken(incarnation);
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
    return worker.isProfileKnown && !worker.isSuperseded && !worker.isUnconfirmed && !worker.profile.isDraining
        && !worker.leavingSince && now - worker.lastContactAt < m_settings.contactTimeout
        && !worker.consecutiveFailedCalls && now >= worker.backoffEnd;
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

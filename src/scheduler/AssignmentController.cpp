#include "scheduler/AssignmentController.h"

#include <algorithm>

namespace hickoryknot {

namespace {

// A shorter lease would expire before the next heartbeat can renew it.
constexpr Duration minLease = 200ms;
// The lease of a task that ignores its stop command is no longer renewed after this time. Together with the lease this
// stays below the 8 s in which urgent work must start.
constexpr Duration stopGracePeriod = 4s;
// A stop command may be lost, so it is sent again while the worker still lists the task, but not in every response,
// because each long poll of the worker would then complete at once.
constexpr Duration stopResendInterval = 500ms;
// Time for which a task that is not repeatable waits for a final report of its worker before its result counts as lost.
constexpr Duration finalReportTimeout = 30s;

} // namespace

bool isSupersededInCell(const ZoneJob& job, const CellState& cell)
{
    if (!job.number.isCellJob)
        return false;
    const CellJob* record = cell.findJob(job.number.number);
    // Numbers are assigned in ascending order: a job that is unknown and below the next number has ended and was
    // removed.
    if (!record)
        return job.number.number < cell.nextJob();
    if (record->epoch != job.epoch)
        return record->epoch > job.epoch;
    return record->phase == CellJobPhase::Queued || record->phase == CellJobPhase::Ended;
}

AssignmentController::AssignmentController(const LeaseTimes& times, const ZoneState& state, const CellState& cell)
    : m_times(times)
    , m_leaseCalculator(times)
    , m_state(state)
    , m_cell(cell)
    , m_leases(times)
{
}

void AssignmentController::becomeLeader(uint64_t term, TimePoint now)
{
    clear();
    m_term = term;
    // In order of epochs, so that the result is deterministic.
    std::map<uint64_t, TaskKey> assignments(m_state.assignments().begin(), m_state.assignments().end());
    for (const auto& [epoch, key] : assignments)
        track(epoch, key, true, now);
    // Stop requests of an earlier leader are not recorded, so they are derived again from the jobs.
    syncAll(now);
}

void AssignmentController::clear()
{
    m_leases.clear();
    m_assignments.clear();
    m_assignmentsOfJob.clear();
    m_sessions.clear();
    m_workersToNotify.clear();
    m_unsent.clear();
    m_pendingEnds.clear();
}

void AssignmentController::track(uint64_t epoch, const TaskKey& key, bool isInherited, TimePoint now)
{
    const ZoneJob& job = *m_state.findJob(key.job);
    const WorkerRecord& worker = m_state.workers()[job.tasks[key.task].worker];
    m_assignments[epoch] = { .key = key,
        .worker = worker.worker,
        .incarnation = worker.incarnation,
        .phase = isInherited ? TrackedAssignment::Phase::Sent : TrackedAssignment::Phase::Unsent,
        .isRepeatable = job.spec.isRepeatable,
        .isInherited = isInherited,
        .expiredAt = {},
        .stop = {} };
    m_assignmentsOfJob[key.job].push_back(epoch);
    m_sessions[worker.worker].assignments.push_back(epoch);
    if (isInherited) {
        m_leases.recordGrant(epoch, now, m_times.task);
        return;
    }
    m_unsent.push_back(epoch);
    notifyWorker(worker.worker);
}

void AssignmentController::sync(JobNumber number, TimePoint now)
{
    const ZoneJob* job = m_state.findJob(number);
    // Assignments whose end is committed.
    if (const auto known = m_assignmentsOfJob.find(number); known != m_assignmentsOfJob.end()) {
        const auto epochs = known->second;
        for (const uint64_t epoch : epochs) {
            if (!m_state.findAssignment(epoch))
                untrack(epoch);
        }
    }
    if (!job)
        return;
    // New assignments, and assignments of jobs that must end.
    for (uint32_t task = 0; task < job->tasks.size(); ++task) {
        const TaskRecord& record = job->tasks[task];
        if (record.phase != TaskPhase::Assigned)
            continue;
        if (!m_assignments.contains(record.epoch))
            track(record.epoch, { .job = number, .task = task }, false, now);
        if (job->phase != ZoneJobPhase::Active)
            requestStop(record.epoch, false, TaskResult::Stopped, now);
    }
}

void AssignmentController::syncAll(TimePoint now)
{
    std::vector<JobNumber> jobs(m_state.openJobs().begin(), m_state.openJobs().end());
    for (const auto& [number, epochs] : m_assignmentsOfJob)
        jobs.push_back(number);
    for (const auto number : jobs)
        sync(number, now);
}

void AssignmentController::untrack(uint64_t epoch)
{
    const auto known = m_assignments.find(epoch);
    const TrackedAssignment assignment = known->second;
    m_assignments.erase(known);
    m_leases.release(epoch);
    auto& ofJob = m_assignmentsOfJob[assignment.key.job];
    std::erase(ofJob, epoch);
    if (ofJob.empty())
        m_assignmentsOfJob.erase(assignment.key.job);
    auto& session = m_sessions[assignment.worker];
    std::erase(session.assignments, epoch);
    if (!assignment.isEndReported)
        return;
    session.acknowledged.push_back(taskId(assignment));
    notifyWorker(assignment.worker);
}

void AssignmentController::requestStop(uint64_t epoch, bool checkpoint, TaskResult result, TimePoint now)
{
    const auto known = m_assignments.find(epoch);
    if (known == m_assignments.end() || known->second.stop || known->second.isEndProposed)
        return;
    TrackedAssignment& assignment = known->second;
    if (assignment.phase == TrackedAssignment::Phase::Unsent) {
        queueEnd(epoch, assignment, TaskResult::NeverStarted, 0, Duration::zero());
        return;
    }
    assignment.stop = { .checkpoint = checkpoint, .result = result, .requestedAt = now, .sentAt = {} };
    notifyWorker(assignment.worker);
}

void AssignmentController::cancelUnsentStarts(const WorkerRegistry& workers)
{
    std::erase_if(m_unsent, [&](uint64_t epoch) {
        const auto known = m_assignments.find(epoch);
        if (known == m_assignments.end() || known->second.phase != TrackedAssignment::Phase::Unsent)
            return true;
        TrackedAssignment& assignment = known->second;
        const TrackedWorker* worker = workers.find(assignment.worker);
        const bool isAvailable
            = worker && !worker->isSilent && !worker->isLeaving && worker->incarnation == assignment.incarnation;
        if (!isAvailable)
            queueEnd(epoch, assignment, TaskResult::NeverStarted, 0, Duration::zero());
        return !isAvailable;
    });
}

void AssignmentController::notifyWorker(const WorkerId& worker)
{
    auto& session = m_sessions[worker];
    if (session.hasInstructions)
        return;
    session.hasInstructions = true;
    m_workersToNotify.push_back(worker);
}

void AssignmentController::queueEnd(
    uint64_t epoch, TrackedAssignment& assignment, TaskResult result, int exitCode, Duration runTime)
{
    if (assignment.isEndProposed)
        return;
    assignment.isEndProposed = true;
    m_pendingEnds.push_back({ .job = assignment.key.job,
        .task = assignment.key.task,
        .epoch = epoch,
        .result = result,
        .exitCode = exitCode,
        .runTime = runTime });
}

void AssignmentController::onHeartbeat(const WorkerHeartbeat& heartbeat)
{
    auto& session = m_sessions[heartbeat.worker];
    session.orphans.clear();
    for (const uint64_t epoch : session.assignments)
        m_assignments.at(epoch).isInLatestReport = false;
    processRunningTasks(heartbeat, session);
    processEndedTasks(heartbeat, session);
    processUnlistedTasks(heartbeat, session);
}

void AssignmentController::processRunningTasks(const WorkerHeartbeat& heartbeat, Session& session)
{
    for (const auto& running : heartbeat.running) {
        const auto known = m_assignments.find(running.epoch);
        const bool isOwned = known != m_assignments.end() && known->second.worker == heartbeat.worker
            && known->second.incarnation == heartbeat.incarnation && taskId(known->second) == running.task;
        if (!isOwned) {
            // An epoch that this state has not reached yet was assigned by a later leader.
            if (!m_state.isKnownEpoch(running.epoch))
                continue;
            session.orphans.push_back({ .task = running.task, .epoch = running.epoch, .checkpoint = false });
            continue;
        }
        TrackedAssignment& assignment = known->second;
        assignment.phase = TrackedAssignment::Phase::Running;
        assignment.isInLatestReport = true;
        assignment.isStartAcknowledged = true;
    }
}

void AssignmentController::processEndedTasks(const WorkerHeartbeat& heartbeat, Session& session)
{
    for (const auto& ended : heartbeat.ended) {
        const auto known = m_assignments.find(ended.epoch);
        const bool isOwned = known != m_assignments.end() && known->second.worker == heartbeat.worker
            && taskId(known->second) == ended.task;
        if (!isOwned) {
            // An epoch that this state has not reached yet was assigned by a later leader. An acknowledgement would
            // hide the end from that leader before it is recorded.
            if (!m_state.isKnownEpoch(ended.epoch))
                continue;
            // The end is recorded already, or the assignment was given up. Either way the worker need not report it
            // again.
            session.acknowledged.push_back(ended.task);
            session.hasInstructions = true;
            continue;
        }
        TrackedAssignment& assignment = known->second;
        assignment.isEndReported = true;
        assignment.isStartAcknowledged = true;
        const TaskResult result = ended.exitCode == 0 ? TaskResult::Finished
            : assignment.stop                         ? assignment.stop->result
                                                      : TaskResult::Failed;
        queueEnd(ended.epoch, assignment, result, ended.exitCode, ended.runTime);
    }
}

// Draws conclusions from assignments that the heartbeat does not list.
void AssignmentController::processUnlistedTasks(const WorkerHeartbeat& heartbeat, Session& session)
{
    if (heartbeat.term != m_term)
        return;
    for (const uint64_t epoch : session.assignments) {
        TrackedAssignment& assignment = m_assignments.at(epoch);
        if (assignment.isInLatestReport || assignment.isEndReported || assignment.incarnation != heartbeat.incarnation)
            continue;
        if (assignment.phase != TrackedAssignment::Phase::Sent || assignment.isInherited)
            continue;
        if (heartbeat.lastSequence < assignment.sentSequence)
            assignment.isStartPossiblyLost = true;
        else if (heartbeat.lastSequence == assignment.sentSequence || !assignment.isStartPossiblyLost)
            assignment.isStartAcknowledged = true;
    }
    for (const uint64_t epoch : session.assignments) {
        TrackedAssignment& assignment = m_assignments.at(epoch);
        const bool isAfterExpiry
            = assignment.expiredAt && heartbeat.lastSequence >= assignment.firstSequenceAfterExpiry;
        // A restarted worker does not know what its earlier incarnation ran.
        if (isAfterExpiry && !assignment.isInLatestReport && !assignment.isEndReported
            && assignment.incarnation == heartbeat.incarnation)
            assignment.isAbsentAfterExpiry = true;
    }
}

bool AssignmentController::isStartable(const TrackedAssignment& assignment, const TrackedWorker& worker) const
{
    return assignment.phase == TrackedAssignment::Phase::Unsent && !assignment.isEndProposed && !assignment.stop
        && !worker.isSilent && assignment.incarnation == worker.incarnation;
}

Duration AssignmentController::leaseFor(const ZoneJob& job, const LeaseLimits& limits, TimePoint now) const
{
    if (limits.confirmedAt == TimePoint::min())
        return Duration::zero();
    // A successor waits for one task lease plus clock drift, counted from a time after `confirmedAt`.
    Duration lease
        = m_leaseCalculator.maxGrantable(now, m_leaseCalculator.expiry(limits.confirmedAt, m_times.task), m_times.task);
    const Row* row = m_cell.table().findClass(job.spec.row);
    const CellJob* record = job.number.isCellJob ? m_cell.findJob(job.number.number) : nullptr;
    // The strictest of all cut-off rules that may be in force. Jobs submitted to the zone itself never move.
    const bool endsWithZoneLease = job.number.isCellJob
        && (job.cutOff == CutOffRule::Stop || (row && row->cutOff == CutOffRule::Stop)
            || (record && record->cutOff == CutOffRule::Stop));
    if (endsWithZoneLease)
        lease = limits.zoneLeaseEnd == TimePoint::min()
            ? Duration::zero()
            : m_leaseCalculator.maxGrantable(now, limits.zoneLeaseEnd, lease);
    return lease < minLease ? Duration::zero() : lease;
}

bool AssignmentController::isRenewable(const TrackedAssignment& assignment, const ZoneJob& job, TimePoint now) const
{
    if (!assignment.isInLatestReport || assignment.isEndProposed || job.phase == ZoneJobPhase::Superseded
        || isSupersededInCell(job, m_cell))
        return false;
    return !assignment.stop || now - assignment.stop->requestedAt < stopGracePeriod;
}

WorkerInstructions AssignmentController::buildInstructions(
    const TrackedWorker& worker, const LeaseLimits& limits, TimePoint now)
{
    auto& session = m_sessions[worker.worker];
    WorkerInstructions instructions;
    instructions.term = m_term;
    instructions.sequence = ++session.sequence;
    for (const uint64_t epoch : session.assignments) {
        TrackedAssignment& assignment = m_assignments.at(epoch);
        const ZoneJob* job = m_state.findJob(assignment.key.job);
        if (!job)
            continue;
        const Duration lease = leaseFor(*job, limits, now);
        if (lease > Duration::zero() && isRenewable(assignment, *job, now)) {
            m_leases.recordGrant(epoch, now, lease);
            instructions.renew.push_back({ .task = taskId(assignment), .epoch = epoch, .lease = lease });
        } else if (lease > Duration::zero() && isStartable(assignment, worker) && !isSupersededInCell(*job, m_cell)) {
            addStart(epoch, assignment, *job, lease, now, instructions);
        }
        addStop(epoch, assignment, now, instructions);
    }
    addOrphanStops(session, now, instructions);
    instructions.acknowledged = std::move(session.acknowledged);
    session.acknowledged.clear();
    session.hasInstructions = false;
    return instructions;
}

void AssignmentController::addStart(uint64_t epoch, TrackedAssignment& assignment, const ZoneJob& job, Duration lease,
    TimePoint now, WorkerInstructions& instructions)
{
    assignment.phase = TrackedAssignment::Phase::Sent;
    assignment.isInherited = false;
    assignment.isStartPossiblyLost = false;
    assignment.sentSequence = instructions.sequence;
    m_leases.recordGrant(epoch, now, lease);
    instructions.start.push_back({ .task = taskId(assignment),
        .epoch = epoch,
        .job = makeJobId(job.number, m_state.zone()),
        .command = job.spec.command,
        .resources = job.spec.perTask,
        .lease = lease });
}

void AssignmentController::addStop(
    uint64_t epoch, TrackedAssignment& assignment, TimePoint now, WorkerInstructions& instructions)
{
    if (!assignment.stop || assignment.isEndReported)
        return;
    if (assignment.stop->sentAt && now - *assignment.stop->sentAt < stopResendInterval)
        return;
    assignment.stop->sentAt = now;
    instructions.stop.push_back(
        { .task = taskId(assignment), .epoch = epoch, .checkpoint = assignment.stop->checkpoint });
}

void AssignmentController::addOrphanStops(Session& session, TimePoint now, WorkerInstructions& instructions)
{
    if (session.orphans.empty() || (session.orphanStopsSentAt && now - *session.orphanStopsSentAt < stopResendInterval))
        return;
    session.orphanStopsSentAt = now;
    instructions.stop.insert(instructions.stop.end(), session.orphans.begin(), session.orphans.end());
}

bool AssignmentController::hasInstructions(const WorkerId& worker) const
{
    const auto session = m_sessions.find(worker);
    return session != m_sessions.end() && session->second.hasInstructions;
}

std::vector<WorkerId> AssignmentController::drainWorkersToNotify() { return std::exchange(m_workersToNotify, {}); }

void AssignmentController::endExpiredAssignments(const WorkerRegistry& workers, TimePoint now)
{
    cancelUnsentStarts(workers);
    std::vector<uint64_t> expired;
    m_leases.appendExpired(now, expired);
    for (const uint64_t epoch : expired) {
        TrackedAssignment& assignment = m_assignments.at(epoch);
        if (!assignment.isEndProposed)
            handleExpiredLease(epoch, assignment, now);
    }
}

void AssignmentController::handleExpiredLease(uint64_t epoch, TrackedAssignment& assignment, TimePoint now)
{
    if (assignment.isRepeatable) {
        // A start command is never sent again for the same assignment, even if it was lost: a successor may have
        // recorded the end of the assignment by now, and the worker would run it in parallel with the successor's
        // assignment of the task.
        queueEnd(epoch, assignment, TaskResult::Lost, 0, Duration::zero());
        return;
    }
    // The task is not repeatable, and its worker may still report a result.
    if (!assignment.expiredAt) {
        assignment.expiredAt = now;
        assignment.firstSequenceAfterExpiry = m_sessions[assignment.worker].sequence + 1;
    }
    const bool surelyNeverStarted = assignment.isAbsentAfterExpiry && assignment.isStartPossiblyLost
        && !assignment.isStartAcknowledged && !assignment.isInherited;
    if (surelyNeverStarted)
        queueEnd(epoch, assignment, TaskResult::NeverStarted, 0, Duration::zero());
    else if (assignment.isAbsentAfterExpiry || now - *assignment.expiredAt > finalReportTimeout)
        queueEnd(epoch, assignment, TaskResult::Lost, 0, Duration::zero());
}

std::vector<EndTasks::Entry> AssignmentController::drainPendingEnds() { return std::exchange(m_pendingEnds, {}); }

void AssignmentController::requeueEnd(const EndTasks::Entry& entry)
{
    const auto known = m_assignments.find(entry.epoch);
    if (known != m_assignments.end() && known->second.isEndProposed)
        m_pendingEnds.push_back(entry);
}

const TrackedAssignment* AssignmentController::find(uint64_t epoch) const
{
    const auto known = m_assignments.find(epoch);
    return known == m_assignments.end() ? nullptr : &known->second;
}

TaskId AssignmentController::taskId(const TrackedAssignment& assignment) const
{
    return makeTaskId(assignment.key.job, assignment.key.task, m_state.zone());
}

} // namespace hickoryknot

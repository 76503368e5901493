#include "scheduler/WorkerDesk.h"

#include <algorithm>

namespace hickoryknot {

namespace {

// A shorter lease would end before the next heartbeat can renew it.
constexpr Duration minLease = 200ms;
// A task that ignores its stop command loses its lease after this time. Together with the lease it stays below the 8 s
// in which urgent work must start.
constexpr Duration stopGrace = 4s;
// A stop command may be lost; workers that still list the task are told again, but not in every answer, because a held
// answer would then return at once each time.
constexpr Duration stopRepeat = 500ms;
// How long to wait for a worker's word on a task that must not run twice before its result counts as lost.
constexpr Duration wordWait = 30s;

} // namespace

bool isMovedOn(const ZoneJob& job, const CellState& cell)
{
    if (!job.number.isCellJob)
        return false;
    const CellJob* record = cell.findJob(job.number.number);
    // Unknown and numbered below the newest: ended long ago.
    if (!record)
        return job.number.number < cell.nextJob();
    if (record->epoch != job.epoch)
        return record->epoch > job.epoch;
    return record->phase == CellJobPhase::Queued || record->phase == CellJobPhase::Ended;
}

WorkerDesk::WorkerDesk(const LeaseTimes& times, const ZoneState& state, const CellState& cell)
    : m_times(times)
    , m_bound(times)
    , m_state(state)
    , m_cell(cell)
    , m_leases(times)
{
}

void WorkerDesk::begin(uint64_t term, TimePoint now)
{
    clear();
    m_term = term;
    // In the order of their epochs, so that all hosts answer alike.
    std::map<uint64_t, TaskKey> assignments(m_state.assignments().begin(), m_state.assignments().end());
    for (const auto& [epoch, key] : assignments)
        adopt(epoch, key, true, now);
    // Jobs that must end were perhaps told so by an earlier leader only.
    syncAll(now);
}

void WorkerDesk::clear()
{
    m_leases.clear();
    m_views.clear();
    m_viewsOfJob.clear();
    m_sessions.clear();
    m_woken.clear();
    m_unsent.clear();
    m_endings.clear();
}

void WorkerDesk::adopt(uint64_t epoch, const TaskKey& key, bool isInherited, TimePoint now)
{
    const ZoneJob& job = *m_state.findJob(key.job);
    const WorkerRecord& worker = m_state.workers()[job.tasks[key.task].worker];
    m_views[epoch] = { .key = key,
        .worker = worker.worker,
        .incarnation = worker.incarnation,
        .phase = isInherited ? AssignmentView::Phase::Sent : AssignmentView::Phase::Unsent,
        .isRepeatable = job.spec.isRepeatable,
        .isInherited = isInherited,
        .expiredAt = {},
        .stop = {} };
    m_viewsOfJob[key.job].push_back(epoch);
    m_sessions[worker.worker].assignments.push_back(epoch);
    if (isInherited) {
        m_leases.granted(epoch, now, m_times.task);
        return;
    }
    m_unsent.push_back(epoch);
    wake(worker.worker);
}

void WorkerDesk::sync(JobNumber number, TimePoint now)
{
    const ZoneJob* job = m_state.findJob(number);
    // Assignments that have ended.
    if (const auto known = m_viewsOfJob.find(number); known != m_viewsOfJob.end()) {
        const auto epochs = known->second;
        for (const uint64_t epoch : epochs) {
            if (!m_state.findAssignment(epoch))
                remove(epoch);
        }
    }
    if (!job)
        return;
    // New assignments, and those of jobs that must end.
    for (uint32_t task = 0; task < job->tasks.size(); ++task) {
        const TaskRecord& record = job->tasks[task];
        if (record.phase != TaskPhase::Assigned)
            continue;
        if (!m_views.contains(record.epoch))
            adopt(record.epoch, { .job = number, .task = task }, false, now);
        if (job->phase != ZoneJobPhase::Active)
            requestStop(record.epoch, false, TaskResult::Stopped, now);
    }
}

void WorkerDesk::syncAll(TimePoint now)
{
    std::vector<JobNumber> jobs(m_state.openJobs().begin(), m_state.openJobs().end());
    for (const auto& [number, epochs] : m_viewsOfJob)
        jobs.push_back(number);
    for (const auto number : jobs)
        sync(number, now);
}

void WorkerDesk::remove(uint64_t epoch)
{
    const auto known = m_views.find(epoch);
    const AssignmentView view = known->second;
    m_views.erase(known);
    m_leases.released(epoch);
    auto& ofJob = m_viewsOfJob[view.key.job];
    std::erase(ofJob, epoch);
    if (ofJob.empty())
        m_viewsOfJob.erase(view.key.job);
    auto& session = m_sessions[view.worker];
    std::erase(session.assignments, epoch);
    if (!view.isReported)
        return;
    session.acknowledged.push_back(taskId(view));
    wake(view.worker);
}

void WorkerDesk::requestStop(uint64_t epoch, bool checkpoint, TaskResult result, TimePoint now)
{
    const auto known = m_views.find(epoch);
    if (known == m_views.end() || known->second.stop || known->second.isEnding)
        return;
    AssignmentView& view = known->second;
    if (view.phase == AssignmentView::Phase::Unsent) {
        end(epoch, view, TaskResult::NeverStarted, 0, Duration::zero());
        return;
    }
    view.stop = { .checkpoint = checkpoint, .result = result, .since = now, .sentAt = {} };
    wake(view.worker);
}

void WorkerDesk::recallUnsent(const WorkerRegistry& workers)
{
    std::erase_if(m_unsent, [&](uint64_t epoch) {
        const auto known = m_views.find(epoch);
        if (known == m_views.end() || known->second.phase != AssignmentView::Phase::Unsent)
            return true;
        AssignmentView& view = known->second;
        const TrackedWorker* worker = workers.find(view.worker);
        const bool isThere
            = worker && !worker->isSilent && !worker->isLeaving && worker->incarnation == view.incarnation;
        if (!isThere)
            end(epoch, view, TaskResult::NeverStarted, 0, Duration::zero());
        return !isThere;
    });
}

void WorkerDesk::wake(const WorkerId& worker)
{
    auto& session = m_sessions[worker];
    if (session.hasNews)
        return;
    session.hasNews = true;
    m_woken.push_back(worker);
}

void WorkerDesk::end(uint64_t epoch, AssignmentView& view, TaskResult result, int exitCode, Duration runTime)
{
    if (view.isEnding)
        return;
    view.isEnding = true;
    m_endings.push_back({ .job = view.key.job,
        .task = view.key.task,
        .epoch = epoch,
        .result = result,
        .exitCode = exitCode,
        .runTime = runTime });
}

void WorkerDesk::report(const WorkerHeartbeat& heartbeat)
{
    auto& session = m_sessions[heartbeat.worker];
    session.strays.clear();
    for (const uint64_t epoch : session.assignments)
        m_views.at(epoch).isListed = false;
    reportRunning(heartbeat, session);
    reportEnded(heartbeat, session);
    judgeUnlisted(heartbeat, session);
}

void WorkerDesk::reportRunning(const WorkerHeartbeat& heartbeat, Session& session)
{
    for (const auto& running : heartbeat.running) {
        const auto known = m_views.find(running.epoch);
        const bool isHis = known != m_views.end() && known->second.worker == heartbeat.worker
            && known->second.incarnation == heartbeat.incarnation && taskId(known->second) == running.task;
        if (!isHis) {
            // An assignment that this state does not know yet belongs to a later leader.
            if (!m_state.isKnownEpoch(running.epoch))
                continue;
            session.strays.push_back({ .task = running.task, .epoch = running.epoch, .checkpoint = false });
            continue;
        }
        AssignmentView& view = known->second;
        view.phase = AssignmentView::Phase::Running;
        view.isListed = true;
        view.isReceived = true;
    }
}

void WorkerDesk::reportEnded(const WorkerHeartbeat& heartbeat, Session& session)
{
    for (const auto& ended : heartbeat.ended) {
        const auto known = m_views.find(ended.epoch);
        const bool isHis
            = known != m_views.end() && known->second.worker == heartbeat.worker && taskId(known->second) == ended.task;
        if (!isHis) {
            // Unknown here: a later leader has yet to record this end, and would miss it if it were acknowledged.
            if (!m_state.isKnownEpoch(ended.epoch))
                continue;
            // Its end is recorded, or it was given up; either way there is nothing more to report.
            session.acknowledged.push_back(ended.task);
            session.hasNews = true;
            continue;
        }
        AssignmentView& view = known->second;
        view.isReported = true;
        view.isReceived = true;
        const TaskResult result = ended.exitCode == 0 ? TaskResult::Finished
            : view.stop                               ? view.stop->result
                                                      : TaskResult::Failed;
        end(ended.epoch, view, result, ended.exitCode, ended.runTime);
    }
}

// What the report says by leaving tasks out.
void WorkerDesk::judgeUnlisted(const WorkerHeartbeat& heartbeat, Session& session)
{
    if (heartbeat.term != m_term)
        return;
    for (const uint64_t epoch : session.assignments) {
        AssignmentView& view = m_views.at(epoch);
        if (view.isListed || view.isReported || view.incarnation != heartbeat.incarnation)
            continue;
        if (view.phase != AssignmentView::Phase::Sent || view.isInherited)
            continue;
        if (heartbeat.lastSequence < view.sentSequence)
            view.isMissed = true;
        else if (heartbeat.lastSequence == view.sentSequence || !view.isMissed)
            view.isReceived = true;
    }
    for (const uint64_t epoch : session.assignments) {
        AssignmentView& view = m_views.at(epoch);
        const bool isAfterExpiry = view.expiredAt && heartbeat.lastSequence >= view.probeSequence;
        // A restarted worker knows nothing of what its earlier process ran.
        if (isAfterExpiry && !view.isListed && !view.isReported && view.incarnation == heartbeat.incarnation)
            view.isDenied = true;
    }
}

bool WorkerDesk::isStartable(const AssignmentView& view, const TrackedWorker& worker) const
{
    return view.phase == AssignmentView::Phase::Unsent && !view.isEnding && !view.stop && !worker.isSilent
        && view.incarnation == worker.incarnation;
}

Duration WorkerDesk::leaseFor(const ZoneJob& job, const LeaseLimits& limits, TimePoint now) const
{
    if (limits.confirmedAt == TimePoint::min())
        return Duration::zero();
    // A successor counts one lease and its drift from a moment after `confirmedAt`.
    Duration lease = m_bound.grantable(now, m_bound.expiry(limits.confirmedAt, m_times.task), m_times.task);
    const Row* row = m_cell.table().findClass(job.spec.row);
    const CellJob* record = job.number.isCellJob ? m_cell.findJob(job.number.number) : nullptr;
    // The strictest of all rules that may be in force; jobs with a home zone never move.
    const bool endsWithZoneLease = job.number.isCellJob
        && (job.cutOff == CutOffRule::Stop || (row && row->cutOff == CutOffRule::Stop)
            || (record && record->cutOff == CutOffRule::Stop));
    if (endsWithZoneLease)
        lease = limits.zoneLeaseEnd == TimePoint::min() ? Duration::zero()
                                                        : m_bound.grantable(now, limits.zoneLeaseEnd, lease);
    return lease < minLease ? Duration::zero() : lease;
}

bool WorkerDesk::isRenewable(const AssignmentView& view, const ZoneJob& job, TimePoint now) const
{
    if (!view.isListed || view.isEnding || job.phase == ZoneJobPhase::Superseded || isMovedOn(job, m_cell))
        return false;
    return !view.stop || now - view.stop->since < stopGrace;
}

WorkerInstructions WorkerDesk::answer(const TrackedWorker& worker, const LeaseLimits& limits, TimePoint now)
{
    auto& session = m_sessions[worker.worker];
    WorkerInstructions instructions;
    instructions.term = m_term;
    instructions.sequence = ++session.sequence;
    for (const uint64_t epoch : session.assignments) {
        AssignmentView& view = m_views.at(epoch);
        const ZoneJob* job = m_state.findJob(view.key.job);
        if (!job)
            continue;
        const Duration lease = leaseFor(*job, limits, now);
        if (lease > Duration::zero() && isRenewable(view, *job, now)) {
            m_leases.granted(epoch, now, lease);
            instructions.renew.push_back({ .task = taskId(view), .epoch = epoch, .lease = lease });
        } else if (lease > Duration::zero() && isStartable(view, worker) && !isMovedOn(*job, m_cell)) {
            addStart(epoch, view, *job, lease, now, instructions);
        }
        addStop(epoch, view, now, instructions);
    }
    addStrays(session, now, instructions);
    instructions.acknowledged = std::move(session.acknowledged);
    session.acknowledged.clear();
    session.hasNews = false;
    return instructions;
}

void WorkerDesk::addStart(uint64_t epoch, AssignmentView& view, const ZoneJob& job, Duration lease, TimePoint now,
    WorkerInstructions& instructions)
{
    view.phase = AssignmentView::Phase::Sent;
    view.isInherited = false;
    view.isMissed = false;
    view.sentSequence = instructions.sequence;
    m_leases.granted(epoch, now, lease);
    instructions.start.push_back({ .task = taskId(view),
        .epoch = epoch,
        .job = makeJobId(job.number, m_state.zone()),
        .command = job.spec.command,
        .resources = job.spec.perTask,
        .lease = lease });
}

void WorkerDesk::addStop(uint64_t epoch, AssignmentView& view, TimePoint now, WorkerInstructions& instructions)
{
    if (!view.stop || view.isReported)
        return;
    if (view.stop->sentAt && now - *view.stop->sentAt < stopRepeat)
        return;
    view.stop->sentAt = now;
    instructions.stop.push_back({ .task = taskId(view), .epoch = epoch, .checkpoint = view.stop->checkpoint });
}

void WorkerDesk::addStrays(Session& session, TimePoint now, WorkerInstructions& instructions)
{
    if (session.strays.empty() || (session.straysToldAt && now - *session.straysToldAt < stopRepeat))
        return;
    session.straysToldAt = now;
    instructions.stop.insert(instructions.stop.end(), session.strays.begin(), session.strays.end());
}

bool WorkerDesk::hasNews(const WorkerId& worker) const
{
    const auto session = m_sessions.find(worker);
    return session != m_sessions.end() && session->second.hasNews;
}

std::vector<WorkerId> WorkerDesk::takeWoken() { return std::exchange(m_woken, {}); }

void WorkerDesk::checkLeases(const WorkerRegistry& workers, TimePoint now)
{
    recallUnsent(workers);
    std::vector<uint64_t> expired;
    m_leases.appendExpired(now, expired);
    for (const uint64_t epoch : expired) {
        AssignmentView& view = m_views.at(epoch);
        if (!view.isEnding)
            checkExpired(epoch, view, now);
    }
}

void WorkerDesk::checkExpired(uint64_t epoch, AssignmentView& view, TimePoint now)
{
    if (view.isRepeatable) {
        // Whether or not the start command was lost, the same assignment is never sent again: a successor may have
        // recorded its end by now, and the worker would start it beside the successor's.
        end(epoch, view, TaskResult::Lost, 0, Duration::zero());
        return;
    }
    // A task that must not run twice: its worker may still have a result to report.
    if (!view.expiredAt) {
        view.expiredAt = now;
        view.probeSequence = m_sessions[view.worker].sequence + 1;
    }
    const bool surelyNeverStarted = view.isDenied && view.isMissed && !view.isReceived && !view.isInherited;
    if (surelyNeverStarted)
        end(epoch, view, TaskResult::NeverStarted, 0, Duration::zero());
    else if (view.isDenied || now - *view.expiredAt > wordWait)
        end(epoch, view, TaskResult::Lost, 0, Duration::zero());
}

std::vector<EndTasks::Entry> WorkerDesk::takeEndings() { return std::exchange(m_endings, {}); }

void WorkerDesk::endingFailed(const EndTasks::Entry& entry)
{
    const auto known = m_views.find(entry.epoch);
    if (known != m_views.end() && known->second.isEnding)
        m_endings.push_back(entry);
}

const AssignmentView* WorkerDesk::find(uint64_t epoch) const
{
    const auto known = m_views.find(epoch);
    return known == m_views.end() ? nullptr : &known->second;
}

TaskId WorkerDesk::taskId(const AssignmentView& view) const
{
    return makeTaskId(view.key.job, view.key.task, m_state.zone());
}

} // namespace hickoryknot

#include "scheduler/ZoneScheduler.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

#include "lease/LeaseCalculator.h"
#include "scheduler/AssignmentController.h"
#include "scheduler/CellJobSync.h"
#include "scheduler/PlacementSync.h"

namespace hickoryknot {

struct ZoneScheduler::Impl {
    Impl(ZoneSchedulerSettings s, const ZoneState& z, const CellState& c, PlacerFactory factory)
        : settings(std::move(s))
        , state(z)
        , cell(c)
        , registry(settings.workers)
        , placementSync(z, std::move(factory))
        , assignmentController(settings.leases, z, c)
        , cellJobSync(z, c, settings.cellRetry)
    {
    }

    bool isConnected(TimePoint now) const { return zoneLease.isHeld(now) && tableLease.isHeld(now); }

    void propose(ProposalBatch&, ZoneCommand);
    void readChanges(TimePoint now);
    void updateConnectivity(TimePoint now);
    void detectSilentWorkers(TimePoint now);
    void proposeEnds(ProposalBatch&, UnixMs atMs);
    void proposeWorkers(ProposalBatch&, UnixMs atMs);
    void proposeCutOff(ProposalBatch&);
    void proposeDecisions(ProposalBatch&, TimePoint now, WallTime wall, UnixMs atMs);
    void proposeRefusals(ProposalBatch&, std::vector<PlacementDecisions::Refusal>, UnixMs atMs);
    void proposeExpiry(ProposalBatch&, TimePoint now, UnixMs atMs);
    void handleCommandResult(const ZoneCommand&, const CommandResult*, TimePoint now);
    void handlePlacementResult(const PlaceTasks&, const CommandResult*, TimePoint now);
    std::string explainRecord(const ZoneJob&, TimePoint now) const;

    // Settings and sources.
    ZoneSchedulerSettings settings;
    const ZoneState& state;
    const CellState& cell;

    // State of this leadership.
    bool isLeader { false };
    uint64_t term { 0 };
    TimePoint leaderSince;
    LeaseLimits limits;
    HeldLease zoneLease;
    HeldLease tableLease;
    bool wasConnected { false };
    WorkerRegistry registry;
    PlacementSync placementSync;
    AssignmentController assignmentController;
    CellJobSync cellJobSync;
    uint64_t zoneCursor { 0 };
    uint64_t cellCursor { 0 };
    std::set<WorkerId> unrecordedWorkers;
    std::map<uint64_t, ZoneCommand> outstanding;
    uint64_t nextToken { 1 };
    bool isCutOffProposed { false };
    uint64_t seenCutOffVersion { 0 };
    TimePoint cutOffSeenAt;
    TimePoint lastExpiryProposedAt;
};

ZoneScheduler::ZoneScheduler(
    ZoneSchedulerSettings settings, const ZoneState& state, const CellState& cell, PlacerFactory factory)
    : m_impl(std::make_unique<Impl>(std::move(settings), state, cell, std::move(factory)))
{
}

ZoneScheduler::~ZoneScheduler() = default;

void ZoneScheduler::becomeLeader(uint64_t term, TimePoint now)
{
    resign();
    auto& s = *m_impl;
    s.isLeader = true;
    s.term = term;
    s.leaderSince = now;
    s.lastExpiryProposedAt = now;
    s.seenCutOffVersion = s.state.cutOffVersion();
    s.cutOffSeenAt = now;
    s.assignmentController.becomeLeader(term, now);
    s.cellJobSync.reset();
    s.wasConnected = s.isConnected(now);
    s.placementSync.reset(s.cell.table(), s.registry, s.wasConnected, now);
    // All changes up to now have just been processed.
    std::vector<JobNumber> ignored;
    s.state.changes().read(s.zoneCursor, ignored);
    s.cell.changes().read(s.cellCursor, ignored);
}

void ZoneScheduler::resign()
{
    auto& s = *m_impl;
    s.isLeader = false;
    s.limits = {};
    s.zoneLease.drop();
    s.tableLease.drop();
    s.registry.clear();
    s.placementSync.clear();
    s.assignmentController.clear();
    s.unrecordedWorkers.clear();
    s.outstanding.clear();
    s.isCutOffProposed = false;
}

bool ZoneScheduler::isLeader() const { return m_impl->isLeader; }

void ZoneScheduler::onLeadershipConfirmed(TimePoint roundStartedAt)
{
    // A round that began before this leadership does not confirm it.
    if (m_impl->isLeader && roundStartedAt >= m_impl->leaderSince)
        m_impl->limits.confirmedAt = std::max(m_impl->limits.confirmedAt, roundStartedAt);
}

void ZoneScheduler::onZoneLeaseRenewed(TimePoint requestSentAt, Duration lease)
{
    if (m_impl->isLeader && lease > Duration::zero())
        m_impl->zoneLease.renew(requestSentAt, lease);
}

void ZoneScheduler::onTableLeaseRenewed(TimePoint requestSentAt, Duration lease)
{
    if (m_impl->isLeader && lease > Duration::zero())
        m_impl->tableLease.renew(requestSentAt, lease);
}

uint64_t ZoneScheduler::cutOffVersionInForce(TimePoint now) const
{
    const auto& s = *m_impl;
    const TimePoint olderLeasesEnd = LeaseCalculator(s.settings.leases).expiry(s.cutOffSeenAt, s.settings.leases.task);
    const bool isInForce = s.isLeader && s.seenCutOffVersion == s.state.cutOffVersion() && now >= olderLeasesEnd;
    return isInForce ? s.seenCutOffVersion : 0;
}

WorkerInstructions ZoneScheduler::onHeartbeat(const WorkerHeartbeat& heartbeat, TimePoint now)
{
    auto& s = *m_impl;
    if (!s.isLeader || heartbeat.zone != s.settings.zone)
        return {};
    // The record may contain a later incarnation than this leader has received a heartbeat from.
    const auto recorded = s.state.findWorker(heartbeat.worker);
    const bool isStale = recorded && s.state.workers()[*recorded].incarnation > heartbeat.incarnation;
    const HeartbeatResult result = isStale ? HeartbeatResult::Stale : s.registry.onHeartbeat(heartbeat, now);
    if (result == HeartbeatResult::Stale)
        return {};
    const TrackedWorker& trackedWorker = *s.registry.find(heartbeat.worker);
    const bool isRecorded = recorded && s.state.workers()[*recorded].incarnation == trackedWorker.incarnation
        && s.state.workers()[*recorded].capacity == trackedWorker.capacity
        && s.state.workers()[*recorded].rack == trackedWorker.rack;
    if (!isRecorded)
        s.unrecordedWorkers.insert(heartbeat.worker);
    if (result != HeartbeatResult::Unchanged)
        s.placementSync.updateWorker(trackedWorker, now);
    s.assignmentController.onHeartbeat(heartbeat);
    for (const auto& running : heartbeat.running) {
        if (const auto key = s.state.findAssignment(running.epoch))
            s.placementSync.onUsageReport(*key, running.used, now);
    }
    return buildInstructions(heartbeat.worker, now);
}

WorkerInstructions ZoneScheduler::buildInstructions(const WorkerId& worker, TimePoint now)
{
    auto& s = *m_impl;
    const TrackedWorker* trackedWorker = s.isLeader ? s.registry.find(worker) : nullptr;
    if (!trackedWorker)
        return {};
    s.limits.zoneLeaseEnd = s.zoneLease.end();
    return s.assignmentController.buildInstructions(*trackedWorker, s.limits, now);
}

bool ZoneScheduler::canDeferResponse(const WorkerHeartbeat& heartbeat, const WorkerInstructions& instructions)
{
    return instructions.term && heartbeat.term == instructions.term && instructions.start.empty()
        && instructions.stop.empty() && instructions.acknowledged.empty();
}

bool ZoneScheduler::hasInstructions(const WorkerId& worker) const
{
    return m_impl->isLeader && m_impl->assignmentController.hasInstructions(worker);
}

std::vector<WorkerId> ZoneScheduler::drainWorkersToNotify()
{
    return m_impl->assignmentController.drainWorkersToNotify();
}

ProposalBatch ZoneScheduler::tick(TimePoint now, WallTime wall)
{
    auto& s = *m_impl;
    ProposalBatch batch;
    if (!s.isLeader)
        return batch;
    const UnixMs atMs = wall.time_since_epoch() / 1ms;
    s.readChanges(now);
    if (s.seenCutOffVersion != s.state.cutOffVersion()) {
        s.seenCutOffVersion = s.state.cutOffVersion();
        s.cutOffSeenAt = now;
    }
    s.updateConnectivity(now);
    s.placementSync.updateTable(s.cell.table(), now);
    s.detectSilentWorkers(now);
    s.assignmentController.endExpiredAssignments(s.registry, now);
    // Ends are proposed before workers, so that assignmentController whose start was never sent do not count as lost
    // when a worker restarts.
    s.proposeEnds(batch, atMs);
    s.proposeWorkers(batch, atMs);
    s.proposeCutOff(batch);
    for (auto& command : s.cellJobSync.collectZoneCommands(atMs))
        s.propose(batch, std::move(command));
    s.proposeDecisions(batch, now, wall, atMs);
    s.proposeExpiry(batch, now, atMs);
    for (const auto& command : s.cellJobSync.collectCellCommands(now, atMs))
        batch.cell.push_back({ .token = s.nextToken++, .payload = encodeCellCommand(command) });
    return batch;
}

void ZoneScheduler::Impl::propose(ProposalBatch& batch, ZoneCommand command)
{
    const uint64_t token = nextToken++;
    batch.zone.push_back({ .token = token, .payload = encodeZoneCommand(command) });
    outstanding.emplace(token, std::move(command));
}

void ZoneScheduler::Impl::readChanges(TimePoint now)
{
    std::vector<JobNumber> jobs;
    if (!state.changes().read(zoneCursor, jobs)) {
        // More changes than the feed keeps: synchronise everything.
        placementSync.syncAll(now);
        assignmentController.syncAll(now);
        cellJobSync.markAllChanged();
    }
    for (const auto job : jobs) {
        placementSync.sync(job, now);
        assignmentController.sync(job, now);
        cellJobSync.markChanged(job);
    }
    jobs.clear();
    if (!cell.changes().read(cellCursor, jobs))
        cellJobSync.markAllChanged();
    for (const auto job : jobs)
        cellJobSync.markChanged(job);
}

// A cut off zone places no tasks of rows with cutOff=stop: the engine is created anew without them.
void ZoneScheduler::Impl::updateConnectivity(TimePoint now)
{
    if (wasConnected == isConnected(now))
        return;
    wasConnected = !wasConnected;
    placementSync.reset(cell.table(), registry, wasConnected, now);
}

void ZoneScheduler::Impl::detectSilentWorkers(TimePoint now)
{
    std::vector<WorkerId> silent;
    registry.appendNewlySilent(now, silent);
    for (const auto& worker : silent)
        placementSync.updateWorker(*registry.find(worker), now);
}

void ZoneScheduler::Impl::proposeEnds(ProposalBatch& batch, UnixMs atMs)
{
    EndTasks command { .entries = assignmentController.drainPendingEnds(), .atMs = atMs };
    if (command.entries.empty())
        return;
    for (const auto& entry : command.entries)
        placementSync.recordEnd(entry.epoch, entry.result, entry.runTime);
    propose(batch, std::move(command));
}

void ZoneScheduler::Impl::proposeWorkers(ProposalBatch& batch, UnixMs atMs)
{
    RecordWorkers command { .atMs = atMs };
    for (const auto& worker : unrecordedWorkers) {
        const TrackedWorker* trackedWorker = registry.find(worker);
        if (trackedWorker)
            command.entries.push_back({ .worker = worker,
                .incarnation = trackedWorker->incarnation,
                .rack = trackedWorker->rack,
                .capacity = trackedWorker->capacity });
    }
    unrecordedWorkers.clear();
    if (!command.entries.empty())
        propose(batch, std::move(command));
}

void ZoneScheduler::Impl::proposeCutOff(ProposalBatch& batch)
{
    if (isCutOffProposed || cell.table().version() <= state.cutOffVersion())
        return;
    RecordCutOff command { .tableVersion = cell.table().version() };
    for (const auto number : state.openJobs()) {
        const ZoneJob& job = *state.findJob(number);
        const Row* row = cell.table().findClass(job.spec.row);
        if (number.isCellJob && row && row->cutOff != job.cutOff)
            command.entries.push_back({ .job = number, .cutOff = row->cutOff });
    }
    isCutOffProposed = true;
    propose(batch, std::move(command));
}

void ZoneScheduler::Impl::proposeDecisions(ProposalBatch& batch, TimePoint now, WallTime wall, UnixMs atMs)
{
    auto decisions = placementSync.decide(now, wall, settings.maxDecisionsPerTick);
    if (!decisions.place.empty())
        propose(batch, PlaceTasks { .entries = std::move(decisions.place), .atMs = atMs });
    for (const uint64_t epoch : decisions.preempt)
        assignmentController.requestStop(epoch, true, TaskResult::Preempted, now);
    if (!decisions.refuse.empty())
        proposeRefusals(batch, std::move(decisions.refuse), atMs);
}

void ZoneScheduler::Impl::proposeRefusals(
    ProposalBatch& batch, std::vector<PlacementDecisions::Refusal> refusals, UnixMs atMs)
{
    RefuseJobs refused { .atMs = atMs };
    ReturnJobs returned { .atMs = atMs };
    // Another zone may have larger workers, so only the cell can refuse its jobs.
    for (auto& refusal : refusals) {
        if (refusal.job.isCellJob)
            returned.entries.push_back(
                { .job = refusal.job.number, .canNeverRun = true, .reason = std::move(refusal.reason) });
        else
            refused.entries.push_back({ .job = refusal.job, .reason = std::move(refusal.reason) });
    }
    if (!refused.entries.empty())
        propose(batch, std::move(refused));
    if (!returned.entries.empty())
        propose(batch, std::move(returned));
}

void ZoneScheduler::Impl::proposeExpiry(ProposalBatch& batch, TimePoint now, UnixMs atMs)
{
    if (now - lastExpiryProposedAt < settings.expiryInterval)
        return;
    lastExpiryProposedAt = now;
    propose(batch, Expire { .atMs = atMs });
    // Workers that have been silent for too long.
    ForgetWorkers gone;
    for (const auto& record : state.workers()) {
        const TrackedWorker* trackedWorker = registry.find(record.worker);
        const TimePoint lastContactAt = trackedWorker ? trackedWorker->lastContactAt : leaderSince;
        if (!record.worker.isEmpty() && !record.assigned && now - lastContactAt > settings.forgetWorkerAfter)
            gone.workers.push_back(record.worker);
    }
    if (!gone.workers.empty())
        propose(batch, std::move(gone));
}

void ZoneScheduler::onProposalResult(uint64_t token, const Expected<std::string>& result, TimePoint now)
{
    auto& s = *m_impl;
    const auto found = s.outstanding.find(token);
    if (!s.isLeader || found == s.outstanding.end())
        return;
    const ZoneCommand command = std::move(found->second);
    s.outstanding.erase(found);
    s.readChanges(now);
    const auto decoded
        = result ? decodeCommandResult(*result) : Expected<CommandResult>(tl::unexpected<Error>(result.error()));
    s.handleCommandResult(command, decoded ? &*decoded : nullptr, now);
}

// `result` is null if the command was not accepted or its result is unknown.
void ZoneScheduler::Impl::handleCommandResult(const ZoneCommand& command, const CommandResult* result, TimePoint now)
{
    cellJobSync.onCommandResult(command);
    if (const auto* placed = std::get_if<PlaceTasks>(&command)) {
        handlePlacementResult(*placed, result, now);
    } else if (const auto* ended = std::get_if<EndTasks>(&command)) {
        for (const auto& entry : ended->entries) {
            if (!result)
                assignmentController.requeueEnd(entry);
        }
    } else if (const auto* workers = std::get_if<RecordWorkers>(&command)) {
        for (const auto& entry : workers->entries) {
            const TrackedWorker* trackedWorker = registry.find(entry.worker);
            if (trackedWorker && result)
                placementSync.updateWorker(*trackedWorker, now);
            else if (trackedWorker)
                unrecordedWorkers.insert(entry.worker);
        }
    } else if (std::holds_alternative<RecordCutOff>(command)) {
        isCutOffProposed = false;
    } else if (const auto* gone = std::get_if<ForgetWorkers>(&command)) {
        for (const auto& worker : gone->workers) {
            if (state.findWorker(worker))
                continue;
            registry.forget(worker);
            placementSync.removeWorker(worker);
        }
    }
}

void ZoneScheduler::Impl::handlePlacementResult(const PlaceTasks& placed, const CommandResult* result, TimePoint now)
{
    const auto* done = result ? std::get_if<BatchDone>(result) : nullptr;
    for (size_t i = 0; i < placed.entries.size(); ++i) {
        if (!done || i >= done->epochs.size() || !done->epochs[i])
            placementSync.onPlacementFailed(placed.entries[i], now);
    }
}

Expected<std::string> ZoneScheduler::explainJob(const JobId& id, TimePoint now, WallTime wall) const
{
    const auto& s = *m_impl;
    const auto number = parseJobId(id, s.settings.zone);
    const ZoneJob* job = number ? s.state.findJob(*number) : nullptr;
    if (!job)
        return makeError(
            ErrorCode::NotFound, fmt::format("job {} is not known in zone {}", id.value(), s.settings.zone.value()));
    auto text = s.explainRecord(*job, now);
    if (const auto reasons = s.placementSync.explain(*number, now, wall); !reasons.empty())
        text += " " + reasons;
    return text;
}

std::string ZoneScheduler::Impl::explainRecord(const ZoneJob& job, TimePoint now) const
{
    const auto id = makeJobId(job.number, state.zone());
    if (job.phase == ZoneJobPhase::Ended)
        return fmt::format("Job {} ended as {} ({}): {}", id.value(), outcomeKindName(job.outcome.kind),
            job.outcome.reason, job.outcome.message);
    auto text
        = fmt::format("Job {} is in zone {}, submitted {} s ago: {} of {} tasks wait, {} are assigned, {} finished, "
                      "{} failed for good.",
            id.value(), state.zone().value(), std::max<UnixMs>(0, state.now() - job.submittedMs) / 1000, job.queued,
            job.spec.tasks, job.assigned, job.finished, job.failed);
    if (job.epoch > 1)
        text += fmt::format(" This is its assignment number {} to a zone.", job.epoch);
    if (job.phase != ZoneJobPhase::Active)
        text += fmt::format(" It starts nothing more ({}).", job.reason);
    const Row* row = cell.table().findClass(job.spec.row);
    if (!isConnected(now) && row && row->cutOff == CutOffRule::Stop)
        text += fmt::format(" The zone is cut off from the cell and row '{}' says cutOff=stop, so nothing of it starts "
                            "here until the cell answers again.",
            row->name.value());
    // Where the first tasks run.
    size_t named = 0;
    for (size_t task = 0; task < job.tasks.size() && named < 3; ++task) {
        const TaskRecord& record = job.tasks[task];
        if (record.phase != TaskPhase::Assigned)
            continue;
        ++named;
        text += fmt::format(" Task {} is on worker {} since {} s ({} failures, {} losses before).", task,
            state.workers()[record.worker].worker.value(), std::max<UnixMs>(0, state.now() - record.sinceMs) / 1000,
            record.failures, record.losses);
    }
    return text;
}

Resources ZoneScheduler::freeCapacity() const { return m_impl->placementSync.freeCapacity(); }

const WorkerRegistry& ZoneScheduler::workers() const { return m_impl->registry; }

} // namespace hickoryknot

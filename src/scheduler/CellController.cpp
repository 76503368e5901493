#include "scheduler/CellController.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

#include "lease/LeaseCalculator.h"
#include "scheduler/ZoneSelector.h"

namespace hickoryknot {

struct CellController::Impl {
    Impl(CellControllerSettings s, const CellState& c)
        : settings(s)
        , leaseCalculator(settings.leases)
        , state(c)
        , registry(settings.hosts)
        , zoneSelector(c)
    {
    }

    Duration maxConfirmedLease(Duration wanted, TimePoint now) const;
    Duration grantTableLease(const PeerMessage&, TimePoint now);
    Duration grantZoneLease(const PeerMessage&, TimePoint now);
    bool isTableCurrentEnough(uint64_t appliedVersion, TimePoint now) const;
    TimePoint tableLeaseExpiry(const HostId&) const;
    TimePoint zoneLeaseExpiry(const ZoneId&) const;

    // Proposes a command unless one with the same key was proposed within `proposalRetry`.
    void propose(ProposalBatch&, const std::string& key, const CellCommand&, TimePoint now);
    void trackTableVersion(TimePoint now);
    void proposeHosts(ProposalBatch&, TimePoint now, UnixMs atMs);
    void proposeHostRemovals(ProposalBatch&, TimePoint now);
    void proposeReleases(ProposalBatch&, TimePoint now, UnixMs atMs);
    void proposeCutOffConfirmations(ProposalBatch&, TimePoint now);
    void proposeGroupRepairs(ProposalBatch&, TimePoint now, UnixMs atMs);
    void proposeAssignments(ProposalBatch&, TimePoint now, UnixMs atMs);
    void proposeExpiry(ProposalBatch&, TimePoint now, UnixMs atMs);
    bool hasReleasableJobs(const ZoneId&) const;

    // Settings and sources.
    CellControllerSettings settings;
    LeaseCalculator leaseCalculator;
    const CellState& state;

    // State of this leadership.
    bool isLeader { false };
    uint64_t term { 0 };
    TimePoint leaderSince;
    TimePoint confirmedAt { TimePoint::min() };
    HostRegistry registry;
    std::map<HostId, TimePoint> tableLeases;
    std::map<ZoneId, TimePoint> zoneLeases;
    // Zones that get no lease until their proposed release is committed, with the zone's epoch before it.
    std::map<ZoneId, uint64_t> releasing;
    uint64_t tableVersion { 0 };
    TimePoint tableVersionSince;
    ZoneSelector zoneSelector;
    std::map<std::string, TimePoint> proposedAt;
    std::map<uint64_t, std::string> outstanding;
    uint64_t nextToken { 1 };
    TimePoint lastExpiryProposedAt;
};

CellController::CellController(CellControllerSettings settings, const CellState& state)
    : m_impl(std::make_unique<Impl>(settings, state))
{
}

CellController::~CellController() = default;

void CellController::becomeLeader(uint64_t term, TimePoint now)
{
    resign();
    auto& s = *m_impl;
    s.isLeader = true;
    s.term = term;
    s.leaderSince = now;
    s.lastExpiryProposedAt = now;
    s.tableVersion = s.state.table().version();
    s.tableVersionSince = now;
}

void CellController::resign()
{
    auto& s = *m_impl;
    s.isLeader = false;
    s.confirmedAt = TimePoint::min();
    s.registry.clear();
    s.tableLeases.clear();
    s.zoneLeases.clear();
    s.releasing.clear();
    s.zoneSelector.clear();
    s.proposedAt.clear();
    s.outstanding.clear();
}

bool CellController::isLeader() const { return m_impl->isLeader; }

void CellController::onLeadershipConfirmed(TimePoint roundStartedAt)
{
    if (m_impl->isLeader && roundStartedAt >= m_impl->leaderSince)
        m_impl->confirmedAt = std::max(m_impl->confirmedAt, roundStartedAt);
}

PeerLeaseGrant CellController::onPeerMessage(const PeerMessage& message, TimePoint now)
{
    auto& s = *m_impl;
    if (!s.isLeader || !s.registry.onPeerMessage(message, now))
        return {};
    s.trackTableVersion(now);
    return { .tableLease = s.grantTableLease(message, now), .zoneLease = s.grantZoneLease(message, now) };
}

// A successor waits for a full lease plus clock drift, counted from a time after `confirmedAt`.
Duration CellController::Impl::maxConfirmedLease(Duration wanted, TimePoint now) const
{
    if (confirmedAt == TimePoint::min())
        return Duration::zero();
    return leaseCalculator.maxGrantable(now, leaseCalculator.expiry(confirmedAt, wanted), wanted);
}

Duration CellController::Impl::grantTableLease(const PeerMessage& message, TimePoint now)
{
    // A later leader only waits for the leaseCalculator of recorded hosts.
    const HostRecord* record = state.findHost(message.host);
    if (!record || record->incarnation != message.incarnation || record->storeId != message.storeId)
        return Duration::zero();
    if (!isTableCurrentEnough(message.appliedTableVersion, now))
        return Duration::zero();
    const Duration lease = maxConfirmedLease(settings.leases.table, now);
    auto& expiry = tableLeases[message.host];
    if (lease > Duration::zero())
        expiry = std::max(expiry, leaseCalculator.expiry(now, lease));
    return lease;
}

bool CellController::Impl::isTableCurrentEnough(uint64_t appliedVersion, TimePoint now) const
{
    return appliedVersion >= tableVersion || now - tableVersionSince < settings.tableApplyGrace;
}

Duration CellController::Impl::grantZoneLease(const PeerMessage& message, TimePoint now)
{
    const ZoneRecord* zone = state.findZone(message.zone);
    // A zone leader with an older epoch does not know yet which jobs the cell has released.
    if (!message.leadsZone || !zone || message.zoneEpoch != zone->epoch || releasing.contains(message.zone))
        return Duration::zero();
    const TrackedHost* leader = registry.zoneLeader(message.zone, now);
    if (!leader || leader->host != message.host)
        return Duration::zero();
    const Duration lease = maxConfirmedLease(settings.leases.zone, now);
    auto& expiry = zoneLeases[message.zone];
    if (lease > Duration::zero())
        expiry = std::max(expiry, leaseCalculator.expiry(now, lease));
    return lease;
}

// An earlier leader may have granted leaseCalculator until this leader took over.
TimePoint CellController::Impl::tableLeaseExpiry(const HostId& host) const
{
    const TimePoint inherited = leaseCalculator.expiry(leaderSince, settings.leases.table);
    const auto own = tableLeases.find(host);
    return own == tableLeases.end() ? inherited : std::max(inherited, own->second);
}

TimePoint CellController::Impl::zoneLeaseExpiry(const ZoneId& zone) const
{
    const TimePoint inherited = leaseCalculator.expiry(leaderSince, settings.leases.zone);
    const auto own = zoneLeases.find(zone);
    return own == zoneLeases.end() ? inherited : std::max(inherited, own->second);
}

ProposalBatch CellController::tick(TimePoint now, WallTime wall)
{
    auto& s = *m_impl;
    ProposalBatch batch;
    if (!s.isLeader)
        return batch;
    const UnixMs atMs = wall.time_since_epoch() / 1ms;
    s.trackTableVersion(now);
    s.proposeHosts(batch, now, atMs);
    s.proposeReleases(batch, now, atMs);
    s.proposeCutOffConfirmations(batch, now);
    s.proposeGroupRepairs(batch, now, atMs);
    s.proposeAssignments(batch, now, atMs);
    s.proposeHostRemovals(batch, now);
    s.proposeExpiry(batch, now, atMs);
    return batch;
}

void CellController::onProposalResult(uint64_t token, const Expected<std::string>&, TimePoint)
{
    auto& s = *m_impl;
    const auto found = s.outstanding.find(token);
    if (found == s.outstanding.end())
        return;
    // The result does not matter: the next tick compares with the state and proposes again what is still missing.
    s.proposedAt.erase(found->second);
    s.outstanding.erase(found);
}

void CellController::Impl::propose(
    ProposalBatch& batch, const std::string& key, const CellCommand& command, TimePoint now)
{
    const auto [at, isNew] = proposedAt.try_emplace(key, now);
    if (!isNew && now - at->second < settings.proposalRetry)
        return;
    at->second = now;
    outstanding[nextToken] = key;
    batch.cell.push_back({ .token = nextToken++, .payload = encodeCellCommand(command) });
}

void CellController::Impl::trackTableVersion(TimePoint now)
{
    if (tableVersion == state.table().version())
        return;
    tableVersion = state.table().version();
    tableVersionSince = now;
}

// Hosts that joined, restarted or replaced their disk.
void CellController::Impl::proposeHosts(ProposalBatch& batch, TimePoint now, UnixMs atMs)
{
    for (const auto& [host, trackedHost] : registry.hosts()) {
        const HostRecord* record = state.findHost(host);
        const bool isRecorded = record && record->zone == trackedHost.zone && record->storeId == trackedHost.storeId
            && record->incarnation == trackedHost.incarnation;
        const bool isStale
            = record && trackedHost.storeId == record->storeId && trackedHost.incarnation < record->incarnation;
        if (!isRecorded && !isStale)
            propose(batch, "host " + host.value(),
                RecordHost { .host = host,
                    .zone = trackedHost.zone,
                    .storeId = trackedHost.storeId,
                    .incarnation = trackedHost.incarnation,
                    .atMs = atMs },
                now);
    }
}

void CellController::Impl::proposeHostRemovals(ProposalBatch& batch, TimePoint now)
{
    ForgetHosts command;
    for (const auto& [host, record] : state.hosts()) {
        const TrackedHost* trackedHost = registry.find(host);
        const TimePoint lastContactAt = trackedHost ? trackedHost->lastContactAt : leaderSince;
        const ZoneRecord* zone = state.findZone(record.zone);
        const bool isVoter = zone && std::find(zone->members.begin(), zone->members.end(), host) != zone->members.end();
        // Voters store acknowledged entries and stay until they are removed from their group.
        if (!isVoter && now - lastContactAt > settings.forgetHostAfter)
            command.hosts.push_back(host);
    }
    for (const auto& host : command.hosts) {
        registry.forget(host);
        tableLeases.erase(host);
    }
    if (!command.hosts.empty())
        propose(batch, "forget", command, now);
}

bool CellController::Impl::hasReleasableJobs(const ZoneId& zone) const
{
    const auto& jobs = state.jobsOfZone(zone);
    return std::any_of(
        jobs.begin(), jobs.end(), [&](uint32_t job) { return state.findJob(job)->cutOff == CutOffRule::Stop; });
}

// Zones whose lease has expired lose their jobs with cutOff=stop.
void CellController::Impl::proposeReleases(ProposalBatch& batch, TimePoint now, UnixMs atMs)
{
    // A release is committed once the zone's epoch has changed.
    std::erase_if(releasing, [&](const auto& entry) { return state.findZone(entry.first)->epoch != entry.second; });
    for (const auto& [zone, record] : state.zones()) {
        const bool isLost = now >= zoneLeaseExpiry(zone) && hasReleasableJobs(zone);
        if (!isLost && !releasing.contains(zone))
            continue;
        // From now on the zone gets no lease, even if its leader returns before the release is committed.
        releasing.try_emplace(zone, record.epoch);
        propose(
            batch, "release " + zone.value(), ReleaseZone { .zone = zone, .epoch = record.epoch, .atMs = atMs }, now);
    }
}

// Zones that have recorded the newest cut-off rules: the cell may apply these rules to their jobs.
void CellController::Impl::proposeCutOffConfirmations(ProposalBatch& batch, TimePoint now)
{
    for (const auto& [zone, record] : state.zones()) {
        const TrackedHost* leader = registry.zoneLeader(zone, now);
        if (!leader || leader->zoneCutOffVersion != tableVersion)
            continue;
        const auto& jobs = state.jobsOfZone(zone);
        const bool isOpen = std::any_of(jobs.begin(), jobs.end(), [&](uint32_t number) {
            const CellJob& job = *state.findJob(number);
            const Row* row = state.table().findClass(job.spec.row);
            return row && row->cutOff != job.cutOff;
        });
        if (isOpen)
            propose(batch, "rules " + zone.value(), ConfirmCutOff { .zone = zone, .tableVersion = tableVersion }, now);
    }
}

// A group of two has no majority when one member fails. Each committed entry is stored on both members, so the other
// one may continue alone.
void CellController::Impl::proposeGroupRepairs(ProposalBatch& batch, TimePoint now, UnixMs atMs)
{
    if (now - leaderSince < settings.removeVoterAfter)
        return;
    for (const auto& [zone, record] : state.zones()) {
        if (record.members.size() != 2)
            continue;
        const auto isGone = [&](const HostId& host) {
            const TrackedHost* trackedHost = registry.find(host);
            return !trackedHost || now - trackedHost->lastContactAt > settings.removeVoterAfter;
        };
        const bool firstGone = isGone(record.members[0]);
        if (firstGone == isGone(record.members[1]))
            continue;
        propose(batch, "group " + zone.value(),
            SetZoneGroup { .zone = zone,
                .expectedGeneration = record.generation,
                .members = { record.members[firstGone ? 1 : 0] },
                .atMs = atMs },
            now);
    }
}

void CellController::Impl::proposeAssignments(ProposalBatch& batch, TimePoint now, UnixMs atMs)
{
    if (state.queuedJobs().empty())
        return;
    // Only zones that hold a lease and have a known leader.
    std::map<ZoneId, Resources> freeCapacityByZone;
    for (const auto& [zone, record] : state.zones()) {
        const TrackedHost* leader = registry.zoneLeader(zone, now);
        const auto lease = zoneLeases.find(zone);
        const bool isHeld = lease != zoneLeases.end() && now < lease->second && !releasing.contains(zone);
        if (leader && isHeld)
            freeCapacityByZone[zone] = leader->free;
    }
    const auto last = proposedAt.find("assign");
    if (freeCapacityByZone.empty() || (last != proposedAt.end() && now - last->second < settings.proposalRetry))
        return;
    zoneSelector.setCandidates(freeCapacityByZone, now);
    AssignCellJobs command { .atMs = atMs };
    for (const uint32_t number : state.queuedJobs()) {
        if (command.entries.size() == settings.maxAssignmentsPerTick)
            break;
        const CellJob& job = *state.findJob(number);
        if (auto zone = zoneSelector.select(job, now); !zone.isEmpty())
            command.entries.push_back({ .job = number, .epoch = job.epoch, .zone = std::move(zone) });
    }
    if (!command.entries.empty())
        propose(batch, "assign", command, now);
}

void CellController::Impl::proposeExpiry(ProposalBatch& batch, TimePoint now, UnixMs atMs)
{
    if (now - lastExpiryProposedAt < settings.expiryInterval)
        return;
    lastExpiryProposedAt = now;
    propose(batch, "expire", Expire { .atMs = atMs }, now);
}

TableAcknowledgement CellController::tableAcknowledgement(uint64_t version, TimePoint now) const
{
    const auto& s = *m_impl;
    TableAcknowledgement result { .version = version, .isComplete = s.isLeader };
    std::map<ZoneId, bool> isAppliedIn;
    for (const auto& [host, record] : s.state.hosts()) {
        const TrackedHost* trackedHost = s.registry.find(host);
        const bool isApplied = trackedHost && trackedHost->incarnation == record.incarnation
            && trackedHost->appliedTableVersion >= version;
        auto& isAppliedInZone = isAppliedIn[record.zone];
        isAppliedInZone = isAppliedInZone || isApplied;
        if (isApplied)
            continue;
        result.missingHosts.push_back(host);
        result.isComplete = result.isComplete && now >= s.tableLeaseExpiry(host);
    }
    for (const auto& [zone, isApplied] : isAppliedIn) {
        if (!isApplied)
            result.missingZones.push_back(zone);
    }
    return result;
}

Expected<std::string> CellController::explainJob(const JobId& id, TimePoint now, WallTime wall) const
{
    const auto& s = *m_impl;
    const auto status = s.state.jobStatus(id);
    if (!status)
        return tl::unexpected(status.error());
    const CellJob& job = *s.state.findJob(parseJobId(id, ZoneId("cell"))->number);
    const UnixMs sinceS = std::max<UnixMs>(0, (wall.time_since_epoch() / 1ms - job.sinceMs) / 1000);
    switch (job.phase) {
    case CellJobPhase::Ended:
        return fmt::format("Job {} ended {} s ago as {} ({}): {}", id.value(), sinceS,
            outcomeKindName(job.outcome.kind), job.outcome.reason, job.outcome.message);
    case CellJobPhase::Queued:
        return fmt::format("Job {} has waited {} s for a zone (reason: {}; {} zones said that it can never run there). "
                           "It goes to the next zone that holds a lease from the cell.",
            id.value(), sinceS, job.reason, job.refusedBy.size());
    case CellJobPhase::Cancelling:
        return fmt::format("Job {} was cancelled {} s ago; zone {} has not yet said that nothing of it runs any more.",
            id.value(), sinceS, job.zone.value());
    case CellJobPhase::Assigned:
        break;
    }
    auto text = fmt::format("Job {} is in zone {} since {} s; it is its assignment number {} to a zone.", id.value(),
        job.zone.value(), sinceS, job.epoch);
    if (s.isLeader && now >= s.zoneLeaseExpiry(job.zone))
        text += job.cutOff == CutOffRule::Keep
            ? " The zone does not answer; the row says cutOff=keep, so the job stays there until the zone returns."
            : " The zone does not answer and its lease has run out; the job moves to another zone.";
    return text;
}

const HostRegistry& CellController::hosts() const { return m_impl->registry; }

} // namespace hickoryknot

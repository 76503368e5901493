#include "consensus/LogGroup.h"

#include <algorithm>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

Error leadershipLost()
{
    return { ErrorCode::Unavailable,
        "leadership was lost before the command was committed; it may still be committed" };
}

Expected<void> checkSettings(const LogGroupSettings& settings, const RecordStore* store)
{
    const auto& timings = settings.timings;
    const bool areTimingsValid = timings.heartbeat > 0ms && timings.heartbeat * 2 <= timings.electionMin
        && timings.electionMin <= timings.electionMax && timings.leaseMargin < timings.electionMin;
    if (settings.group.empty() || settings.self.isEmpty() || !areTimingsValid || !settings.snapshotInterval
        || !settings.snapshotBytes)
        return makeError(
            ErrorCode::InvalidArgument, "a log group needs a name, a host id, a snapshot interval and valid timings");
    const auto& initial = settings.initialMembers;
    const auto self = std::find_if(
        initial.begin(), initial.end(), [&](const InitialMember& member) { return member.host == settings.self; });
    if (!store && self != initial.end() && self->isVoter)
        return makeError(ErrorCode::InvalidArgument, "a voter of " + settings.group + " requires a data folder");
    if (store && store->host() != settings.self)
        return makeError(ErrorCode::InvalidArgument, "the record store belongs to " + store->host().value());
    return {};
}

ReplicatedLogSettings logSettings(const LogGroupSettings& settings, RecordStore* store, RecoveredLog recovered)
{
    const StoreIdentity inMemory { .session = static_cast<SessionId>(settings.seed) };
    return { .group = settings.group,
        .self = settings.self,
        .identity = store ? store->identity() : inMemory,
        .initialMembers = Membership::fromInitial(settings.initialMembers),
        .seed = settings.seed,
        .timings = settings.timings,
        .trailingEntries = settings.trailingEntries,
        .trailingBytes = settings.trailingBytes,
        .batchBytes = settings.batchBytes,
        .recovered = std::move(recovered) };
}

// Validates member lists once at startup; ReplicatedLog asserts that they decode.
Expected<void> checkMemberLists(const RecoveredLog& recovered)
{
    if (recovered.snapshot) {
        if (const auto members = decodeMembership(recovered.snapshot->members); !members)
            return tl::unexpected(members.error());
    }
    for (const auto& entry : recovered.entries) {
        if (entry.kind != EntryKind::Members)
            continue;
        if (const auto members = decodeMembership(entry.payload); !members)
            return tl::unexpected(members.error());
    }
    return {};
}

} // namespace

Expected<std::unique_ptr<LogGroup>> LogGroup::open(
    const LogGroupSettings& settings, std::unique_ptr<RecordStore> storeOrNull, StateMachine& machine, TimePoint now)
{
    if (const auto checked = checkSettings(settings, storeOrNull.get()); !checked)
        return tl::unexpected(checked.error());
    RecoveredLog recovered = storeOrNull ? storeOrNull->releaseRecovered() : RecoveredLog {};
    if (const auto checked = checkMemberLists(recovered); !checked)
        return tl::unexpected(checked.error());
    const std::optional<Snapshot> snapshot = recovered.snapshot;
    if (snapshot) {
        if (const auto restored = machine.restore(*snapshot->data); !restored)
            return tl::unexpected(restored.error());
    }
    const uint64_t truncatedBytes = recovered.truncatedBytes;
    ReplicatedLog log(logSettings(settings, storeOrNull.get(), std::move(recovered)), now);
    std::unique_ptr<LogGroup> group(new LogGroup(settings, std::move(storeOrNull), machine, std::move(log)));
    group->m_appliedIndex = group->m_snapshotIndex = snapshot ? snapshot->index : 0;
    group->m_recoveredTruncatedBytes = truncatedBytes;
    return group;
}

LogGroup::LogGroup(
    const LogGroupSettings& settings, std::unique_ptr<RecordStore> store, StateMachine& machine, ReplicatedLog log)
    : m_settings(settings)
    , m_store(std::move(store))
    , m_stateMachine(machine)
    , m_log(std::move(log))
{
}

LogGroup::~LogGroup() = default;

void LogGroup::step(const LogMessage& message, TimePoint now)
{
    m_log.step(message, now);
    advance(now);
}

void LogGroup::tick(TimePoint now)
{
    m_log.tick(now);
    advance(now);
}

void LogGroup::propose(std::string payload, TimePoint now, ProposeCompletion completion)
{
    const size_t bytes = payload.size();
    if (bytes > m_settings.maxPayloadBytes) {
        completion(makeError(ErrorCode::TooLarge,
            "the command has " + std::to_string(bytes) + " bytes, more than "
                + std::to_string(m_settings.maxPayloadBytes)));
        return;
    }
    if (m_pendingBytes + bytes > m_settings.maxPendingBytes) {
        completion(makeError(ErrorCode::Overloaded, "too many uncommitted proposals"));
        return;
    }
    const auto index = m_log.propose(std::move(payload), now);
    if (!index) {
        completion(tl::unexpected(index.error()));
        return;
    }
    m_pendingBytes += bytes;
    m_proposals.emplace(*index, PendingProposal { m_log.term(), bytes, std::move(completion) });
    advance(now);
}

void LogGroup::readBarrier(TimePoint now, Completion completion)
{
    const auto round = m_log.startReadRound(now);
    if (!round) {
        completion(tl::unexpected(round.error()));
        return;
    }
    m_reads.push_back({ *round, m_log.readIndex(), std::move(completion) });
    advance(now);
}

std::vector<OutgoingMessage> LogGroup::drainMessages() { return m_log.drainMessages(); }

std::optional<WriteBatch> LogGroup::popWriteBatch()
{
    if (m_isWriteOutstanding || !isStoreUsable())
        return std::nullopt;
    auto batch = m_log.popWriteBatch();
    m_isWriteOutstanding = batch.has_value();
    return batch;
}

WriteResult LogGroup::performWrite(const WriteBatch& batch)
{
    HICKORYKNOT_ASSERT(m_store, "only a group with a store has write batches");
    return m_store->write(batch);
}

void LogGroup::onWriteCompleted(const WriteResult& result, TimePoint now)
{
    HICKORYKNOT_ASSERT(m_isWriteOutstanding, "each result belongs to the one outstanding write");
    m_isWriteOutstanding = false;
    if (result.error) {
        m_storageFailure = result.error;
        m_log.onStorageFailed(now);
    } else {
        const bool isRenewed
            = m_log.identity().store != StoreId::None && result.identity.store != m_log.identity().store;
        if (isRenewed) {
            m_wasIdentityOutdated = true;
            m_log.onIdentityRenewed(result.identity);
        }
        m_log.onPersisted(result.sequence, now);
    }
    advance(now);
}

Expected<void> LogGroup::repairStore()
{
    HICKORYKNOT_ASSERT(m_store, "only a group with a store can have a failed one");
    return m_store->repair();
}

void LogGroup::onStoreRepaired(TimePoint now)
{
    m_storageFailure.reset();
    m_log.onStorageRepaired(m_store->identity());
    advance(now);
}

void LogGroup::addMember(const HostId& host, bool isVoter, TimePoint now, Completion completion)
{
    trackMembershipChange(m_log.addMember(host, isVoter, now), host, isVoter, std::move(completion));
    advance(now);
}

void LogGroup::removeMember(const HostId& host, TimePoint now, Completion completion)
{
    trackMembershipChange(m_log.removeMember(host, now), host, false, std::move(completion));
    advance(now);
}

void LogGroup::promote(const HostId& host, TimePoint now, Completion completion)
{
    trackMembershipChange(m_log.promote(host, now), host, false, std::move(completion));
    advance(now);
}

void LogGroup::trackMembershipChange(
    Expected<LogIndex> index, const HostId& host, bool isPromotionAwaited, Completion completion)
{
    if (!index)
        completion(tl::unexpected(index.error()));
    else
        m_changes.push_back({ m_log.term(), host, *index, isPromotionAwaited, std::move(completion) });
}

Expected<void> LogGroup::transferLeadership(const HostId& host, TimePoint now)
{
    auto started = m_log.transferLeadership(host, now);
    advance(now);
    return started;
}

Expected<void> LogGroup::replaceMembers(uint64_t generation, const std::vector<InitialMember>& members, TimePoint now)
{
    auto replaced = m_log.replaceMembers(generation, members, now);
    advance(now);
    return replaced;
}

void LogGroup::advance(TimePoint now)
{
    persistInMemory(now);
    if (const auto snapshot = m_log.popInstalledSnapshot())
        installSnapshot(*snapshot);
    applyCommitted();
    snapshotIfNeeded();
    failPendingOnLeadershipLoss();
    completeReads();
    completeMembershipChanges();
}

// Without a working store this host acknowledges nothing, so writes complete immediately.
void LogGroup::persistInMemory(TimePoint now)
{
    if (isStoreUsable())
        return;
    while (const auto batch = m_log.popWriteBatch())
        m_log.onPersisted(batch->sequence, now);
}

void LogGroup::installSnapshot(const Snapshot& snapshot)
{
    const auto restored = m_stateMachine.restore(*snapshot.data);
    HICKORYKNOT_ASSERT(restored, "a snapshot of the leader can be restored");
    m_appliedIndex = m_snapshotIndex = snapshot.index;
    m_bytesSinceSnapshot = 0;
}

void LogGroup::applyCommitted()
{
    for (const auto& entry : m_log.drainCommitted())
        apply(entry);
}

void LogGroup::apply(const LogEntry& entry)
{
    HICKORYKNOT_ASSERT(entry.index == m_appliedIndex + 1, "entries are applied in order");
    std::string result;
    if (entry.kind == EntryKind::Payload)
        result = m_stateMachine.apply(entry.index, entry.payload);
    m_appliedIndex = entry.index;
    m_bytesSinceSnapshot += entry.payload.size();
    const auto found = m_proposals.find(entry.index);
    if (found == m_proposals.end())
        return;
    PendingProposal proposal = std::move(found->second);
    m_proposals.erase(found);
    m_pendingBytes -= proposal.bytes;
    if (proposal.term == entry.term)
        proposal.completion(std::move(result));
    else
        proposal.completion(tl::unexpected(leadershipLost()));
}

void LogGroup::snapshotIfNeeded()
{
    const bool isDue = m_appliedIndex >= m_snapshotIndex + m_settings.snapshotInterval
        || m_bytesSinceSnapshot >= m_settings.snapshotBytes;
    if (!isDue || !m_log.recordSnapshot(m_appliedIndex, std::make_shared<const std::string>(m_stateMachine.snapshot())))
        return;
    m_snapshotIndex = m_appliedIndex;
    m_bytesSinceSnapshot = 0;
}

// After losing leadership a host may not learn the outcome of its proposals for a long time.
void LogGroup::failPendingOnLeadershipLoss()
{
    if (m_log.isLeader() && m_log.term() == m_pendingTerm)
        return;
    m_pendingTerm = m_log.term();
    const auto isLost = [&](Term term) { return !m_log.isLeader() || m_log.term() != term; };
    std::vector<PendingProposal> lost;
    std::erase_if(m_proposals, [&](auto& item) {
        if (!isLost(item.second.term))
            return false;
        m_pendingBytes -= item.second.bytes;
        lost.push_back(std::move(item.second));
        return true;
    });
    for (const auto& proposal : lost)
        proposal.completion(tl::unexpected(leadershipLost()));
    std::erase_if(m_changes, [&](const PendingChange& change) {
        if (isLost(change.term))
            change.completion(tl::unexpected(leadershipLost()));
        return isLost(change.term);
    });
    if (m_log.isLeader())
        return;
    for (const auto& read : std::exchange(m_reads, {}))
        read.completion(makeError(ErrorCode::Unavailable, "leadership was lost before it could be confirmed"));
}

void LogGroup::completeReads()
{
    const uint64_t confirmed = m_log.confirmedRound();
    std::erase_if(m_reads, [&](const PendingRead& read) {
        const bool isDone = read.round <= confirmed && read.index <= m_appliedIndex;
        if (isDone)
            read.completion({});
        return isDone;
    });
}

void LogGroup::completeMembershipChanges()
{
    std::erase_if(m_changes, [&](const PendingChange& change) {
        const Member* member = m_log.membership().find(change.host);
        const bool isAwaited = change.isPromotionAwaited && member && !member->isVoter;
        const bool isDone = change.index <= m_appliedIndex && !isAwaited;
        if (isDone)
            change.completion({});
        return isDone;
    });
}

} // namespace hickoryknot

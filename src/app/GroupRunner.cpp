#include "app/GroupRunner.h"

#include <algorithm>

#include "app/EventLog.h"
#include "app/SteadyTime.h"
#include "app/WorkQueueThread.h"
#include "log/FileDisk.h"
#include "log/RecordStore.h"

namespace hickoryknot {

namespace {

/// Delay between attempts to confirm new leadership; about one round trip within the cell.
constexpr Duration barrierRetryDelay = 5ms;

Expected<std::unique_ptr<Disk>> openFileDisk(const std::string& folder)
{
    auto disk = FileDisk::open(folder);
    if (!disk)
        return tl::unexpected(disk.error());
    return std::unique_ptr<Disk>(std::move(*disk));
}

} // namespace

GroupRunner::GroupRunner(GroupRunnerSettings settings, Dependencies dependencies)
    : m_settings(std::move(settings))
    , m_dependencies(std::move(dependencies))
{
}

Expected<std::unique_ptr<GroupRunner>> GroupRunner::open(
    const GroupRunnerSettings& settings, StateMachine& machine, Dependencies dependencies, TimePoint now)
{
    std::unique_ptr<RecordStore> store;
    if (!settings.folder.empty()) {
        auto disk = (dependencies.openDisk ? dependencies.openDisk : openFileDisk)(settings.folder);
        if (!disk)
            return tl::unexpected(disk.error());
        const RecordStoreSettings storeSettings {
            .cell = settings.cell,
            .group = settings.log.group,
            .host = settings.log.self,
            .session = static_cast<SessionId>(settings.log.seed | 1),
        };
        auto opened = RecordStore::open(std::move(*disk), storeSettings);
        if (!opened)
            return tl::unexpected(opened.error());
        store = std::move(*opened);
    }
    auto group = LogGroup::open(settings.log, std::move(store), machine, now);
    if (!group)
        return tl::unexpected(group.error());
    std::unique_ptr<GroupRunner> runner(new GroupRunner(settings, std::move(dependencies)));
    runner->m_group = std::move(*group);
    runner->logRecovery();
    return runner;
}

void GroupRunner::step(std::string_view bytes, TimePoint now)
{
    const auto message = decodeLogMessage(bytes);
    if (!message) {
        EventLog::write(
            EventLevel::Warning, Event::RequestRejected, message.error().message, { { "group", m_settings.name } });
        return;
    }
    // Entries of a later term may be applied in this step, so the end of leadership must be reported first.
    const bool isFromLeader
        = std::holds_alternative<AppendRequest>(message->body) || std::holds_alternative<SnapshotChunk>(message->body);
    if (m_leadingTerm && isFromLeader && message->term > *m_leadingTerm)
        endLeadership(now);
    m_group->step(*message, now);
    processReady(now);
}

void GroupRunner::endLeadership(TimePoint now)
{
    const uint64_t term = *m_leadingTerm;
    m_leadingTerm.reset();
    m_dependencies.leadershipChanged(false, term, now);
}

void GroupRunner::tick(TimePoint now)
{
    m_group->tick(now);
    repairStore(now);
    processReady(now);
}

void GroupRunner::repairStore(TimePoint now)
{
    if (!m_group->storageFailure() || m_isRepairing || now < m_nextRepair)
        return;
    m_isRepairing = true;
    m_dependencies.storage.post([this] {
        auto result = m_group->repairStore();
        m_dependencies.postToControl([this, result = std::move(result)] { onRepairAttempted(result, steadyNow()); });
    });
}

void GroupRunner::onRepairAttempted(const Expected<void>& result, TimePoint now)
{
    m_isRepairing = false;
    m_nextRepair = now + m_settings.repairInterval;
    // The failure itself was reported when it occurred.
    if (!result)
        return;
    m_hasReportedFailure = false;
    EventLog::write(
        EventLevel::Info, Event::StorageRecovered, "the disk is usable again", { { "group", m_settings.name } });
    m_group->onStoreRepaired(now);
    processReady(now);
}

void GroupRunner::propose(std::string payload, TimePoint now, LogGroup::ProposeCompletion completion)
{
    m_group->propose(std::move(payload), now, [this, completion = std::move(completion)](Expected<std::string> result) {
        m_completions.emplace_back([completion, result = std::move(result)] { completion(result); });
    });
    processReady(now);
}

void GroupRunner::readBarrier(TimePoint now, LogGroup::Completion completion)
{
    m_group->readBarrier(now, [this, completion = std::move(completion)](Expected<void> result) {
        m_completions.emplace_back([completion, result = std::move(result)] { completion(result); });
    });
    processReady(now);
}

void GroupRunner::transferLeadership(TimePoint now)
{
    if (!m_group->isLeader())
        return;
    for (const auto& member : m_group->members()) {
        if (member.isVoter && member.host != m_settings.log.self && m_group->transferLeadership(member.host, now))
            break;
    }
    processReady(now);
}

void GroupRunner::addMember(const HostId& host, bool isVoter, TimePoint now)
{
    m_group->addMember(host, isVoter, now,
        [this, what = "added host " + host.value() + (isVoter ? " as a voter" : " as a learner")](
            const Expected<void>& result) { reportMemberChange(what, result); });
    processReady(now);
}

void GroupRunner::removeMember(const HostId& host, TimePoint now)
{
    m_group->removeMember(host, now, [this, what = "removed host " + host.value()](const Expected<void>& result) {
        reportMemberChange(what, result);
    });
    processReady(now);
}

void GroupRunner::reformGroup(uint64_t generation, const std::vector<HostId>& voters, TimePoint now)
{
    std::vector<InitialMember> members;
    for (const auto& member : m_group->members()) {
        const bool isVoter = std::find(voters.begin(), voters.end(), member.host) != voters.end();
        if (isVoter || !member.isVoter)
            members.push_back({ member.host, isVoter });
    }
    const auto result = m_group->replaceMembers(generation, members, now);
    const std::string what = "re-formed the group in generation " + std::to_string(generation);
    reportMemberChange(what, result);
    processReady(now);
}

void GroupRunner::reportMemberChange(std::string what, const Expected<void>& result)
{
    m_completions.emplace_back([this, what = std::move(what), result] {
        if (result)
            EventLog::write(EventLevel::Info, Event::MemberChanged, what, { { "group", m_settings.name } });
        else
            EventLog::write(EventLevel::Debug, Event::MemberChanged, "not " + what + ": " + result.error().message,
                { { "group", m_settings.name } });
    });
}

std::optional<TimePoint> GroupRunner::confirmedRound(TimePoint now) const
{
    // Readable leadership means that the latest confirmed round started less than electionMin minus the margin ago.
    if (!m_group->hasLeaderLease(now))
        return std::nullopt;
    return now - (m_settings.log.timings.electionMin - m_settings.log.timings.leaseMargin);
}

void GroupRunner::processReady(TimePoint now)
{
    // A completion may propose again; the outer call then processes the result.
    if (m_isProcessing)
        return;
    m_isProcessing = true;
    bool isBusy = true;
    while (isBusy) {
        for (auto& outgoing : m_group->drainMessages())
            m_dependencies.send(outgoing.to, m_settings.name, encodeLogMessage(outgoing.message));

        // Only one write is in flight on the storage thread; entries arriving meanwhile are batched into the next one.
        if (auto batch = m_group->popWriteBatch()) {
            auto shared = std::make_shared<WriteBatch>(std::move(*batch));
            m_dependencies.storage.post([this, shared] {
                auto result = m_group->performWrite(*shared);
                m_dependencies.postToControl([this, result = std::move(result)] {
                    m_group->onWriteCompleted(result, steadyNow());
                    processReady(steadyNow());
                });
            });
        }
        updateLeadership(now);

        auto completions = std::move(m_completions);
        m_completions.clear();
        for (auto& completion : completions)
            completion();
        isBusy = !completions.empty();
    }
    if (m_group->storageFailure() && !m_hasReportedFailure) {
        m_hasReportedFailure = true;
        EventLog::write(EventLevel::Error, Event::StorageFailed, m_group->storageFailure()->message,
            { { "group", m_settings.name } });
    }
    m_isProcessing = false;
}

void GroupRunner::updateLeadership(TimePoint now)
{
    const auto leader = m_group->leader();
    const uint64_t term = m_group->term();
    if (leader != m_reportedLeader || (leader && term != m_reportedTerm)) {
        m_reportedLeader = leader;
        m_reportedTerm = term;
        EventLog::write(EventLevel::Info, Event::LeaderChanged, leader ? leader->value() + " leads" : "no leader",
            { { "group", m_settings.name }, { "term", std::to_string(term) } });
    }

    // The end of leadership is reported at once, its start after a read barrier confirms that the state is complete.
    if (m_leadingTerm && (!m_group->isLeader() || term != *m_leadingTerm))
        endLeadership(now);
    if (!m_group->isLeader() || m_leadingTerm || m_isBarrierPending || now < m_nextBarrier)
        return;
    m_isBarrierPending = true;
    m_group->readBarrier(now, [this, term](const Expected<void>& result) {
        const bool isReadable = result.has_value();
        m_completions.emplace_back([this, term, isReadable] { onBarrierResult(term, isReadable, steadyNow()); });
    });
}

void GroupRunner::onBarrierResult(uint64_t term, bool isReadable, TimePoint now)
{
    // A leader rejects the barrier until its first entry is committed, so the retry is delayed to avoid a busy loop.
    m_isBarrierPending = false;
    m_nextBarrier = now + barrierRetryDelay;
    if (!isReadable || !m_group->isLeader() || m_group->term() != term)
        return;
    m_leadingTerm = term;
    m_dependencies.leadershipChanged(true, term, now);
}

void GroupRunner::logRecovery()
{
    const auto& group = *m_group;
    EventLog::write(EventLevel::Info, Event::StorageRecovered,
        m_settings.folder.empty() ? "no data folder, this host is a learner" : "the data folder was read",
        { { "group", m_settings.name }, { "lastIndex", std::to_string(group.lastIndex()) },
            { "incarnation", std::to_string(group.identity().incarnation) } });
    if (group.recoveredTruncatedBytes())
        EventLog::write(EventLevel::Warning, Event::TornTailCut,
            "an incomplete write at the end of the log was removed",
            { { "group", m_settings.name }, { "bytes", std::to_string(group.recoveredTruncatedBytes()) } });
    if (group.wasIdentityOutdated())
        EventLog::write(EventLevel::Warning, Event::ForeignDisk,
            "the data folder is an older copy; this host rejoins as a learner", { { "group", m_settings.name } });
}

} // namespace hickoryknot

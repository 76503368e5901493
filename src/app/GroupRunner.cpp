#include "app/GroupRunner.h"

#include <algorithm>

#include "app/DutyThread.h"
#include "app/EventLog.h"
#include "app/SteadyTime.h"
#include "log/FileDisk.h"
#include "log/RecordStore.h"

namespace hickoryknot {

namespace {

/// Between two tries to confirm a new leadership; a round trip within the cell takes about this long.
constexpr Duration barrierPause = 5ms;

} // namespace

GroupRunner::GroupRunner(GroupRunnerSettings settings, Links links)
    : m_settings(std::move(settings))
    , m_links(std::move(links))
{
}

Expected<std::unique_ptr<GroupRunner>> GroupRunner::open(
    const GroupRunnerSettings& settings, StateMachine& machine, Links links, TimePoint now)
{
    std::unique_ptr<RecordStore> store;
    if (!settings.folder.empty()) {
        auto disk = FileDisk::open(settings.folder);
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
    std::unique_ptr<GroupRunner> runner(new GroupRunner(settings, std::move(links)));
    runner->m_group = std::move(*group);
    runner->reportStorage();
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
    // Entries of a later term may be applied in the same step; whoever still counts on leading must know before.
    const bool isFromLeader
        = std::holds_alternative<AppendRequest>(message->body) || std::holds_alternative<SnapshotChunk>(message->body);
    if (m_leadingTerm && isFromLeader && message->term > *m_leadingTerm)
        endLeadership(now);
    m_group->step(*message, now);
    pump(now);
}

void GroupRunner::endLeadership(TimePoint now)
{
    const uint64_t term = *m_leadingTerm;
    m_leadingTerm.reset();
    m_links.leadershipChanged(false, term, now);
}

void GroupRunner::tick(TimePoint now)
{
    m_group->tick(now);
    pump(now);
}

void GroupRunner::propose(std::string payload, TimePoint now, LogGroup::ProposeCompletion completion)
{
    m_group->propose(std::move(payload), now, [this, completion = std::move(completion)](Expected<std::string> result) {
        m_completions.emplace_back([completion, result = std::move(result)] { completion(result); });
    });
    pump(now);
}

void GroupRunner::readBarrier(TimePoint now, LogGroup::Completion completion)
{
    m_group->readBarrier(now, [this, completion = std::move(completion)](Expected<void> result) {
        m_completions.emplace_back([completion, result = std::move(result)] { completion(result); });
    });
    pump(now);
}

void GroupRunner::handOver(TimePoint now)
{
    if (!m_group->isLeader())
        return;
    for (const auto& member : m_group->members()) {
        if (member.isVoter && member.host != m_settings.log.self && m_group->transferLeadership(member.host, now))
            break;
    }
    pump(now);
}

void GroupRunner::addMember(const HostId& host, bool isVoter, TimePoint now)
{
    m_group->addMember(host, isVoter, now,
        [this, what = "added host " + host.value() + (isVoter ? " as a voter" : " as a learner")](
            const Expected<void>& result) { reportMemberChange(what, result); });
    pump(now);
}

void GroupRunner::removeMember(const HostId& host, TimePoint now)
{
    m_group->removeMember(host, now, [this, what = "removed host " + host.value()](const Expected<void>& result) {
        reportMemberChange(what, result);
    });
    pump(now);
}

void GroupRunner::formAnew(uint64_t generation, const std::vector<HostId>& voters, TimePoint now)
{
    std::vector<InitialMember> members;
    for (const auto& member : m_group->members()) {
        const bool isVoter = std::find(voters.begin(), voters.end(), member.host) != voters.end();
        if (isVoter || !member.isVoter)
            members.push_back({ member.host, isVoter });
    }
    const auto result = m_group->replaceMembers(generation, members, now);
    const std::string what = "formed the group anew in generation " + std::to_string(generation);
    reportMemberChange(what, result);
    pump(now);
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
    // Readable leadership means that the latest confirmed round began less than electionMin minus the margin ago.
    if (!m_group->hasLeaderLease(now))
        return std::nullopt;
    return now - (m_settings.log.timings.electionMin - m_settings.log.timings.leaseMargin);
}

void GroupRunner::pump(TimePoint now)
{
    // A completion may propose again; the outer call then goes on with what it left.
    if (m_isPumping)
        return;
    m_isPumping = true;
    bool isBusy = true;
    while (isBusy) {
        for (auto& outgoing : m_group->drainMessages())
            m_links.send(outgoing.to, m_settings.name, encodeLogMessage(outgoing.message));

        // One write at a time goes to the storage thread; what comes meanwhile is gathered into the next one.
        if (auto batch = m_group->popWriteBatch()) {
            auto shared = std::make_shared<WriteBatch>(std::move(*batch));
            m_links.storage.post([this, shared] {
                auto result = m_group->performWrite(*shared);
                m_links.postToControl([this, result = std::move(result)] {
                    m_group->onWriteCompleted(result, steadyNow());
                    pump(steadyNow());
                });
            });
        }
        reportRole(now);

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
    m_isPumping = false;
}

void GroupRunner::reportRole(TimePoint now)
{
    const auto leader = m_group->leader();
    const uint64_t term = m_group->term();
    if (leader != m_reportedLeader || (leader && term != m_reportedTerm)) {
        m_reportedLeader = leader;
        m_reportedTerm = term;
        EventLog::write(EventLevel::Info, Event::LeaderChanged, leader ? leader->value() + " leads" : "no leader",
            { { "group", m_settings.name }, { "term", std::to_string(term) } });
    }

    // The end of leadership is told at once, its beginning once a read barrier shows that the state is complete.
    if (m_leadingTerm && (!m_group->isLeader() || term != *m_leadingTerm))
        endLeadership(now);
    if (!m_group->isLeader() || m_leadingTerm || m_isBarrierPending || now < m_nextBarrier)
        return;
    m_isBarrierPending = true;
    m_group->readBarrier(now, [this, term](const Expected<void>& result) {
        const bool isReadable = result.has_value();
        m_completions.emplace_back([this, term, isReadable] { barrierEnded(term, isReadable, steadyNow()); });
    });
}

void GroupRunner::barrierEnded(uint64_t term, bool isReadable, TimePoint now)
{
    // A leader whose first entry is not committed yet refuses the barrier; asking again at once would never end.
    m_isBarrierPending = false;
    m_nextBarrier = now + barrierPause;
    if (!isReadable || !m_group->isLeader() || m_group->term() != term)
        return;
    m_leadingTerm = term;
    m_links.leadershipChanged(true, term, now);
}

void GroupRunner::reportStorage()
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

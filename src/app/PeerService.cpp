#include "app/PeerService.h"

#include <algorithm>
#include <set>

#include "app/EventLog.h"

namespace hickoryknot {

namespace {

constexpr Duration sendInterval = 250ms;
constexpr Duration memberInterval = 500ms;

/// Up to this many hosts everybody tells everybody; above it a host tells its zone, the cell's voters and one other in
/// turn.
constexpr size_t maxFullMesh = 16;

} // namespace

PeerReply PeerService::heard(const PeerMessage& message, TimePoint now)
{
    if (message.host != m_context.settings.host && m_context.peers.onPeerMessage(message, now)) {
        // The settings' address of a host goes before what it says of itself: it may be reached through another one.
        const HostAddress told { .host = message.host,
            .zone = message.zone,
            .endpoint = { message.address, message.port },
            .hasDisk = message.storeId != 0 };
        const auto& configured = m_context.settings.hosts;
        const bool isConfigured = std::any_of(
            configured.begin(), configured.end(), [&](const auto& host) { return host.host == message.host; });
        if (!isConfigured)
            m_context.directory[message.host] = told;
    }
    PeerReply reply;
    reply.host = m_context.settings.host;
    reply.cellLeader = m_context.cellGroup->group().leader();
    reply.cellTableVersion = m_context.cell.table().version();
    if (const auto round = m_context.cellGroup->confirmedRound(now); round && m_context.cellController->isLeader()) {
        m_context.cellController->onLeadershipConfirmed(*round);
        const PeerLeaseGrant grant = m_context.cellController->onPeerMessage(message, now);
        reply.leadsCell = true;
        reply.cellTerm = m_context.cellGroup->group().term();
        reply.tableLease = grant.tableLease;
        reply.zoneLease = grant.zoneLease;
    }
    return reply;
}

void PeerService::tick(TimePoint now)
{
    holdOwnLeases(now);
    if (now >= m_nextMemberChange) {
        m_nextMemberChange = now + memberInterval;
        changeMembers(now);
        followZoneRecord(now);
    }
    if (now < m_nextSend)
        return;
    m_nextSend = now + sendInterval;
    const PeerMessage message = makeMessage(now);
    for (const auto& host : chooseTargets())
        m_send(host, message,
            [this, host](TimePoint sentAt, const Expected<PeerReply>& reply) { answered(host, sentAt, reply); });
}

PeerMessage PeerService::makeMessage(TimePoint now)
{
    const auto& settings = m_context.settings;
    const auto& identity = m_context.cellGroup->group().identity();
    const bool leadsZone = m_context.zoneScheduler->isLeader() && m_context.zoneGroup->confirmedRound(now).has_value();
    PeerMessage message;
    message.host = settings.host;
    message.storeId = settings.dataFolder.empty() ? 0 : static_cast<uint64_t>(identity.store);
    message.incarnation = settings.incarnation;
    message.zone = settings.zone;
    message.sequence = ++m_sequence;
    message.appliedTableVersion = m_context.cell.table().version();
    message.leadsZone = leadsZone;
    message.zoneTerm = m_context.zoneGroup->group().term();
    message.zoneCutOffVersion = m_context.zoneScheduler->cutOffVersionInForce(now);
    if (const auto* record = m_context.cell.findZone(settings.zone))
        message.zoneEpoch = record->epoch;
    message.isDraining = m_context.isDraining;
    const auto own = m_context.directory.find(settings.host);
    const Endpoint endpoint = own == m_context.directory.end() ? settings.listen : own->second.endpoint;
    message.address = endpoint.address;
    message.port = endpoint.port;
    if (leadsZone)
        message.free = m_context.zoneScheduler->freeCapacity();
    return message;
}

std::vector<HostId> PeerService::chooseTargets()
{
    const auto& self = m_context.settings.host;
    std::vector<HostId> others;
    std::set<HostId> voters;
    for (const auto& member : m_context.cellGroup->group().members()) {
        if (member.isVoter)
            voters.insert(member.host);
    }
    std::vector<HostId> targets;
    for (const auto& [host, address] : m_context.directory) {
        if (host == self)
            continue;
        const bool isClose = address.zone == m_context.settings.zone || voters.contains(host)
            || m_context.directory.size() <= maxFullMesh;
        (isClose ? targets : others).push_back(host);
    }
    if (!others.empty())
        targets.push_back(others[m_nextOther++ % others.size()]);
    return targets;
}

void PeerService::answered(const HostId& host, TimePoint sentAt, const Expected<PeerReply>& reply)
{
    reportReachability(host, reply.has_value());
    if (!reply || !reply->leadsCell)
        return;
    if (reply->tableLease > Duration(0)) {
        m_context.tableLease.renew(sentAt, reply->tableLease);
        m_context.zoneScheduler->onTableLeaseRenewed(sentAt, reply->tableLease);
    }
    if (reply->zoneLease > Duration(0))
        m_context.zoneScheduler->onZoneLeaseRenewed(sentAt, reply->zoneLease);
}

void PeerService::reportReachability(const HostId& host, bool isReachable)
{
    const auto [found, isNew] = m_isReachable.try_emplace(host, true);
    if (found->second == isReachable)
        return;
    found->second = isReachable;
    EventLog::write(isReachable ? EventLevel::Info : EventLevel::Warning,
        isReachable ? Event::PeerReachable : Event::PeerUnreachable,
        isReachable ? "the host answers again" : "the host does not answer", { { "peer", host.value() } });
}

void PeerService::holdOwnLeases(TimePoint now)
{
    // The leader grants itself by the same rules as any other host, in answer to a message to itself.
    if (const auto round = m_context.zoneGroup->confirmedRound(now))
        m_context.zoneScheduler->onLeadershipConfirmed(*round);
    if (!m_context.cellController->isLeader())
        return;
    const auto round = m_context.cellGroup->confirmedRound(now);
    if (!round)
        return;
    m_context.cellController->onLeadershipConfirmed(*round);
    const PeerMessage message = makeMessage(now);
    const PeerLeaseGrant grant = m_context.cellController->onPeerMessage(message, now);
    m_context.tableLease.renew(now, grant.tableLease);
    m_context.zoneScheduler->onTableLeaseRenewed(now, grant.tableLease);
    m_context.zoneScheduler->onZoneLeaseRenewed(now, grant.zoneLease);
}

void PeerService::changeMembers(TimePoint now)
{
    changeMembersOf(*m_context.cellGroup, false, now);
    changeMembersOf(*m_context.zoneGroup, true, now);
}

void PeerService::changeMembersOf(GroupRunner& group, bool zoneOnly, TimePoint now)
{
    if (!group.confirmedRound(now))
        return;
    std::vector<const TrackedHost*> views;
    for (const auto& [host, view] : m_context.peers.hosts()) {
        if (!zoneOnly || view.zone == m_context.settings.zone)
            views.push_back(&view);
    }
    const auto change = nextMemberChange({}, m_context.settings.host, group.group().members(), views, now);
    if (!change)
        return;
    if (change->kind == MemberChange::Kind::Add)
        group.addMember(change->host, change->isVoter, now);
    else
        group.removeMember(change->host, now);
}

void PeerService::followZoneRecord(TimePoint now)
{
    const auto* record = m_context.cell.findZone(m_context.settings.zone);
    if (!record || record->generation <= m_context.zoneGroup->group().generation() || record->members.empty())
        return;
    m_context.zoneGroup->formAnew(record->generation, record->members, now);
}

} // namespace hickoryknot

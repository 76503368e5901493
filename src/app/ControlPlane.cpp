#include "app/ControlPlane.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "app/EventLog.h"
#include "app/SteadyTime.h"
#include "net/EndpointText.h"
#include "scheduler/EnginePlacer.h"

namespace hickoryknot {

namespace {

/// Proposals of the schedulers are repeated by themselves when they get no result in this time.
constexpr Duration schedulerProposalDeadline = 2s;

/// Short against the quorum authority of slot grants and the table lease, which travel this way.
constexpr Duration publishInterval = 50ms;

/// Leases and timeouts are looked after this often; short against every lease and against urgent work's 8 s.
constexpr Duration schedulePeriod = 40ms;

/// Longer than a transfer of leadership between two voters that are up to date.
constexpr Duration handOverPause = 300ms;

constexpr size_t maxCellVoters = 5;

/// The cell's first voters: hosts with a disk, one zone after the other, so that they spread over the zones.
std::vector<InitialMember> initialCellMembers(const std::vector<HostAddress>& hosts)
{
    std::map<ZoneId, std::vector<HostId>> withDisk;
    for (const auto& host : hosts) {
        if (host.hasDisk)
            withDisk[host.zone].push_back(host.host);
    }
    std::vector<HostId> voters;
    for (size_t place = 0; voters.size() < maxCellVoters && place < hosts.size(); ++place) {
        for (auto& [zone, ids] : withDisk) {
            std::sort(ids.begin(), ids.end());
            if (place < ids.size() && voters.size() < maxCellVoters)
                voters.push_back(ids[place]);
        }
    }
    // An even number of voters survives no more losses than one less.
    if (voters.size() % 2 == 0 && voters.size() > 2)
        voters.pop_back();
    std::vector<InitialMember> members;
    members.reserve(hosts.size());
    for (const auto& host : hosts)
        members.push_back({ host.host, std::find(voters.begin(), voters.end(), host.host) != voters.end() });
    return members;
}

std::vector<InitialMember> initialZoneMembers(const std::vector<HostAddress>& hosts, const ZoneId& zone)
{
    std::vector<InitialMember> members;
    for (const auto& host : hosts) {
        if (host.zone == zone)
            members.push_back({ host.host, host.hasDisk });
    }
    return members;
}

const char* roleName(const LogGroup& group, const HostId& host)
{
    if (group.leader() == host)
        return "leader";
    for (const auto& member : group.members()) {
        if (member.host == host)
            return member.isVoter ? "voter" : "learner";
    }
    return "none";
}

} // namespace

ControlPlane::ControlPlane(const HostSettings& settings, Links links)
    : m_links(std::move(links))
    , m_context(settings)
    , m_jobs(m_context)
    , m_table(m_context)
    , m_workers(m_context, m_links.recordStart)
    , m_peers(m_context, m_links.sendPeerMessage)
{
}

Expected<std::unique_ptr<ControlPlane>> ControlPlane::open(const HostSettings& settings, Links links, TimePoint now)
{
    std::unique_ptr<ControlPlane> plane(new ControlPlane(settings, std::move(links)));
    auto& context = plane->m_context;
    context.proposer = std::make_unique<Proposer>(plane->m_links.sendProposal);
    context.cellController = std::make_unique<CellController>(CellControllerSettings {}, context.cell);
    const uint64_t seed = settings.seed;
    context.zoneScheduler
        = std::make_unique<ZoneScheduler>(ZoneSchedulerSettings { .zone = settings.zone }, context.zone, context.cell,
            [seed] { return std::make_unique<EnginePlacer>(PlacementSettings { .seed = seed }); });
    if (auto opened = plane->openGroups(now); !opened)
        return tl::unexpected(opened.error());
    return plane;
}

GroupRunner::Links ControlPlane::groupLinks(GroupRunner::LeadershipChanged changed)
{
    return { .send = m_links.sendLogMessage,
        .postToControl = m_links.postToControl,
        .leadershipChanged = std::move(changed),
        .storage = m_links.storage };
}

Expected<void> ControlPlane::openGroups(TimePoint now)
{
    const auto& settings = m_context.settings;
    const auto folder = [&](const char* name) {
        return settings.dataFolder.empty() ? std::string() : settings.dataFolder + "/" + name;
    };
    auto cell = GroupRunner::open(
        {
            .name = "cell",
            .log = { .group = "cell",
                .self = settings.host,
                .initialMembers = initialCellMembers(settings.hosts),
                .seed = settings.seed },
            .cell = settings.cell,
            .folder = folder("cell"),
        },
        m_context.cell,
        groupLinks([this](bool isLeader, uint64_t term, TimePoint at) { cellLeadershipChanged(isLeader, term, at); }),
        now);
    if (!cell)
        return tl::unexpected(cell.error());
    m_context.cellGroup = std::move(*cell);

    auto zone = GroupRunner::open(
        {
            .name = "zone",
            .log = { .group = "zone:" + settings.zone.value(),
                .self = settings.host,
                .initialMembers = initialZoneMembers(settings.hosts, settings.zone),
                .seed = settings.seed + 1 },
            .cell = settings.cell,
            .folder = folder("zone"),
        },
        m_context.zone,
        groupLinks([this](bool isLeader, uint64_t term, TimePoint at) { zoneLeadershipChanged(isLeader, term, at); }),
        now);
    if (!zone)
        return tl::unexpected(zone.error());
    m_context.zoneGroup = std::move(*zone);
    return {};
}

void ControlPlane::cellLeadershipChanged(bool isLeader, uint64_t term, TimePoint now)
{
    if (isLeader)
        m_context.cellController->becomeLeader(term, now);
    else
        m_context.cellController->resign();
}

void ControlPlane::zoneLeadershipChanged(bool isLeader, uint64_t term, TimePoint now)
{
    if (isLeader) {
        m_zoneTerm = term;
        m_context.zoneScheduler->becomeLeader(term, now);
    } else {
        m_zoneTerm.reset();
        m_context.zoneScheduler->resign();
        m_workers.releaseAll();
    }
}

void ControlPlane::tick(TimePoint now, WallTime wall)
{
    m_context.cellGroup->tick(now);
    m_context.zoneGroup->tick(now);
    runSchedulers(now, wall);
    m_context.proposer->tick(now);
    m_workers.tick(now, wall);
    m_jobs.tick(now);
    m_table.tick(now);
    reportTable(now);
    // The first try fails while the other voter is behind; without another one the stop would wait for its bound.
    if (m_context.isDraining && now >= m_nextHandOver)
        handOver(now);
    if (now >= m_nextPublish) {
        m_nextPublish = now + publishInterval;
        publishState(now);
    }
}

void ControlPlane::runSchedulers(TimePoint now, WallTime wall)
{
    // Applied entries are followed at once; leases, heartbeats and timeouts can wait for the next period.
    const uint64_t applied = m_context.cellGroup->group().appliedIndex() + m_context.zoneGroup->group().appliedIndex();
    if (applied == m_scheduledApplied && now < m_nextSchedule)
        return;
    m_scheduledApplied = applied;
    m_nextSchedule = now + schedulePeriod;
    m_peers.tick(now);
    if (m_context.cellController->isLeader())
        proposeBatch(m_context.cellController->tick(now, wall), false, now);
    if (m_context.zoneScheduler->isLeader())
        proposeBatch(m_context.zoneScheduler->tick(now, wall), true, now);
}

void ControlPlane::proposeBatch(ProposalBatch batch, bool isFromZone, TimePoint now)
{
    const auto propose = [&](std::vector<Proposal>& proposals, const Proposer::Target& target) {
        for (auto& proposal : proposals) {
            const uint64_t token = proposal.token;
            m_context.proposer->propose(target, std::move(proposal.payload), Proposer::Repeat::Forbidden,
                now + schedulerProposalDeadline, now, [this, token, isFromZone](const Expected<std::string>& result) {
                    if (isFromZone)
                        m_context.zoneScheduler->onProposalResult(token, result, steadyNow());
                    else
                        m_context.cellController->onProposalResult(token, result, steadyNow());
                });
        }
    };
    propose(batch.zone, m_context.zoneTarget(m_context.settings.zone));
    propose(batch.cell, m_context.cellTarget());
}

void ControlPlane::logMessageArrived(const std::string& group, std::string_view bytes, TimePoint now)
{
    (group == "cell" ? m_context.cellGroup : m_context.zoneGroup)->step(bytes, now);
}

void ControlPlane::proposalArrived(
    const std::string& group, std::string payload, TimePoint now, std::function<void(Expected<std::string>)> reply)
{
    (group == "cell" ? m_context.cellGroup : m_context.zoneGroup)->propose(std::move(payload), now, std::move(reply));
}

void ControlPlane::proposeForRequest(const std::optional<ZoneId>& homeZone, std::string payload,
    Proposer::Repeat repeat, TimePoint deadline, TimePoint now, Proposer::Completion completion)
{
    m_context.proposer->propose(
        m_context.homeTarget(homeZone), std::move(payload), repeat, deadline, now, std::move(completion));
}

void ControlPlane::startDraining(TimePoint now)
{
    m_context.isDraining = true;
    EventLog::write(EventLevel::Info, Event::DrainStarted, "this host takes no new work");
    handOver(now);
    m_jobs.releaseWaiters();
    publishState(now);
}

void ControlPlane::handOver(TimePoint now)
{
    m_nextHandOver = now + handOverPause;
    m_context.cellGroup->handOver(now);
    m_context.zoneGroup->handOver(now);
}

bool ControlPlane::hasHandedOver() const
{
    const auto hasOtherVoter = [&](const LogGroup& group) {
        return std::any_of(group.members().begin(), group.members().end(),
            [&](const Member& member) { return member.isVoter && member.host != m_context.settings.host; });
    };
    const auto& cell = m_context.cellGroup->group();
    const auto& zone = m_context.zoneGroup->group();
    return (!cell.isLeader() || !hasOtherVoter(cell)) && (!zone.isLeader() || !hasOtherVoter(zone));
}

void ControlPlane::reportTable(TimePoint now)
{
    const bool hasLease = m_context.holdsTableLease(now);
    if (hasLease != m_hadTableLease) {
        m_hadTableLease = hasLease;
        EventLog::write(hasLease ? EventLevel::Info : EventLevel::Warning,
            hasLease ? Event::TableLeaseRegained : Event::TableLeaseLost,
            hasLease ? "the cell leader renews this host's table lease" : "this host serves only rows with cutOff=keep",
            { { "version", std::to_string(m_context.cell.table().version()) } });
    }
    const uint64_t version = m_context.cell.table().version();
    if (version == m_publishedVersion)
        return;
    m_publishedVersion = version;
    m_publishedRows = std::make_shared<const std::vector<Row>>(m_context.cell.table().rows());
    EventLog::write(EventLevel::Info, Event::TableChanged, "a table version is in force on this host",
        { { "version", std::to_string(version) } });
}

void ControlPlane::publishState(TimePoint now)
{
    auto state = std::make_shared<PublishedState>();
    state->tableVersion = m_publishedVersion;
    state->rows = m_publishedRows;
    state->tableLeaseEnd = m_context.tableLease.end();
    state->cellLeader = m_context.cellGroup->group().leader();
    state->zoneLeader = m_context.zoneGroup->group().leader();
    state->leadsCell = m_context.cellController->isLeader();
    state->isDraining = m_context.isDraining;
    state->hosts = m_context.directory;
    state->liveHosts.push_back(m_context.settings.host);
    for (const auto& [host, view] : m_context.peers.hosts()) {
        if (m_context.peers.isSilent(host, now) || view.isDraining)
            continue;
        state->liveHosts.push_back(host);
        if (const auto* leader = m_context.peers.zoneLeader(view.zone, now))
            state->zoneLeaders[view.zone] = leader->host;
    }
    if (state->zoneLeader)
        state->zoneLeaders[m_context.settings.zone] = *state->zoneLeader;
    const auto round = m_context.zoneGroup->confirmedRound(now);
    if (m_zoneTerm && round) {
        state->zoneGranterTerm = m_zoneTerm;
        state->zoneRoundStartedAt = *round;
    }
    m_links.publish(std::move(state));
}

std::string ControlPlane::hostsJson(TimePoint now) const
{
    auto list = nlohmann::json::array();
    for (const auto& [host, address] : m_context.directory) {
        const bool isSelf = host == m_context.settings.host;
        const auto* view = m_context.peers.find(host);
        const bool isSilent = !isSelf && m_context.peers.isSilent(host, now);
        const bool isDraining = isSelf ? m_context.isDraining : view && view->isDraining;
        nlohmann::json item {
            { "host", host.value() },
            { "zone", address.zone.value() },
            { "address", formatEndpoint(address.endpoint) },
            { "state",
                isSilent         ? "silent"
                    : isDraining ? "draining"
                                 : "serving" },
            { "cellRole", roleName(m_context.cellGroup->group(), host) },
            { "tableVersion",
                isSelf     ? m_context.cell.table().version()
                    : view ? view->appliedTableVersion
                           : 0 },
        };
        if (address.zone == m_context.settings.zone)
            item["zoneRole"] = roleName(m_context.zoneGroup->group(), host);
        else
            item["zoneRole"] = view && view->leadsZone && !isSilent ? "leader" : "member";
        if (!isSelf && view)
            item["lastHeardMs"]
                = std::chrono::duration_cast<std::chrono::milliseconds>(now - view->lastContactAt).count();
        list.push_back(std::move(item));
    }
    return nlohmann::json { { "hosts", std::move(list) } }.dump();
}

} // namespace hickoryknot

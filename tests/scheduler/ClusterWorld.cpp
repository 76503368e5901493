#include "ClusterWorld.h"

#include <algorithm>

namespace hickoryknot {

namespace {

constexpr int64_t stepUs = 10'000;
constexpr UnixMs epochMs = 1'800'000'000'000;

WorldFaults noFaults()
{
    return { .losesMessages = false,
        .pausesHosts = false,
        .pausesWorkers = false,
        .restartsWorkers = false,
        .cutsWorkersOff = false,
        .changesLeaders = false,
        .cutsZonesOff = false,
        .changesTable = false };
}

} // namespace

struct ClusterWorld::Clock {
    int64_t offset { 0 };
    double rate { 1 };

    TimePoint at(int64_t trueTime) const
    {
        return TimePoint(Duration(offset + static_cast<int64_t>(static_cast<double>(trueTime) * rate)));
    }
};

struct ClusterWorld::Host {
    Host(HostId name, Zone& z, const ZoneId& zoneId, Clock c, const ZoneScheduler::PlacerFactory& factory)
        : id(std::move(name))
        , zone(z)
        , clock(c)
        , zoneState(zoneId)
        , scheduler({ .zone = zoneId }, zoneState, cellState, factory)
        , controller({}, cellState)
    {
    }

    HostId id;
    Zone& zone;
    Clock clock;
    int64_t pausedUntil { 0 };
    // When the host hears that it lost a leadership.
    int64_t learnsOfZoneAt { 0 };
    int64_t learnsOfCellAt { 0 };
    int64_t nextPeerAt { 0 };
    uint64_t sequence { 0 };
    ZoneState zoneState;
    CellState cellState;
    size_t zoneApplied { 0 };
    size_t cellApplied { 0 };
    ZoneScheduler scheduler;
    CellController controller;
    // Own proposals by place in the zone's log.
    std::map<size_t, uint64_t> tokens;
};

struct ClusterWorld::Zone {
    ZoneId id;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::string> log;
    size_t leader { 0 };
    uint64_t term { 1 };
    int64_t cutOffUntil { 0 };
    struct Machine {
        FakeWorker worker;
        Clock clock;
        int64_t pausedUntil { 0 };
        int64_t nextHeartbeatAt { 0 };
        // Until then only one host can be reached, or none.
        int64_t cutOffUntil { 0 };
        const Host* reachable { nullptr };
    };
    std::vector<Machine> machines;
};

// A message on its way: a heartbeat or its answer, a peer message or its grant.
struct ClusterWorld::Envelope {
    int64_t arrivesAt { 0 };
    Host* toHost { nullptr };
    Zone::Machine* toWorker { nullptr };
    Host* grantTo { nullptr };
    Zone::Machine* sender { nullptr };
    Host* peer { nullptr };
    WorkerHeartbeat heartbeat;
    WorkerInstructions instructions;
    PeerMessage message;
    PeerLeaseGrant grant;
    TimePoint sentAt;
    uint64_t incarnation { 0 };
};

ClusterWorld::ClusterWorld(uint64_t seed, WorldFaults faults, const ZoneScheduler::PlacerFactory& factory)
    : m_random(seed)
    , m_faults(faults)
{
    const auto clock = [&] {
        return Clock { .offset = static_cast<int64_t>(m_random() % 1'000'000'000),
            .rate = 1 + (static_cast<double>(m_random() % 1001) - 500) / 100'000 };
    };
    for (const char* name : { "east", "west" }) {
        auto& zone = *m_zones.emplace_back(std::make_unique<Zone>());
        zone.id = ZoneId(name);
        for (const char* host : { "a", "b" }) {
            zone.hosts.push_back(
                std::make_unique<Host>(HostId(std::string(name) + host), zone, zone.id, clock(), factory));
            m_hosts.push_back(zone.hosts.back().get());
        }
        zone.machines.resize(3);
        for (size_t i = 0; i < zone.machines.size(); ++i) {
            auto& machine = zone.machines[i];
            machine.clock = clock();
            machine.worker.id = WorkerId(std::string(name) + "-w" + std::to_string(i));
            machine.worker.zone = zone.id;
            machine.worker.runTime = [this](const StartTask&) { return Duration(m_random() % 3'000'000); };
            machine.worker.started = [this](const StartTask& start) {
                const bool isSecond = ++m_startsOf[start.task] > 1;
                if (isSecond && m_onceOnly.contains(start.command))
                    m_violation = "task " + start.task.value() + " must not run twice and did";
            };
        }
    }
    electCell(0);
    for (auto& zone : m_zones)
        electZone(*zone, 0);
}

ClusterWorld::~ClusterWorld() = default;

bool ClusterWorld::chance(double perStep) { return static_cast<double>(m_random() % 1'000'000) < perStep * 1'000'000; }

Duration ClusterWorld::randomDelay()
{
    // Most messages take milliseconds, some seconds.
    const bool isLate = m_faults.losesMessages && !m_isCalm && chance(0.05);
    return Duration(m_random() % (isLate ? 4'000'000 : 20'000));
}

std::string ClusterWorld::step()
{
    if (m_isCalm)
        m_faults = noFaults();
    m_trueTime += stepUs;
    submitJobs();
    injectFaults();
    deliver();
    for (auto* host : m_hosts) {
        if (host->pausedUntil <= m_trueTime)
            stepHost(*host);
    }
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_hosts[i]->pausedUntil <= m_trueTime)
            stepCellController(i);
    }
    for (auto& zone : m_zones)
        stepWorkers(*zone);
    return m_violation.empty() ? check() : m_violation;
}

void ClusterWorld::submitJobs()
{
    if (m_isCalm || !chance(0.03))
        return;
    const UnixMs nowMs = epochMs + m_trueTime / 1000;
    const uint64_t number = m_nextRequest++;
    const RequestId request("c-" + std::to_string(nowMs) + "-" + std::to_string(number));
    const bool isGang = chance(0.2);
    JobSpec spec { .row = RowName(chance(0.5) ? "default" : "flip"),
        .team = TeamId("t"),
        .kind = isGang ? JobKind::Gang : JobKind::Batch,
        .tasks = static_cast<uint32_t>(1 + m_random() % 4),
        .perTask = { .millicores = Millicores(static_cast<int64_t>(500 + m_random() % 1500)),
            .mebibytes = Mebibytes(100),
            .accelerators = {} },
        .isRepeatable = chance(0.6),
        .command = std::to_string(number) };
    if (!spec.isRepeatable)
        m_onceOnly.insert(spec.command);
    Zone& zone = *m_zones[m_random() % m_zones.size()];
    if (chance(0.5))
        proposeCell(encodeCellCommand(SubmitCellJob { .request = request, .spec = spec, .atMs = nowMs }));
    else
        zone.log.push_back(encodeZoneCommand(SubmitZoneJob { .request = request, .spec = spec, .atMs = nowMs }));
    // Some earlier jobs are cancelled.
    const auto job = static_cast<uint32_t>(1 + m_random() % number);
    if (chance(0.2))
        proposeCell(encodeCellCommand(CancelCellJobs { .jobs = { job }, .atMs = nowMs }));
    if (chance(0.2))
        zone.log.push_back(encodeZoneCommand(CancelZoneJobs { .jobs = { { .number = job } }, .atMs = nowMs }));
}

void ClusterWorld::injectFaults()
{
    for (auto& zone : m_zones)
        injectZoneFaults(*zone);
    if (m_faults.changesLeaders && chance(0.0015))
        electCell((m_cellLeader + 1 + m_random() % (m_hosts.size() - 1)) % m_hosts.size());
    if (m_faults.pausesHosts && chance(0.002))
        m_hosts[m_random() % m_hosts.size()]->pausedUntil = m_trueTime + static_cast<int64_t>(m_random() % 8'000'000);
    if (m_faults.changesTable && chance(0.004)) {
        Row row;
        row.name = RowName("flip");
        row.cutOff = chance(0.5) ? CutOffRule::Keep : CutOffRule::Stop;
        const Table& table = m_hosts[m_cellLeader]->cellState.table();
        proposeCell(encodeCellCommand(SetTable { .change = { .baseVersion = table.version(),
                                                     .request = RequestId("op-" + std::to_string(m_nextRequest++)),
                                                     .rows = { row } } }));
    }
}

void ClusterWorld::injectZoneFaults(Zone& zone)
{
    if (m_faults.changesLeaders && chance(0.002))
        electZone(zone, 1 - zone.leader);
    if (m_faults.cutsZonesOff && chance(0.001))
        zone.cutOffUntil = m_trueTime + static_cast<int64_t>(m_random() % 12'000'000);
    if (m_isCalm) {
        zone.cutOffUntil = 0;
        for (auto& host : zone.hosts)
            host->pausedUntil = 0;
    }
    for (auto& machine : zone.machines) {
        if (m_faults.pausesWorkers && chance(0.001))
            machine.pausedUntil = m_trueTime + static_cast<int64_t>(m_random() % 8'000'000);
        if (m_faults.cutsWorkersOff && chance(0.001)) {
            const size_t host = m_random() % 3;
            machine.cutOffUntil = m_trueTime + static_cast<int64_t>(m_random() % 8'000'000);
            machine.reachable = host < zone.hosts.size() ? zone.hosts[host].get() : nullptr;
        }
        if (m_isCalm)
            machine.pausedUntil = machine.cutOffUntil = 0;
        if (m_faults.restartsWorkers && chance(0.0005))
            machine.worker.restart();
    }
}

void ClusterWorld::electCell(size_t next)
{
    Host& old = *m_hosts[m_cellLeader];
    old.learnsOfCellAt = m_trueTime + static_cast<int64_t>(m_random() % 1'500'000);
    m_cellLeader = next;
    ++m_cellTerm;
    Host& host = *m_hosts[next];
    host.learnsOfCellAt = 0;
    host.pausedUntil = 0;
    applyLogs(host, true);
    host.controller.becomeLeader(m_cellTerm, host.clock.at(m_trueTime));
}

void ClusterWorld::electZone(Zone& zone, size_t next)
{
    Host& old = *zone.hosts[zone.leader];
    old.learnsOfZoneAt = m_trueTime + static_cast<int64_t>(m_random() % 1'500'000);
    zone.leader = next;
    ++zone.term;
    Host& host = *zone.hosts[next];
    host.learnsOfZoneAt = 0;
    host.pausedUntil = 0;
    // The zone's log is complete on its leader; its copy of the cell's log may lag behind.
    while (host.zoneApplied < zone.log.size()) {
        host.zoneState.apply(host.zoneApplied, zone.log[host.zoneApplied]);
        ++host.zoneApplied;
    }
    host.tokens.clear();
    host.scheduler.becomeLeader(zone.term, host.clock.at(m_trueTime));
}

void ClusterWorld::applyLogs(Host& host, bool isWhole)
{
    const TimePoint now = host.clock.at(m_trueTime);
    const bool isZoneLeader = host.zone.hosts[host.zone.leader].get() == &host;
    // Entries of a later term reach a replaced leader together with that term, so it resigns before it applies them.
    const bool isReplaced = host.scheduler.isLeader() && !isZoneLeader;
    while (!isReplaced && host.zoneApplied < host.zone.log.size() && (isZoneLeader || chance(0.5))) {
        const size_t index = host.zoneApplied++;
        auto result = host.zoneState.apply(index, host.zone.log[index]);
        const auto token = host.tokens.find(index);
        if (token != host.tokens.end())
            host.scheduler.onProposalResult(token->second, std::move(result), now);
    }
    // A leader holds all entries of its log, whatever is cut off.
    const bool isCellLeader = m_hosts[m_cellLeader] == &host;
    const bool isCut = host.zone.cutOffUntil > m_trueTime && !isCellLeader;
    while (host.cellApplied < m_cellLog.size() && !isCut && (isWhole || isCellLeader || chance(0.5))) {
        host.cellState.apply(host.cellApplied, m_cellLog[host.cellApplied]);
        ++host.cellApplied;
    }
}

void ClusterWorld::proposeZone(Host& host, const Proposal& proposal)
{
    // A leader that was replaced cannot commit anything.
    if (host.zone.hosts[host.zone.leader].get() != &host) {
        host.scheduler.onProposalResult(
            proposal.token, makeError(ErrorCode::NotLeader, "replaced"), host.clock.at(m_trueTime));
        return;
    }
    host.tokens[host.zone.log.size()] = proposal.token;
    host.zone.log.push_back(proposal.payload);
}

void ClusterWorld::proposeCell(const std::string& payload)
{
    m_cellLog.push_back(payload);
    // A sender without an answer sends again.
    if (m_faults.losesMessages && chance(0.1))
        m_cellLog.push_back(payload);
}

void ClusterWorld::stepHost(Host& host)
{
    const TimePoint now = host.clock.at(m_trueTime);
    const WallTime wall(Duration(epochMs * 1000 + m_trueTime));
    if (host.learnsOfZoneAt && host.learnsOfZoneAt <= m_trueTime) {
        host.learnsOfZoneAt = 0;
        host.scheduler.resign();
    }
    applyLogs(host, false);
    if (!host.scheduler.isLeader())
        return;
    if (host.zone.hosts[host.zone.leader].get() == &host)
        host.scheduler.onLeadershipConfirmed(now);
    const auto batch = host.scheduler.tick(now, wall);
    for (const auto& proposal : batch.zone)
        proposeZone(host, proposal);
    const bool isCut = host.zone.cutOffUntil > m_trueTime;
    for (const auto& proposal : batch.cell) {
        if (!isCut && !(m_faults.losesMessages && chance(0.1)))
            proposeCell(proposal.payload);
    }
    applyLogs(host, false);
    if (host.nextPeerAt <= m_trueTime) {
        host.nextPeerAt = m_trueTime + 250'000;
        sendPeerMessage(host);
    }
}

void ClusterWorld::sendPeerMessage(Host& host)
{
    const ZoneRecord* zone = host.cellState.findZone(host.zone.id);
    auto mail = std::make_unique<Envelope>();
    mail->arrivesAt = m_trueTime + randomDelay().count();
    mail->peer = &host;
    mail->sentAt = host.clock.at(m_trueTime);
    mail->message.host = host.id;
    mail->message.zone = host.zone.id;
    mail->message.sequence = ++host.sequence;
    mail->message.appliedTableVersion = host.cellState.table().version();
    mail->message.leadsZone = true;
    mail->message.zoneTerm = host.zone.term;
    mail->message.zoneEpoch = zone ? zone->epoch : 0;
    mail->message.zoneCutOffVersion = host.scheduler.cutOffVersionInForce(host.clock.at(m_trueTime));
    mail->message.free = host.scheduler.freeCapacity();
    // Every host that believes to lead the cell may answer.
    for (auto* candidate : m_hosts) {
        if (!candidate->controller.isLeader())
            continue;
        auto copy = std::make_unique<Envelope>(*mail);
        copy->toHost = candidate;
        m_mail.push_back(std::move(copy));
    }
}

void ClusterWorld::stepCellController(size_t index)
{
    Host& host = *m_hosts[index];
    if (host.learnsOfCellAt && host.learnsOfCellAt <= m_trueTime) {
        host.learnsOfCellAt = 0;
        host.controller.resign();
    }
    if (!host.controller.isLeader())
        return;
    const TimePoint now = host.clock.at(m_trueTime);
    const bool isTrueLeader = index == m_cellLeader;
    if (isTrueLeader)
        host.controller.onLeadershipConfirmed(now);
    for (const auto& proposal : host.controller.tick(now, WallTime(Duration(epochMs * 1000 + m_trueTime))).cell) {
        if (isTrueLeader)
            m_cellLog.push_back(proposal.payload);
        host.controller.onProposalResult(proposal.token, std::string(), now);
    }
}

void ClusterWorld::stepWorkers(Zone& zone)
{
    for (auto& machine : zone.machines) {
        machine.worker.isPaused = machine.pausedUntil > m_trueTime;
        if (machine.worker.isPaused)
            continue;
        const TimePoint now = machine.clock.at(m_trueTime);
        machine.worker.checkLeases(now);
        if (machine.nextHeartbeatAt > m_trueTime)
            continue;
        machine.nextHeartbeatAt = m_trueTime + 200'000 + static_cast<int64_t>(m_random() % 500'000);
        // Heartbeats reach whoever the entry host takes for the leader, sometimes a replaced one.
        for (auto& host : zone.hosts) {
            const bool isCut = machine.cutOffUntil > m_trueTime && machine.reachable != host.get();
            if (!host->scheduler.isLeader() || isCut || (m_faults.losesMessages && chance(0.05)))
                continue;
            auto mail = std::make_unique<Envelope>();
            mail->arrivesAt = m_trueTime + randomDelay().count();
            mail->toHost = host.get();
            mail->sender = &machine;
            mail->heartbeat = machine.worker.heartbeat();
            mail->sentAt = now;
            mail->incarnation = machine.worker.incarnation;
            m_mail.push_back(std::move(mail));
        }
    }
}

void ClusterWorld::deliver()
{
    std::vector<std::unique_ptr<Envelope>> due;
    for (auto& mail : m_mail) {
        const bool isHostPaused = mail->toHost && mail->toHost->pausedUntil > m_trueTime;
        const bool isWorkerPaused = mail->toWorker && mail->toWorker->pausedUntil > m_trueTime;
        if (mail->arrivesAt <= m_trueTime && !isHostPaused && !isWorkerPaused)
            due.push_back(std::move(mail));
    }
    std::erase(m_mail, nullptr);
    for (auto& mail : due) {
        if (mail->toHost)
            deliverToHost(*mail->toHost, *mail);
        else if (mail->toWorker)
            mail->toWorker->worker.follow(
                mail->instructions, mail->incarnation, mail->sentAt, mail->toWorker->clock.at(m_trueTime));
        else if (mail->grantTo->zone.cutOffUntil <= m_trueTime) {
            mail->grantTo->scheduler.onZoneLeaseRenewed(mail->sentAt, mail->grant.zoneLease);
            mail->grantTo->scheduler.onTableLeaseRenewed(mail->sentAt, mail->grant.tableLease);
        }
    }
}

void ClusterWorld::deliverToHost(Host& host, Envelope& mail)
{
    const TimePoint now = host.clock.at(m_trueTime);
    auto answer = std::make_unique<Envelope>(mail);
    answer->toHost = nullptr;
    answer->arrivesAt = m_trueTime + randomDelay().count();
    if (mail.peer) {
        const bool isCut = mail.peer->zone.cutOffUntil > m_trueTime && &mail.peer->zone != &host.zone;
        if (isCut)
            return;
        answer->grant = host.controller.onPeerMessage(mail.message, now);
        answer->grantTo = mail.peer;
    } else {
        answer->instructions = host.scheduler.onHeartbeat(mail.heartbeat, now);
        answer->toWorker = mail.sender;
    }
    if (!(m_faults.losesMessages && chance(0.05)))
        m_mail.push_back(std::move(answer));
}

std::string ClusterWorld::check() const
{
    std::map<TaskId, WorkerId> places;
    for (const auto& zone : m_zones) {
        for (const auto& machine : zone->machines) {
            const FakeWorker& worker = machine.worker;
            // A paused machine runs nothing until it has looked at its leases.
            if (worker.isPaused)
                continue;
            if (!worker.used().fitsInto(worker.capacity))
                return "worker " + worker.id.value() + " is over its capacity";
            for (const auto& [task, state] : worker.running) {
                const auto [at, isOnly] = places.try_emplace(task, worker.id);
                if (!isOnly)
                    return "task " + task.value() + " runs on " + at->second.value() + " and " + worker.id.value();
            }
        }
    }
    return {};
}

bool ClusterWorld::isIdle() const { return describeOpenJobs().empty(); }

std::string ClusterWorld::describeOpenJobs() const
{
    std::string text;
    const Host& host = *m_hosts[m_cellLeader];
    for (const uint32_t job : host.cellState.openJobs())
        text += *host.controller.explainJob(makeJobId({ .number = job, .isCellJob = true }, {}),
                    host.clock.at(m_trueTime), WallTime(Duration(epochMs * 1000 + m_trueTime)))
            + "\n";
    for (const auto& zone : m_zones) {
        const Host& leader = *zone->hosts[zone->leader];
        for (const auto job : leader.zoneState.openJobs())
            text += *leader.scheduler.explainJob(
                        makeJobId(job, zone->id), leader.clock.at(m_trueTime), WallTime(Duration(m_trueTime)))
                + "\n";
    }
    return text;
}

size_t ClusterWorld::movedJobs() const
{
    size_t moved = 0;
    const auto& state = m_hosts[m_cellLeader]->cellState;
    for (uint32_t number = 1; number < state.nextJob(); ++number) {
        const CellJob* job = state.findJob(number);
        moved += job && job->epoch > 1;
    }
    return moved;
}

} // namespace hickoryknot

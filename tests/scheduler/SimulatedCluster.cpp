#include "SimulatedCluster.h"

#include <algorithm>

namespace hickoryknot {

namespace {

constexpr int64_t stepUs = 10'000;
constexpr UnixMs epochMs = 1'800'000'000'000;

SimulatedFaults noFaults()
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

struct SimulatedCluster::Clock {
    int64_t offset { 0 };
    double rate { 1 };

    TimePoint at(int64_t trueTime) const
    {
        return TimePoint(Duration(offset + static_cast<int64_t>(static_cast<double>(trueTime) * rate)));
    }
};

struct SimulatedCluster::Host {
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
    // When the host notices that it lost a leadership; 0 if it did not lose it.
    int64_t noticesZoneLossAt { 0 };
    int64_t noticesCellLossAt { 0 };
    int64_t nextPeerAt { 0 };
    uint64_t sequence { 0 };
    ZoneState zoneState;
    CellState cellState;
    size_t zoneApplied { 0 };
    size_t cellApplied { 0 };
    ZoneScheduler scheduler;
    CellController controller;
    // Tokens of own proposals by index in the zone's log.
    std::map<size_t, uint64_t> tokens;
};

struct SimulatedCluster::Zone {
    ZoneId id;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::string> log;
    size_t leader { 0 };
    uint64_t term { 1 };
    int64_t cutOffUntil { 0 };
    struct SimulatedWorker {
        FakeWorker worker;
        Clock clock;
        int64_t pausedUntil { 0 };
        int64_t nextHeartbeatAt { 0 };
        // Until then the worker reaches only one host, or none.
        int64_t cutOffUntil { 0 };
        const Host* reachable { nullptr };
    };
    std::vector<SimulatedWorker> workers;
};

// A message in transit: a heartbeat or its response, a peer message or the leases granted in response.
struct SimulatedCluster::Envelope {
    int64_t arrivesAt { 0 };
    Host* toHost { nullptr };
    Zone::SimulatedWorker* toWorker { nullptr };
    Host* grantTo { nullptr };
    Zone::SimulatedWorker* sender { nullptr };
    Host* peer { nullptr };
    WorkerHeartbeat heartbeat;
    WorkerInstructions instructions;
    PeerMessage message;
    PeerLeaseGrant grant;
    TimePoint sentAt;
    uint64_t incarnation { 0 };
};

SimulatedCluster::SimulatedCluster(uint64_t seed, SimulatedFaults faults, const ZoneScheduler::PlacerFactory& factory)
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
        zone.workers.resize(3);
        for (size_t i = 0; i < zone.workers.size(); ++i) {
            auto& simulated = zone.workers[i];
            simulated.clock = clock();
            simulated.worker.id = WorkerId(std::string(name) + "-w" + std::to_string(i));
            simulated.worker.zone = zone.id;
            simulated.worker.runTime = [this](const StartTask&) { return Duration(m_random() % 3'000'000); };
            simulated.worker.started = [this](const StartTask& start) {
                const bool isSecond = ++m_startsOf[start.task] > 1;
                if (isSecond && m_nonRepeatableCommands.contains(start.command))
                    m_violation = "task " + start.task.value() + " must not run twice and did";
            };
        }
    }
    electCell(0);
    for (auto& zone : m_zones)
        electZone(*zone, 0);
}

SimulatedCluster::~SimulatedCluster() = default;

bool SimulatedCluster::chance(double perStep)
{
    return static_cast<double>(m_random() % 1'000'000) < perStep * 1'000'000;
}

Duration SimulatedCluster::randomDelay()
{
    // Most messages take milliseconds, some take seconds.
    const bool isLate = m_faults.losesMessages && !m_areFaultsStopped && chance(0.05);
    return Duration(m_random() % (isLate ? 4'000'000 : 20'000));
}

std::string SimulatedCluster::step()
{
    if (m_areFaultsStopped)
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

void SimulatedCluster::submitJobs()
{
    if (m_areFaultsStopped || !chance(0.03))
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
        m_nonRepeatableCommands.insert(spec.command);
    Zone& zone = *m_zones[m_random() % m_zones.size()];
    if (chance(0.5))
        proposeCell(encodeCellCommand(SubmitCellJob { .request = request, .spec = spec, .atMs = nowMs }));
    else
        zone.log.push_back(encodeZoneCommand(SubmitZoneJob { .request = request, .spec = spec, .atMs = nowMs }));
    // Cancels some earlier jobs.
    const auto job = static_cast<uint32_t>(1 + m_random() % number);
    if (chance(0.2))
        proposeCell(encodeCellCommand(CancelCellJobs { .jobs = { job }, .atMs = nowMs }));
    if (chance(0.2))
        zone.log.push_back(encodeZoneCommand(CancelZoneJobs { .jobs = { { .number = job } }, .atMs = nowMs }));
}

void SimulatedCluster::injectFaults()
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

void SimulatedCluster::injectZoneFaults(Zone& zone)
{
    if (m_faults.changesLeaders && chance(0.002))
        electZone(zone, 1 - zone.leader);
    if (m_faults.cutsZonesOff && chance(0.001))
        zone.cutOffUntil = m_trueTime + static_cast<int64_t>(m_random() % 12'000'000);
    if (m_areFaultsStopped) {
        zone.cutOffUntil = 0;
        for (auto& host : zone.hosts)
            host->pausedUntil = 0;
    }
    for (auto& simulated : zone.workers) {
        if (m_faults.pausesWorkers && chance(0.001))
            simulated.pausedUntil = m_trueTime + static_cast<int64_t>(m_random() % 8'000'000);
        if (m_faults.cutsWorkersOff && chance(0.001)) {
            const size_t host = m_random() % 3;
            simulated.cutOffUntil = m_trueTime + static_cast<int64_t>(m_random() % 8'000'000);
            simulated.reachable = host < zone.hosts.size() ? zone.hosts[host].get() : nullptr;
        }
        if (m_areFaultsStopped)
            simulated.pausedUntil = simulated.cutOffUntil = 0;
        if (m_faults.restartsWorkers && chance(0.0005))
            simulated.worker.restart();
    }
}

void SimulatedCluster::electCell(size_t next)
{
    Host& old = *m_hosts[m_cellLeader];
    old.noticesCellLossAt = m_trueTime + static_cast<int64_t>(m_random() % 1'500'000);
    m_cellLeader = next;
    ++m_cellTerm;
    Host& host = *m_hosts[next];
    host.noticesCellLossAt = 0;
    host.pausedUntil = 0;
    applyLogs(host, true);
    host.controller.becomeLeader(m_cellTerm, host.clock.at(m_trueTime));
}

void SimulatedCluster::electZone(Zone& zone, size_t next)
{
    Host& old = *zone.hosts[zone.leader];
    old.noticesZoneLossAt = m_trueTime + static_cast<int64_t>(m_random() % 1'500'000);
    zone.leader = next;
    ++zone.term;
    Host& host = *zone.hosts[next];
    host.noticesZoneLossAt = 0;
    host.pausedUntil = 0;
    // The zone's log is complete on its leader; the leader's copy of the cell's log may lag behind.
    while (host.zoneApplied < zone.log.size()) {
        host.zoneState.apply(host.zoneApplied, zone.log[host.zoneApplied]);
        ++host.zoneApplied;
    }
    host.tokens.clear();
    host.scheduler.becomeLeader(zone.term, host.clock.at(m_trueTime));
}

void SimulatedCluster::applyLogs(Host& host, bool isComplete)
{
    const TimePoint now = host.clock.at(m_trueTime);
    const bool isZoneLeader = host.zone.hosts[host.zone.leader].get() == &host;
    // A replaced leader learns of the later term together with its entries, so it resigns before it applies them.
    const bool isReplaced = host.scheduler.isLeader() && !isZoneLeader;
    while (!isReplaced && host.zoneApplied < host.zone.log.size() && (isZoneLeader || chance(0.5))) {
        const size_t index = host.zoneApplied++;
        auto result = host.zoneState.apply(index, host.zone.log[index]);
        const auto token = host.tokens.find(index);
        if (token != host.tokens.end())
            host.scheduler.onProposalResult(token->second, std::move(result), now);
    }
    // A leader has all entries of its log, even if its zone is cut off.
    const bool isCellLeader = m_hosts[m_cellLeader] == &host;
    const bool isCut = host.zone.cutOffUntil > m_trueTime && !isCellLeader;
    while (host.cellApplied < m_cellLog.size() && !isCut && (isComplete || isCellLeader || chance(0.5))) {
        host.cellState.apply(host.cellApplied, m_cellLog[host.cellApplied]);
        ++host.cellApplied;
    }
}

void SimulatedCluster::proposeZone(Host& host, const Proposal& proposal)
{
    // A replaced leader cannot commit anything.
    if (host.zone.hosts[host.zone.leader].get() != &host) {
        host.scheduler.onProposalResult(
            proposal.token, makeError(ErrorCode::NotLeader, "replaced"), host.clock.at(m_trueTime));
        return;
    }
    host.tokens[host.zone.log.size()] = proposal.token;
    host.zone.log.push_back(proposal.payload);
}

void SimulatedCluster::proposeCell(const std::string& payload)
{
    m_cellLog.push_back(payload);
    // A sender that gets no response sends the command again.
    if (m_faults.losesMessages && chance(0.1))
        m_cellLog.push_back(payload);
}

void SimulatedCluster::stepHost(Host& host)
{
    const TimePoint now = host.clock.at(m_trueTime);
    const WallTime wall(Duration(epochMs * 1000 + m_trueTime));
    if (host.noticesZoneLossAt && host.noticesZoneLossAt <= m_trueTime) {
        host.noticesZoneLossAt = 0;
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

void SimulatedCluster::sendPeerMessage(Host& host)
{
    const ZoneRecord* zone = host.cellState.findZone(host.zone.id);
    auto envelope = std::make_unique<Envelope>();
    envelope->arrivesAt = m_trueTime + randomDelay().count();
    envelope->peer = &host;
    envelope->sentAt = host.clock.at(m_trueTime);
    envelope->message.host = host.id;
    envelope->message.zone = host.zone.id;
    envelope->message.sequence = ++host.sequence;
    envelope->message.appliedTableVersion = host.cellState.table().version();
    envelope->message.leadsZone = true;
    envelope->message.zoneTerm = host.zone.term;
    envelope->message.zoneEpoch = zone ? zone->epoch : 0;
    envelope->message.zoneCutOffVersion = host.scheduler.cutOffVersionInForce(host.clock.at(m_trueTime));
    envelope->message.free = host.scheduler.freeCapacity();
    // Every host that believes that it leads the cell may respond.
    for (auto* candidate : m_hosts) {
        if (!candidate->controller.isLeader())
            continue;
        auto copy = std::make_unique<Envelope>(*envelope);
        copy->toHost = candidate;
        m_messages.push_back(std::move(copy));
    }
}

void SimulatedCluster::stepCellController(size_t index)
{
    Host& host = *m_hosts[index];
    if (host.noticesCellLossAt && host.noticesCellLossAt <= m_trueTime) {
        host.noticesCellLossAt = 0;
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

void SimulatedCluster::stepWorkers(Zone& zone)
{
    for (auto& simulated : zone.workers) {
        simulated.worker.isPaused = simulated.pausedUntil > m_trueTime;
        if (simulated.worker.isPaused)
            continue;
        const TimePoint now = simulated.clock.at(m_trueTime);
        simulated.worker.checkLeases(now);
        if (simulated.nextHeartbeatAt > m_trueTime)
            continue;
        simulated.nextHeartbeatAt = m_trueTime + 200'000 + static_cast<int64_t>(m_random() % 500'000);
        // Heartbeats reach every host that believes that it leads the zone, including a replaced leader.
        for (auto& host : zone.hosts) {
            const bool isCut = simulated.cutOffUntil > m_trueTime && simulated.reachable != host.get();
            if (!host->scheduler.isLeader() || isCut || (m_faults.losesMessages && chance(0.05)))
                continue;
            auto envelope = std::make_unique<Envelope>();
            envelope->arrivesAt = m_trueTime + randomDelay().count();
            envelope->toHost = host.get();
            envelope->sender = &simulated;
            envelope->heartbeat = simulated.worker.heartbeat();
            envelope->sentAt = now;
            envelope->incarnation = simulated.worker.incarnation;
            m_messages.push_back(std::move(envelope));
        }
    }
}

void SimulatedCluster::deliver()
{
    std::vector<std::unique_ptr<Envelope>> arrived;
    for (auto& envelope : m_messages) {
        const bool isHostPaused = envelope->toHost && envelope->toHost->pausedUntil > m_trueTime;
        const bool isWorkerPaused = envelope->toWorker && envelope->toWorker->pausedUntil > m_trueTime;
        if (envelope->arrivesAt <= m_trueTime && !isHostPaused && !isWorkerPaused)
            arrived.push_back(std::move(envelope));
    }
    std::erase(m_messages, nullptr);
    for (auto& envelope : arrived) {
        if (envelope->toHost)
            deliverToHost(*envelope->toHost, *envelope);
        else if (envelope->toWorker)
            envelope->toWorker->worker.handleInstructions(envelope->instructions, envelope->incarnation,
                envelope->sentAt, envelope->toWorker->clock.at(m_trueTime));
        else if (envelope->grantTo->zone.cutOffUntil <= m_trueTime) {
            envelope->grantTo->scheduler.onZoneLeaseRenewed(envelope->sentAt, envelope->grant.zoneLease);
            envelope->grantTo->scheduler.onTableLeaseRenewed(envelope->sentAt, envelope->grant.tableLease);
        }
    }
}

void SimulatedCluster::deliverToHost(Host& host, Envelope& envelope)
{
    const TimePoint now = host.clock.at(m_trueTime);
    auto response = std::make_unique<Envelope>(envelope);
    response->toHost = nullptr;
    response->arrivesAt = m_trueTime + randomDelay().count();
    if (envelope.peer) {
        const bool isCut = envelope.peer->zone.cutOffUntil > m_trueTime && &envelope.peer->zone != &host.zone;
        if (isCut)
            return;
        response->grant = host.controller.onPeerMessage(envelope.message, now);
        response->grantTo = envelope.peer;
    } else {
        response->instructions = host.scheduler.onHeartbeat(envelope.heartbeat, now);
        response->toWorker = envelope.sender;
    }
    if (!(m_faults.losesMessages && chance(0.05)))
        m_messages.push_back(std::move(response));
}

std::string SimulatedCluster::check() const
{
    std::map<TaskId, WorkerId> places;
    for (const auto& zone : m_zones) {
        for (const auto& simulated : zone->workers) {
            const FakeWorker& worker = simulated.worker;
            // A paused worker checks its leases before it runs anything, so its tasks do not count while it is paused.
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

bool SimulatedCluster::isIdle() const { return describeOpenJobs().empty(); }

std::string SimulatedCluster::describeOpenJobs() const
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

size_t SimulatedCluster::movedJobs() const
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

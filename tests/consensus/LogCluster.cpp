#include "consensus/LogCluster.h"

#include <algorithm>

namespace hickoryknot {

LogCluster::LogCluster(uint64_t seed, unsigned voters, unsigned learners)
    : m_random(seed)
    , m_network(seed + 1)
{
    for (unsigned i = 0; i < voters + learners; ++i) {
        const bool isVoter = i < voters;
        m_members.push_back({ host(i), isVoter });
        Host& added = m_hosts[host(i)];
        if (isVoter)
            added.files = std::make_shared<FakeFileSystem>(seed + i);
        // Clocks run up to 1% fast, within the lease margin of the default timings.
        added.clockOffset = Duration(m_random(1000000));
        added.driftPerMille = m_random(11);
    }
    for (unsigned i = 0; i < voters + learners; ++i)
        start(host(i));
}

std::vector<HostId> LogCluster::hosts() const
{
    std::vector<HostId> names;
    for (const auto& [name, state] : m_hosts)
        names.push_back(name);
    return names;
}

TimePoint LogCluster::hostNow(const HostId& name) const
{
    const Host& state = m_hosts.at(name);
    return m_clock.hostTime(state.clockOffset, state.driftPerMille);
}

void LogCluster::start(const HostId& name)
{
    Host& state = m_hosts.at(name);
    if (state.group)
        return;
    const uint64_t session = XXH3_64bits(&m_nextSession, sizeof m_nextSession);
    ++m_nextSession;
    std::unique_ptr<RecordStore> store;
    if (state.files) {
        repairDisk(name);
        const RecordStoreSettings settings { .cell = "cell",
            .group = "log",
            .host = name,
            .session = static_cast<SessionId>(session),
            .segmentBytes = 4096 };
        auto opened = RecordStore::open(std::make_unique<FakeDisk>(state.files), settings);
        if (!opened)
            return recordViolation("cannot open the store of " + name.value() + ": " + opened.error().message);
        store = std::move(*opened);
    }
    LogGroupSettings settings;
    settings.group = "log";
    settings.self = name;
    settings.initialMembers = m_members;
    settings.seed = session;
    settings.snapshotInterval = 24;
    settings.trailingEntries = 6;
    settings.batchBytes = 300;
    state.machine = std::make_unique<DigestMachine>();
    state.isPaused = false;
    auto group = LogGroup::open(settings, std::move(store), *state.machine, hostNow(name));
    if (!group)
        return recordViolation("cannot open the group of " + name.value() + ": " + group.error().message);
    state.group = std::move(*group);
}

void LogCluster::crash(const HostId& name)
{
    Host& state = m_hosts.at(name);
    if (!state.group)
        return;
    // The write in progress may or may not have reached the disk.
    if (state.write && m_random(2))
        static_cast<void>(state.group->performWrite(*state.write));
    state.write.reset();
    state.group.reset();
    if (state.files)
        state.files->crash();
}

void LogCluster::loseDisk(const HostId& name)
{
    crash(name);
    m_hosts.at(name).files = std::make_shared<FakeFileSystem>(m_random());
}

void LogCluster::repairDisk(const HostId& name)
{
    if (const auto& disk = m_hosts.at(name).files)
        disk->isFull = disk->isSyncFailing = false;
}

void LogCluster::copyDisk(const HostId& name) { m_hosts.at(name).copy = files(name).copyDurable(m_random()); }

void LogCluster::restoreCopy(const HostId& name)
{
    crash(name);
    m_hosts.at(name).files = m_hosts.at(name).copy->copyDurable(m_random());
}

void LogCluster::propose(const HostId& name, const std::string& payload)
{
    Host& state = m_hosts.at(name);
    if (!state.group)
        return;
    state.group->propose(payload, hostNow(name), [this, payload, &state](const Expected<std::string>& result) {
        if (!result)
            return;
        if (*result != "applied " + payload)
            recordViolation("the proposer of " + payload + " got " + *result);
        m_acknowledged.insert(payload);
        m_acknowledgedIndex = std::max(m_acknowledgedIndex, state.group->commitIndex());
    });
}

void LogCluster::readBarrier(const HostId& name)
{
    Host& state = m_hosts.at(name);
    if (!state.group)
        return;
    const LogIndex requiredIndex = m_acknowledgedIndex;
    state.group->readBarrier(hostNow(name), [this, requiredIndex, &state, name](const Expected<void>& result) {
        if (!result)
            return;
        ++m_completedReads;
        if (state.group->appliedIndex() < requiredIndex)
            recordViolation("a read at " + name.value() + " is older than what was acknowledged before");
    });
}

void LogCluster::run(Duration duration)
{
    for (Duration passed { 0 }; passed < duration && !m_violation; passed += 1ms) {
        m_clock.advance(1ms);
        deliver();
        for (auto& [name, state] : m_hosts)
            stepHost(name, state);
        check();
    }
}

void LogCluster::deliver()
{
    while (const auto parcel = m_network.receive(m_clock.now())) {
        Host& state = m_hosts.at(parcel->to);
        if (!state.group || state.isPaused)
            continue;
        const auto message = decodeLogMessage(parcel->bytes);
        if (!message)
            return recordViolation("a message cannot be decoded: " + message.error().message);
        state.group->step(*message, hostNow(parcel->to));
        sendAll(parcel->to, state);
    }
}

void LogCluster::stepHost(const HostId& name, Host& state)
{
    if (!state.group || state.isPaused)
        return;
    const TimePoint now = hostNow(name);
    state.group->tick(now);
    if (state.group->storageFailure() && !state.files->isFull && !state.files->isSyncFailing) {
        if (auto repaired = state.group->repairStore(); !repaired)
            return recordViolation("cannot repair the store of " + name.value() + ": " + repaired.error().message);
        state.group->onStoreRepaired(now);
    }
    if (state.write && m_clock.now() >= state.writeDue) {
        const WriteBatch batch = *std::exchange(state.write, std::nullopt);
        state.group->onWriteCompleted(state.group->performWrite(batch), now);
    }
    sendAll(name, state);
    if (state.write)
        return;
    state.write = state.group->popWriteBatch();
    state.writeDue = m_clock.now() + state.diskDelay;
}

void LogCluster::sendAll(const HostId& name, Host& state)
{
    for (const auto& outgoing : state.group->drainMessages()) {
        if (m_hosts.contains(outgoing.to))
            m_network.send(m_clock.now(), { name, outgoing.to, encodeLogMessage(outgoing.message) });
    }
}

void LogCluster::check()
{
    for (auto& [name, state] : m_hosts) {
        if (state.group)
            checkHost(name, state);
    }
}

void LogCluster::checkHost(const HostId& name, Host& state)
{
    const LogGroup& group = *state.group;
    if (group.isLeader()) {
        const auto [known, isNew] = m_leaders.emplace(group.term(), name);
        if (!isNew && known->second != name)
            recordViolation(
                name.value() + " and " + known->second.value() + " both lead term " + std::to_string(group.term()));
    }
    // Equal hash chains mean equal entries: detects lost or changed committed entries.
    const auto [known, isNew] = m_digests.emplace(group.appliedIndex(), state.machine->digest());
    if (!isNew && known->second != state.machine->digest())
        recordViolation(name.value() + " differs from other hosts at index " + std::to_string(group.appliedIndex()));
    if (!state.isPaused && group.hasLeaderLease(hostNow(name)) && group.commitIndex() < m_acknowledgedIndex)
        recordViolation(name.value() + " has a valid leader lease, but another leader has acknowledged later entries");
}

void LogCluster::recordViolation(const std::string& violation)
{
    if (!m_violation)
        m_violation = violation;
}

std::optional<HostId> LogCluster::leader() const
{
    std::optional<HostId> found;
    Term highest = 0;
    for (const auto& [name, state] : m_hosts) {
        if (state.group && !state.isPaused && state.group->isLeader() && state.group->term() >= highest) {
            found = name;
            highest = state.group->term();
        }
    }
    return found;
}

bool LogCluster::hasConverged() const
{
    const auto leading = leader();
    if (!leading)
        return false;
    const Host& reference = m_hosts.at(*leading);
    const bool hasAll = std::all_of(m_acknowledged.begin(), m_acknowledged.end(),
        [&](const std::string& payload) { return reference.machine->contains(payload); });
    return hasAll && std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto& item) {
        const bool isMember = std::any_of(reference.group->members().begin(), reference.group->members().end(),
            [&](const Member& member) { return member.host == item.first; });
        return !item.second.group || !isMember
            || (item.second.group->appliedIndex() == reference.group->lastIndex()
                && item.second.machine->digest() == reference.machine->digest());
    });
}

} // namespace hickoryknot

#include "consensus/RandomSchedule.h"

#include <array>

namespace hickoryknot {

RandomSchedule::RandomSchedule(uint64_t seed)
    : m_random(seed, 7)
{
    constexpr std::array<unsigned, 6> voterCounts { 3, 3, 3, 5, 5, 2 };
    m_voters = voterCounts[m_random(voterCounts.size())];
    m_cluster = std::make_unique<LogCluster>(seed, m_voters, m_random(3));
    m_cluster->network().lossPerMille = m_random(2) ? m_random(150) : 0;
    m_cluster->network().duplicatePerMille = m_random(2) ? m_random(100) : 0;
    m_cluster->network().maxDelay = Duration(1000 + m_random(m_random(4) ? 10000 : 60000));
}

std::optional<std::string> RandomSchedule::run()
{
    const unsigned actions = 40 + m_random(60);
    for (unsigned i = 0; i < actions && !m_cluster->violation(); ++i) {
        m_cluster->run(std::chrono::milliseconds(1 + m_random(m_random(5) ? 40 : 600)));
        performRandomAction();
    }
    repairAllFaults();
    for (unsigned i = 0; i < 200 && !m_cluster->violation(); ++i) {
        m_cluster->run(100ms);
        // Committing one more entry shows that the group still makes progress.
        if (i % 20 == 0)
            propose();
        if (i > 10 && m_cluster->hasConverged())
            return m_cluster->violation();
    }
    return m_cluster->violation() ? m_cluster->violation()
                                  : "the hosts have not converged 20 s after all faults were repaired";
}

void RandomSchedule::performRandomAction()
{
    using Action = void (RandomSchedule::*)();
    struct Choice {
        unsigned weight;
        Action action;
    };
    constexpr std::array<Choice, 10> choices { {
        { 50, &RandomSchedule::propose },
        { 20, &RandomSchedule::crashOrStart },
        { 14, &RandomSchedule::changeNetwork },
        { 5, &RandomSchedule::pauseOrResume },
        { 4, &RandomSchedule::transfer },
        { 4, &RandomSchedule::changeMembers },
        { 2, &RandomSchedule::failDisk },
        { 4, &RandomSchedule::repairDisk },
        { 2, &RandomSchedule::loseDisk },
        { 3, &RandomSchedule::restoreOldDisk },
    } };
    unsigned pick = m_random(108);
    for (const auto& [weight, action] : choices) {
        if (pick < weight)
            return (this->*action)();
        pick -= weight;
    }
}

HostId RandomSchedule::randomHost()
{
    const auto hosts = m_cluster->hosts();
    return hosts[m_random(static_cast<uint32_t>(hosts.size()))];
}

std::optional<HostId> RandomSchedule::randomVoter()
{
    const HostId host = m_cluster->host(m_random(m_voters));
    return m_cluster->isRunning(host) && m_cluster->group(host).mayVote() ? std::optional(host) : std::nullopt;
}

// Proposes to all hosts in the leader role, so that stale leaders are covered too.
void RandomSchedule::propose()
{
    for (const auto& host : m_cluster->hosts()) {
        if (!m_cluster->isRunning(host) || !m_cluster->group(host).isLeader())
            continue;
        for (unsigned i = m_random(6) + 1; i; --i)
            m_cluster->propose(host, "p" + std::to_string(++m_proposals) + std::string(m_random(80), '.'));
        m_cluster->readBarrier(host);
    }
}

void RandomSchedule::crashOrStart()
{
    const HostId host = randomHost();
    if (m_cluster->isRunning(host))
        m_cluster->crash(host);
    else
        m_cluster->start(host);
    if (m_random(2))
        m_cluster->start(randomHost());
}

void RandomSchedule::changeNetwork()
{
    const HostId host = randomHost();
    switch (m_random(4)) {
    case 0:
        m_cluster->network().partition(host, randomHost());
        break;
    case 1:
        m_cluster->network().partitionOneWay(host, randomHost());
        break;
    case 2:
        for (const auto& other : m_cluster->hosts())
            m_cluster->network().partition(host, other);
        break;
    default:
        m_cluster->network().healAll();
    }
}

void RandomSchedule::pauseOrResume()
{
    m_cluster->setPaused(randomHost(), true);
    m_cluster->setPaused(randomHost(), false);
    m_cluster->setDiskDelay(randomHost(), std::chrono::milliseconds(m_random(40)));
}

void RandomSchedule::transfer()
{
    if (const auto leader = m_cluster->leader())
        static_cast<void>(m_cluster->group(*leader).transferLeadership(randomHost(), m_cluster->hostNow(*leader)));
}

void RandomSchedule::changeMembers()
{
    const auto leader = m_cluster->leader();
    const HostId host = randomHost();
    if (!leader || m_voters < 5)
        return;
    const auto now = m_cluster->hostNow(*leader);
    if (m_random(2))
        m_cluster->group(*leader).removeMember(host, now, [](const auto&) {});
    else
        m_cluster->group(*leader).addMember(host, host < m_cluster->host(m_voters), now, [](const auto&) {});
}

// A disk may fail only while all initial voters run and may vote, and the leader has as many voters with known stores.
bool RandomSchedule::canTolerateDiskFailure()
{
    const auto leader = m_cluster->leader();
    if (!leader || m_voters < 3)
        return false;
    for (unsigned i = 0; i < m_voters; ++i) {
        if (!m_cluster->isRunning(m_cluster->host(i)) || !m_cluster->group(m_cluster->host(i)).mayVote())
            return false;
    }
    const auto& members = m_cluster->group(*leader).members();
    const auto bound = std::count_if(members.begin(), members.end(),
        [](const Member& member) { return member.isVoter && member.store != StoreId::None; });
    return bound >= m_voters;
}

void RandomSchedule::failDisk()
{
    const auto host = randomVoter();
    if (!host || !isStable() || !canTolerateDiskFailure())
        return;
    (m_random(2) ? m_cluster->files(*host).isFull : m_cluster->files(*host).isSyncFailing) = true;
}

void RandomSchedule::repairDisk() { m_cluster->repairDisk(m_cluster->host(m_random(m_voters))); }

// Requires that the store ids of all voters are recorded: before that an erased disk looks like a first start.
void RandomSchedule::loseDisk()
{
    const auto host = randomVoter();
    if (!host || !isStable() || !canTolerateDiskFailure())
        return;
    m_cluster->loseDisk(*host);
    if (m_random(2))
        m_cluster->start(*host);
}

// The other members must be reachable for the identity check; see docs/consensus.md on older disks.
void RandomSchedule::restoreOldDisk()
{
    const auto host = randomVoter();
    if (!host)
        return;
    if (!m_cluster->hasCopy(*host)) {
        m_cluster->copyDisk(*host);
        return;
    }
    const unsigned loss = std::exchange(m_cluster->network().lossPerMille, 0);
    repairAllFaults();
    if (isStable() && canTolerateDiskFailure()) {
        m_cluster->restoreCopy(*host);
        m_cluster->start(*host);
        m_cluster->run(1s);
    }
    m_cluster->network().lossPerMille = loss;
}

bool RandomSchedule::isStable()
{
    const auto leader = m_cluster->leader();
    if (!leader)
        return false;
    m_cluster->run(1s);
    return m_cluster->leader() == leader && m_cluster->hasConverged();
}

void RandomSchedule::repairAllFaults()
{
    m_cluster->network().healAll();
    m_cluster->network().lossPerMille = 0;
    for (const auto& host : m_cluster->hosts()) {
        m_cluster->setPaused(host, false);
        m_cluster->setDiskDelay(host, 2ms);
        m_cluster->repairDisk(host);
        if (m_cluster->isRunning(host) && m_cluster->group(host).storageFailure())
            m_cluster->crash(host);
        m_cluster->start(host);
    }
}

} // namespace hickoryknot

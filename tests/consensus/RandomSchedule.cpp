#include "consensus/RandomSchedule.h"

#include <array>

namespace hickoryknot {

RandomSchedule::RandomSchedule(uint64_t seed)
    : m_random(seed, 7)
{
    constexpr std::array<unsigned, 6> voterCounts { 3, 3, 3, 5, 5, 2 };
    m_voters = voterCounts[m_random(voterCounts.size())];
    m_cluster = std::make_unique<LogCluster>(seed, m_voters, m_random(3));
    m_cluster->link().lossPerMille = m_random(2) ? m_random(150) : 0;
    m_cluster->link().duplicatePerMille = m_random(2) ? m_random(100) : 0;
    m_cluster->link().maxDelay = Duration(1000 + m_random(m_random(4) ? 10000 : 60000));
}

std::optional<std::string> RandomSchedule::run()
{
    const unsigned actions = 40 + m_random(60);
    for (unsigned i = 0; i < actions && !m_cluster->violation(); ++i) {
        m_cluster->run(std::chrono::milliseconds(1 + m_random(m_random(5) ? 40 : 600)));
        act();
    }
    heal();
    for (unsigned i = 0; i < 200 && !m_cluster->violation(); ++i) {
        m_cluster->run(100ms);
        // Committing one more entry shows that the group works, not only that it stands still.
        if (i % 20 == 0)
            propose();
        if (i > 10 && m_cluster->hasConverged())
            return m_cluster->violation();
    }
    return m_cluster->violation() ? m_cluster->violation() : "the hosts do not agree 20 s after all faults ended";
}

void RandomSchedule::act()
{
    using Action = void (RandomSchedule::*)();
    struct Choice {
        unsigned weight;
        Action action;
    };
    constexpr std::array<Choice, 9> choices { {
        { 50, &RandomSchedule::propose },
        { 20, &RandomSchedule::crashOrStart },
        { 14, &RandomSchedule::changeLink },
        { 5, &RandomSchedule::pauseOrResume },
        { 4, &RandomSchedule::transfer },
        { 4, &RandomSchedule::changeMembers },
        { 2, &RandomSchedule::breakDisk },
        { 2, &RandomSchedule::loseDisk },
        { 3, &RandomSchedule::putBackOldDisk },
    } };
    unsigned pick = m_random(104);
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

// All hosts that believe to lead get commands, so that stale leaders are tried too.
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

void RandomSchedule::changeLink()
{
    const HostId host = randomHost();
    switch (m_random(4)) {
    case 0:
        m_cluster->link().partition(host, randomHost());
        break;
    case 1:
        m_cluster->link().partitionOneWay(host, randomHost());
        break;
    case 2:
        for (const auto& other : m_cluster->hosts())
            m_cluster->link().partition(host, other);
        break;
    default:
        m_cluster->link().healAll();
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

// Another disk may fail once all first voters run and the leader lists all of the first voters as such and knows their
// stores.
bool RandomSchedule::mayBreakDisk()
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

void RandomSchedule::breakDisk()
{
    const auto host = randomVoter();
    if (!host || !isSettled() || !mayBreakDisk())
        return;
    (m_random(2) ? m_cluster->files(*host).isFull : m_cluster->files(*host).isSyncFailing) = true;
}

// The store ids of all voters are recorded by then; before that an emptied disk cannot be told from a first start.
void RandomSchedule::loseDisk()
{
    const auto host = randomVoter();
    if (!host || !isSettled() || !mayBreakDisk())
        return;
    m_cluster->loseDisk(*host);
    if (m_random(2))
        m_cluster->start(*host);
}

// The others must be there to be asked, as docs/consensus.md says of older disks.
void RandomSchedule::putBackOldDisk()
{
    const auto host = randomVoter();
    if (!host)
        return;
    if (!m_cluster->hasCopy(*host)) {
        m_cluster->copyDisk(*host);
        return;
    }
    const unsigned loss = std::exchange(m_cluster->link().lossPerMille, 0);
    heal();
    if (isSettled() && mayBreakDisk()) {
        m_cluster->putBackCopy(*host);
        m_cluster->start(*host);
        m_cluster->run(1s);
    }
    m_cluster->link().lossPerMille = loss;
}

bool RandomSchedule::isSettled()
{
    const auto leader = m_cluster->leader();
    if (!leader)
        return false;
    m_cluster->run(1s);
    return m_cluster->leader() == leader && m_cluster->hasConverged();
}

void RandomSchedule::heal()
{
    m_cluster->link().healAll();
    m_cluster->link().lossPerMille = 0;
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

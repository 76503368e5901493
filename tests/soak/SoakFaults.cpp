#include "SoakFaults.h"

#include <algorithm>
#include <csignal>

namespace hickoryknot::soak {

namespace {

/// How long a recovered host still counts as lost, while it catches up or refills a replaced disk.
constexpr Duration catchUpTime = 4s;
constexpr Duration maxFaultInterval = 1500ms;

} // namespace

SoakFaults::SoakFaults(SoakCluster& cluster, SoakWorkers& workers, size_t toleratedLosses, uint64_t seed)
    : m_cluster(cluster)
    , m_workers(workers)
    , m_toleratedLosses(toleratedLosses)
    , m_random(seed)
    , m_hasRestarts(seed % 3 != 0)
{
}

const std::vector<SoakFaults::Kind>& SoakFaults::kinds()
{
    static const std::vector<Kind> all {
        { "kill", 4, &SoakFaults::killHost },
        { "stop", 3, &SoakFaults::stopHost },
        { "pause", 4, &SoakFaults::pauseHost },
        { "wipe", 2, &SoakFaults::wipeHost },
        { "reload", 1, &SoakFaults::reloadHost },
        { "cut", 3, &SoakFaults::partitionHost },
        { "one-way cut", 3, &SoakFaults::partitionHostOneWay },
        { "delay", 2, &SoakFaults::delayHost },
        { "reset", 2, &SoakFaults::resetHost },
        { "silence", 2, &SoakFaults::silenceHost },
    };
    return all;
}

Duration SoakFaults::randomDuration(Duration min, Duration max)
{
    return min + Duration(static_cast<int64_t>(m_random() % static_cast<uint64_t>((max - min).count() + 1)));
}

void SoakFaults::schedule(TimePoint at, std::function<void(TimePoint)> end)
{
    m_pending.push_back({ at, std::move(end) });
}

void SoakFaults::advance(TimePoint now)
{
    if (m_startTime == TimePoint())
        m_startTime = now;
    auto pending = std::exchange(m_pending, {});
    for (auto& item : pending) {
        if (now >= item.at)
            item.end(now);
        else
            m_pending.push_back(std::move(item));
    }
    if (m_hasEnded)
        return;
    if (m_hasRestarts && now >= m_nextRestart)
        restartWorkers(now);
    if (now < m_nextFault)
        return;
    m_nextFault = now + randomDuration(50ms, maxFaultInterval);
    if (m_random() % 3 == 0)
        injectWorkerFault(now);
    else
        injectHostFault(now);
}

void SoakFaults::injectWorkerFault(TimePoint now)
{
    const size_t worker = m_random() % m_workers.size();
    switch (m_random() % 3) {
    case 0:
        m_workers.crash(worker, now, randomDuration(100ms, 3s));
        m_history.push_back("worker " + std::to_string(worker) + " crashes");
        break;
    case 1:
        m_workers.isolate(worker, now + randomDuration(500ms, 6s));
        m_history.push_back("worker " + std::to_string(worker) + " is cut off");
        break;
    default:
        m_workers.delayRunRequests(0.2, now + randomDuration(1s, 4s));
        m_history.push_back("requests are executed late");
    }
}

void SoakFaults::restartWorkers(TimePoint now)
{
    m_nextRestart = now + randomDuration(100ms, 1s);
    const size_t count = 1 + m_random() % (1 + m_workers.size() / 10);
    for (size_t i = 0; i < count; ++i) {
        const size_t worker = m_random() % m_workers.size();
        const Duration downTime = randomDuration(200ms, 1500ms);
        m_workers.crash(worker, now, downTime);
        m_history.push_back("worker " + std::to_string(worker) + " restarts");
        if (m_random() % 3)
            continue;
        schedule(now + downTime + randomDuration(50ms, 2s), [this, worker](TimePoint cutAt) {
            m_workers.isolate(worker, cutAt + randomDuration(500ms, 9s));
            m_history.push_back("worker " + std::to_string(worker) + " is cut off after its restart");
        });
    }
}

SoakCluster::Host* SoakFaults::chooseHost(TimePoint now)
{
    const auto lost = static_cast<size_t>(std::count_if(m_cluster.hosts().begin(), m_cluster.hosts().end(),
        [&](const auto& host) { return host.isControl && now < m_lostUntil[host.name]; }));
    std::vector<SoakCluster::Host*> candidates;
    for (auto& host : m_cluster.hosts()) {
        // A host that is already lost may get another fault.
        const bool isLost = now < m_lostUntil[host.name];
        if (!host.isControl || isLost || lost < m_toleratedLosses)
            candidates.push_back(&host);
    }
    return candidates.empty() ? nullptr : candidates[m_random() % candidates.size()];
}

void SoakFaults::injectHostFault(TimePoint now)
{
    SoakCluster::Host* host = chooseHost(now);
    if (!host)
        return;
    unsigned sum = 0;
    for (const auto& kind : kinds())
        sum += kind.weight;
    unsigned draw = static_cast<unsigned>(m_random() % sum);
    for (const auto& kind : kinds()) {
        if (draw < kind.weight) {
            m_history.push_back(std::to_string((now - m_startTime) / 1ms) + " ms: " + kind.name + " at " + host->name);
            (this->*kind.begin)(*host, now);
            return;
        }
        draw -= kind.weight;
    }
}

void SoakFaults::markLost(SoakCluster::Host& host, TimePoint until)
{
    auto& lost = m_lostUntil[host.name];
    lost = std::max(lost, until + catchUpTime);
}

void SoakFaults::killHost(SoakCluster::Host& host, TimePoint now)
{
    const TimePoint recoveryTime = now + randomDuration(50ms, 2s);
    m_cluster.kill(host);
    markLost(host, recoveryTime);
    schedule(recoveryTime, [this, &host](TimePoint) {
        if (!host.process)
            m_cluster.start(host);
    });
}

void SoakFaults::stopHost(SoakCluster::Host& host, TimePoint now)
{
    // Exits within its grace period and is restarted by restartExited().
    m_cluster.signal(host, SIGTERM);
    markLost(host, now + 6s);
}

void SoakFaults::pauseHost(SoakCluster::Host& host, TimePoint now)
{
    const TimePoint recoveryTime = now + randomDuration(300ms, 5s);
    m_cluster.signal(host, SIGSTOP);
    markLost(host, recoveryTime);
    schedule(recoveryTime, [this, &host](TimePoint) { m_cluster.signal(host, SIGCONT); });
}

void SoakFaults::wipeHost(SoakCluster::Host& host, TimePoint now)
{
    // Another disk may only be wiped after the first has been refilled.
    const bool isAnyLost = std::any_of(m_cluster.hosts().begin(), m_cluster.hosts().end(),
        [&](const auto& other) { return other.isControl && other.name != host.name && now < m_lostUntil[other.name]; });
    if (!host.isControl || isAnyLost)
        return killHost(host, now);
    const TimePoint recoveryTime = now + randomDuration(50ms, 2s);
    m_cluster.kill(host);
    m_cluster.wipeDisk(host);
    markLost(host, recoveryTime + catchUpTime);
    schedule(recoveryTime, [this, &host](TimePoint) {
        if (!host.process)
            m_cluster.start(host);
    });
}

void SoakFaults::reloadHost(SoakCluster::Host& host, TimePoint) { m_cluster.signal(host, SIGHUP); }

void SoakFaults::forLinks(SoakCluster::Host& host, const std::function<void(Link&)>& act)
{
    act(*host.callLink);
    if (host.messageLink)
        act(*host.messageLink);
}

void SoakFaults::partitionHost(SoakCluster::Host& host, TimePoint now)
{
    const TimePoint recoveryTime = now + randomDuration(300ms, 6s);
    markLost(host, recoveryTime);
    forLinks(host, [](Link& link) { link.cut(true, true); });
    schedule(recoveryTime, [&host](TimePoint) { forLinks(host, [](Link& link) { link.cut(false, false); }); });
}

void SoakFaults::partitionHostOneWay(SoakCluster::Host& host, TimePoint now)
{
    const TimePoint recoveryTime = now + randomDuration(300ms, 6s);
    const bool isForward = m_random() % 2 == 0;
    markLost(host, recoveryTime);
    forLinks(host, [isForward](Link& link) { link.cut(isForward, !isForward); });
    schedule(recoveryTime, [&host](TimePoint) { forLinks(host, [](Link& link) { link.cut(false, false); }); });
}

void SoakFaults::delayHost(SoakCluster::Host& host, TimePoint now)
{
    const TimePoint recoveryTime = now + randomDuration(500ms, 4s);
    const Duration delay = randomDuration(5ms, 300ms);
    markLost(host, recoveryTime);
    forLinks(host, [delay](Link& link) { link.setDelay(delay); });
    schedule(recoveryTime, [&host](TimePoint) { forLinks(host, [](Link& link) { link.setDelay(Duration(0)); }); });
}

void SoakFaults::resetHost(SoakCluster::Host& host, TimePoint now)
{
    markLost(host, now);
    forLinks(host, [](Link& link) { link.reset(); });
}

void SoakFaults::silenceHost(SoakCluster::Host& host, TimePoint now)
{
    markLost(host, now);
    forLinks(host, [](Link& link) { link.silence(); });
}

void SoakFaults::endFaults(TimePoint now)
{
    m_hasEnded = true;
    for (auto& item : std::exchange(m_pending, {}))
        item.end(now);
    m_workers.endFaults();
    for (auto& host : m_cluster.hosts()) {
        m_cluster.signal(host, SIGCONT);
        forLinks(host, [](Link& link) {
            link.cut(false, false);
            link.setDelay(Duration(0));
        });
        if (!host.process)
            m_cluster.start(host);
    }
}

} // namespace hickoryknot::soak

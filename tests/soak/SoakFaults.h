#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "SoakCluster.h"
#include "SoakWorkers.h"

namespace hickoryknot::soak {

/// Injects random faults from outside the processes, through signals, links, disks and workers. Faults overlap, with
/// at most the tolerated number of control hosts lost and one disk wiped at a time; entry hosts and workers have no
/// limit.
class SoakFaults {
public:
    SoakFaults(SoakCluster&, SoakWorkers&, size_t toleratedLosses, uint64_t seed);

    /// Called about every 10 ms.
    void advance(TimePoint now);
    /// Ends all faults and restarts all hosts.
    void endFaults(TimePoint now);

    /// One line per fault, for the report of a failed seed.
    const std::vector<std::string>& history() const { return m_history; }

private:
    struct Pending {
        TimePoint at;
        std::function<void(TimePoint)> end;
    };
    /// A kind of host fault with its relative probability.
    struct Kind {
        const char* name;
        unsigned weight;
        void (SoakFaults::*begin)(SoakCluster::Host&, TimePoint now);
    };
    static const std::vector<Kind>& kinds();

    void injectHostFault(TimePoint now);
    /// Workers start again under their ids, and some are cut off soon after, often before they have reported
    /// themselves.
    void restartWorkers(TimePoint now);
    void injectWorkerFault(TimePoint now);
    SoakCluster::Host* chooseHost(TimePoint now);
    Duration randomDuration(Duration min, Duration max);
    void schedule(TimePoint, std::function<void(TimePoint)>);

    void killHost(SoakCluster::Host&, TimePoint now);
    void stopHost(SoakCluster::Host&, TimePoint now);
    void pauseHost(SoakCluster::Host&, TimePoint now);
    void wipeHost(SoakCluster::Host&, TimePoint now);
    void reloadHost(SoakCluster::Host&, TimePoint now);
    void partitionHost(SoakCluster::Host&, TimePoint now);
    void partitionHostOneWay(SoakCluster::Host&, TimePoint now);
    void delayHost(SoakCluster::Host&, TimePoint now);
    void resetHost(SoakCluster::Host&, TimePoint now);
    void silenceHost(SoakCluster::Host&, TimePoint now);
    static void forLinks(SoakCluster::Host&, const std::function<void(Link&)>&);
    /// The host counts as lost until this time and for catchUpTime after it.
    void markLost(SoakCluster::Host&, TimePoint until);

    SoakCluster& m_cluster;
    SoakWorkers& m_workers;
    size_t m_toleratedLosses;
    std::mt19937_64 m_random;
    TimePoint m_nextFault;
    bool m_hasRestarts; // By the seed.
    TimePoint m_nextRestart;
    TimePoint m_startTime;
    std::vector<Pending> m_pending;
    std::map<std::string, TimePoint> m_lostUntil; // By host.
    std::vector<std::string> m_history;
    bool m_hasEnded { false };
};

} // namespace hickoryknot::soak

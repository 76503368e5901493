#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "FakeWorker.h"
#include "scheduler/CellController.h"
#include "scheduler/ZoneScheduler.h"

namespace hickoryknot {

/// Which faults a run has.
struct WorldFaults {
    bool losesMessages { true };
    bool pausesHosts { true };
    bool pausesWorkers { true };
    bool restartsWorkers { true };
    bool cutsWorkersOff { true };
    bool changesLeaders { true };
    bool cutsZonesOff { true };
    bool changesTable { true };
};

/// Two zones of workers under fake logs that commit at once on their true leader, with clocks that drift by up to half
/// a percent, messages that are lost or late, pauses, elections and zones that are cut off. step() returns the first
/// broken promise as a sentence.
class ClusterWorld {
public:
    ClusterWorld(uint64_t seed, WorldFaults);
    ~ClusterWorld();

    /// Advances true time by 10 ms.
    std::string step();
    /// Heals everything; no further fault and no further job comes.
    void calm() { m_isCalm = true; }
    /// True if every job has its outcome.
    bool isIdle() const;
    std::string describeOpenJobs() const;
    size_t startedTasks() const { return m_startsOf.size(); }
    size_t movedJobs() const;

private:
    struct Clock;
    struct Host;
    struct Zone;
    struct Envelope;

    Duration randomDelay();
    bool chance(double perStep);
    void submitJobs();
    void injectFaults();
    void injectZoneFaults(Zone&);
    void electCell(size_t next);
    void electZone(Zone&, size_t next);
    void stepHost(Host&);
    void stepCellController(size_t host);
    void stepWorkers(Zone&);
    void deliver();
    void deliverToHost(Host&, Envelope&);
    void sendPeerMessage(Host&);
    void applyLogs(Host&, bool isWhole);
    void proposeZone(Host&, const Proposal&);
    void proposeCell(const std::string& payload);
    std::string check() const;

    std::mt19937_64 m_random;
    WorldFaults m_faults;
    bool m_isCalm { false };
    int64_t m_trueTime { 60'000'000 };
    std::vector<std::unique_ptr<Zone>> m_zones;
    std::vector<Host*> m_hosts;
    // The cell's log; its voters are the hosts, of which one leads.
    std::vector<std::string> m_cellLog;
    size_t m_cellLeader { 0 };
    uint64_t m_cellTerm { 1 };
    std::vector<std::unique_ptr<Envelope>> m_mail;
    uint64_t m_nextRequest { 1 };
    std::map<TaskId, int> m_startsOf;
    std::set<std::string> m_onceOnly;
    std::string m_violation;
};

} // namespace hickoryknot

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

/// Faults that a simulation injects.
struct SimulatedFaults {
    bool losesMessages { true };
    bool pausesHosts { true };
    bool pausesWorkers { true };
    bool restartsWorkers { true };
    bool cutsWorkersOff { true };
    bool changesLeaders { true };
    bool cutsZonesOff { true };
    bool changesTable { true };
};

/// Simulates two zones of workers. Fake logs commit at once on their current leader; clocks drift by up to half a
/// percent, messages are lost or late, hosts and workers pause, leaders change and zones are cut off. step() returns a
/// description of the first violated invariant.
class SimulatedCluster {
public:
    SimulatedCluster(uint64_t seed, SimulatedFaults, const ZoneScheduler::PlacerFactory&);
    ~SimulatedCluster();

    /// Advances the simulated time by 10 ms.
    std::string step();
    /// Ends all faults and job submissions.
    void stopFaults() { m_areFaultsStopped = true; }
    /// True if every job has ended.
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
    void applyLogs(Host&, bool isComplete);
    void proposeZone(Host&, const Proposal&);
    void proposeCell(const std::string& payload);
    std::string check() const;

    std::mt19937_64 m_random;
    SimulatedFaults m_faults;
    bool m_areFaultsStopped { false };
    int64_t m_trueTime { 60'000'000 };
    std::vector<std::unique_ptr<Zone>> m_zones;
    std::vector<Host*> m_hosts;
    // The cell's log; all hosts are voters and one of them leads.
    std::vector<std::string> m_cellLog;
    size_t m_cellLeader { 0 };
    uint64_t m_cellTerm { 1 };
    std::vector<std::unique_ptr<Envelope>> m_messages;
    uint64_t m_nextRequest { 1 };
    std::map<TaskId, int> m_startsOf;
    std::set<std::string> m_nonRepeatableCommands;
    std::string m_violation;
};

} // namespace hickoryknot

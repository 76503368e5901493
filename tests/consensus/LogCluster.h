#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/DigestMachine.h"
#include "consensus/LogGroup.h"
#include "fakes/FakeClock.h"
#include "fakes/FakeDisk.h"
#include "fakes/FakeNetwork.h"

namespace hickoryknot {

/// Simulates hosts with fake disks on a fake network in steps of 1 ms and checks the invariants of the log after each
/// step.
class LogCluster {
public:
    LogCluster(uint64_t seed, unsigned voters, unsigned learners);

    /// Host names are a, b, c ...; the voters come first.
    std::vector<HostId> hosts() const;
    HostId host(size_t i) const { return HostId(std::string(1, static_cast<char>('a' + i))); }

    void run(Duration);
    void crash(const HostId&);
    void start(const HostId&);
    bool isRunning(const HostId& host) const { return !!m_hosts.at(host).group; }
    void loseDisk(const HostId&);
    void repairDisk(const HostId&);
    void copyDisk(const HostId&);
    void restoreCopy(const HostId&);
    bool hasCopy(const HostId& host) const { return !!m_hosts.at(host).copy; }
    FakeFileSystem& files(const HostId& host) { return *m_hosts.at(host).files; }
    void setDiskDelay(const HostId& host, Duration delay) { m_hosts.at(host).diskDelay = delay; }
    void setPaused(const HostId& host, bool isPaused) { m_hosts.at(host).isPaused = isPaused; }

    /// Proposes a payload at a host and tracks its outcome.
    void propose(const HostId&, const std::string& payload);
    void readBarrier(const HostId&);
    bool isAcknowledged(const std::string& payload) const { return m_acknowledged.contains(payload); }
    const std::set<std::string>& acknowledged() const { return m_acknowledged; }
    size_t completedReads() const { return m_completedReads; }

    /// The running leader of the highest term.
    std::optional<HostId> leader() const;
    LogGroup& group(const HostId& host) { return *m_hosts.at(host).group; }
    DigestMachine& machine(const HostId& host) { return *m_hosts.at(host).machine; }
    TimePoint hostNow(const HostId&) const;
    FakeNetwork& network() { return m_network; }

    /// The first violated invariant, if any.
    const std::optional<std::string>& violation() const { return m_violation; }

    /// True if all running members have applied the same entries and the leader has all acknowledged payloads.
    bool hasConverged() const;

    uint64_t random(uint32_t below) { return m_random(below); }

private:
    struct Host {
        std::shared_ptr<FakeFileSystem> files; // Null: a learner without a disk.
        std::shared_ptr<FakeFileSystem> copy;
        std::unique_ptr<DigestMachine> machine;
        std::unique_ptr<LogGroup> group;
        std::optional<WriteBatch> write; // In progress.
        TimePoint writeDue;
        Duration diskDelay { 2ms };
        Duration clockOffset { 0 };
        int64_t driftPerMille { 0 };
        bool isPaused { false };
    };

    void stepHost(const HostId&, Host&);
    void deliver();
    void sendAll(const HostId&, Host&);
    void check();
    void checkHost(const HostId&, Host&);
    void recordViolation(const std::string&);

    pcg32 m_random;
    FakeClock m_clock;
    FakeNetwork m_network;
    std::map<HostId, Host> m_hosts;
    std::vector<InitialMember> m_members;
    uint64_t m_nextSession { 1 };
    std::map<Term, HostId> m_leaders;
    std::map<LogIndex, uint64_t> m_digests;
    std::set<std::string> m_acknowledged;
    LogIndex m_acknowledgedIndex { 0 };
    size_t m_completedReads { 0 };
    std::optional<std::string> m_violation;
};

} // namespace hickoryknot

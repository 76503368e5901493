#pragma once

#include <memory>
#include <optional>
#include <string>

#include "consensus/LogCluster.h"

namespace hickoryknot {

/// One reproducible random run of a replicated log with fault injection. After the faults are repaired, all hosts must
/// converge.
class RandomSchedule {
public:
    explicit RandomSchedule(uint64_t seed);

    /// The violated invariant, if any. The same seed gives the same result.
    std::optional<std::string> run();

    /// Number of acknowledged commands, to detect schedules that commit nothing.
    size_t acknowledgedCount() const { return m_cluster->acknowledged().size(); }

private:
    void performRandomAction();
    void propose();
    void crashOrStart();
    void changeNetwork();
    void pauseOrResume();
    void transfer();
    void changeMembers();
    void failDisk();
    void repairDisk();
    void loseDisk();
    void restoreOldDisk();
    void repairAllFaults();
    bool isStable();
    bool canTolerateDiskFailure();
    HostId randomHost();
    std::optional<HostId> randomVoter();

    pcg32 m_random;
    unsigned m_voters;
    std::unique_ptr<LogCluster> m_cluster;
    uint64_t m_proposals { 0 };
};

} // namespace hickoryknot

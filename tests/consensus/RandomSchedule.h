#pragma once

#include <memory>
#include <optional>
#include <string>

#include "consensus/LogCluster.h"

namespace hickoryknot {

/// One random but repeatable run of a replicated log with faults, then healed until all hosts agree.
class RandomSchedule {
public:
    explicit RandomSchedule(uint64_t seed);

    /// The broken promise, if any; the same for the same seed.
    std::optional<std::string> run();

    /// What was reached: a schedule that commits nothing shows nothing.
    size_t acknowledgedCount() const { return m_cluster->acknowledged().size(); }

private:
    void act();
    void propose();
    void crashOrStart();
    void changeLink();
    void pauseOrResume();
    void transfer();
    void changeMembers();
    void breakDisk();
    void loseDisk();
    void putBackOldDisk();
    void heal();
    bool isSettled();
    bool mayBreakDisk();
    HostId randomHost();
    std::optional<HostId> randomVoter();

    pcg32 m_random;
    unsigned m_voters;
    std::unique_ptr<LogCluster> m_cluster;
    uint64_t m_proposals { 0 };
};

} // namespace hickoryknot

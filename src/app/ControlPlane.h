#pragma once

#include <functional>
#include <memory>
#include <string>

#include "app/ControlContext.h"
#include "app/JobService.h"
#include "app/PeerService.h"
#include "app/PublishedState.h"
#include "app/StartSample.h"
#include "app/TableService.h"
#include "app/WorkerService.h"

namespace hickoryknot {

/// Owns everything that runs on the control thread: both replicated logs, the schedulers and the services that use
/// them.
class ControlPlane {
public:
    /// Callbacks into the other threads of the process.
    struct Dependencies {
        GroupRunner::SendMessage sendLogMessage;
        Proposer::SendProposal sendProposal;
        PeerService::Send sendPeerMessage;
        GroupRunner::PostToControl postToControl;
        std::function<void(std::shared_ptr<const PublishedState>)> publish;
        std::function<void(StartSample)> recordStart;
        WorkQueueThread& storage;
    };

    /// Opens the data folder and joins both groups. Errors as RecordStore::open().
    static Expected<std::unique_ptr<ControlPlane>> open(const HostSettings&, Dependencies, TimePoint now);

    /// Must be called every 10 ms.
    void tick(TimePoint now, WallTime wall);

    void onLogMessage(const std::string& group, std::string_view bytes, TimePoint now);

    /// Proposes a command forwarded by another host. NotLeader: nothing was proposed.
    void onForwardedProposal(
        const std::string& group, std::string payload, TimePoint now, std::function<void(Expected<std::string>)> reply);

    /// Records the start or the outcome of a non-repeatable request in its home group.
    void proposeForRequest(const std::optional<ZoneId>& homeZone, std::string payload, Proposer::Repeat,
        TimePoint deadline, TimePoint now, Proposer::Completion);

    /// Stops accepting new work and transfers leadership to other hosts.
    void startDraining(TimePoint now);

    /// True once this host leads no group that has another voter.
    bool hasTransferredLeadership() const;

    JobService& jobs() { return m_jobs; }
    TableService& table() { return m_table; }
    WorkerService& workers() { return m_workers; }
    PeerService& peers() { return m_peers; }
    const ControlContext& context() const { return m_context; }

    /// Hosts as a JSON list for operators.
    std::string hostsJson(TimePoint now) const;

private:
    ControlPlane(const HostSettings&, Dependencies);

    Expected<void> openGroups(TimePoint now);
    GroupRunner::Dependencies groupDependencies(GroupRunner::LeadershipChanged);
    void onCellLeadershipChange(bool isLeader, uint64_t term, TimePoint now);
    void onZoneLeadershipChange(bool isLeader, uint64_t term, TimePoint now);
    void runSchedulers(TimePoint now, WallTime wall);
    void proposeBatch(ProposalBatch, bool isFromZone, TimePoint now);
    void transferLeadership(TimePoint now);
    void publishState(TimePoint now);
    void updatePublishedTable(TimePoint now);

    Dependencies m_dependencies;
    ControlContext m_context;
    JobService m_jobs;
    TableService m_table;
    WorkerService m_workers;
    PeerService m_peers;
    std::shared_ptr<const std::vector<Row>> m_publishedRows;
    uint64_t m_publishedVersion { 0 };
    TimePoint m_nextPublish { TimePoint::min() };
    TimePoint m_nextLeadershipTransfer { TimePoint::min() };
    TimePoint m_nextSchedule { TimePoint::min() };
    uint64_t m_scheduledApplied { 0 };
    bool m_hadTableLease { false };
    std::optional<uint64_t> m_zoneTerm;
};

} // namespace hickoryknot

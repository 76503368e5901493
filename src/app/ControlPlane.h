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

/// Everything that runs on the control thread: both replicated logs, the schedulers and the services on top of them.
class ControlPlane {
public:
    /// What the control thread needs of the other threads.
    struct Links {
        GroupRunner::SendMessage sendLogMessage;
        Proposer::SendProposal sendProposal;
        PeerService::Send sendPeerMessage;
        GroupRunner::PostToControl postToControl;
        std::function<void(std::shared_ptr<const PublishedState>)> publish;
        std::function<void(StartSample)> recordStart;
        DutyThread& storage;
    };

    /// Opens the data folder and joins both groups. Errors as RecordStore::open().
    static Expected<std::unique_ptr<ControlPlane>> open(const HostSettings&, Links, TimePoint now);

    /// Every 10 ms.
    void tick(TimePoint now, WallTime wall);

    void logMessageArrived(const std::string& group, std::string_view bytes, TimePoint now);

    /// A command forwarded by another host. NotLeader: nothing was proposed.
    void proposalArrived(
        const std::string& group, std::string payload, TimePoint now, std::function<void(Expected<std::string>)> reply);

    /// Records that a request which is not repeatable starts, or its outcome, with the home group.
    void proposeForRequest(const std::optional<ZoneId>& homeZone, std::string payload, Proposer::Repeat,
        TimePoint deadline, TimePoint now, Proposer::Completion);

    /// Takes no new work and hands leadership over.
    void startDraining(TimePoint now);

    /// True once this host leads no group that another voter could lead.
    bool hasHandedOver() const;

    JobService& jobs() { return m_jobs; }
    TableService& table() { return m_table; }
    WorkerService& workers() { return m_workers; }
    PeerService& peers() { return m_peers; }
    const ControlContext& context() const { return m_context; }

    /// Hosts as a JSON list for operators.
    std::string hostsJson(TimePoint now) const;

private:
    ControlPlane(const HostSettings&, Links);

    Expected<void> openGroups(TimePoint now);
    GroupRunner::Links groupLinks(GroupRunner::LeadershipChanged);
    void cellLeadershipChanged(bool isLeader, uint64_t term, TimePoint now);
    void zoneLeadershipChanged(bool isLeader, uint64_t term, TimePoint now);
    void runSchedulers(TimePoint now, WallTime wall);
    void proposeBatch(ProposalBatch, bool isFromZone, TimePoint now);
    void handOver(TimePoint now);
    void publishState(TimePoint now);
    void reportTable(TimePoint now);

    Links m_links;
    ControlContext m_context;
    JobService m_jobs;
    TableService m_table;
    WorkerService m_workers;
    PeerService m_peers;
    std::shared_ptr<const std::vector<Row>> m_publishedRows;
    uint64_t m_publishedVersion { 0 };
    TimePoint m_nextPublish { TimePoint::min() };
    TimePoint m_nextHandOver { TimePoint::min() };
    TimePoint m_nextSchedule { TimePoint::min() };
    uint64_t m_scheduledApplied { 0 };
    bool m_hadTableLease { false };
    std::optional<uint64_t> m_zoneTerm;
};

} // namespace hickoryknot

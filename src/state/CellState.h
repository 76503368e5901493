#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "consensus/StateMachine.h"
#include "protocol/JobStatus.h"
#include "state/CellCommand.h"
#include "state/CellJob.h"
#include "state/ChangeFeed.h"
#include "state/CommandResult.h"
#include "state/HostRecord.h"
#include "state/RequestTracker.h"
#include "table/Table.h"

namespace hickoryknot {

/// The cell's replicated state: table, hosts, zones, jobs and request ids without a home zone. Replicated to every
/// host.
class CellState final : public StateMachine {
public:
    /// Bounds memory; further submissions are refused as Overloaded.
    static constexpr size_t maxJobs = 50000;

    std::string apply(uint64_t index, std::string_view payload) override;
    std::string snapshot() const override;
    Expected<void> restore(std::string_view snapshot) override;
    uint64_t digest() const override;

    /// Same as apply(), without the encoding.
    CommandResult execute(const CellCommand&);

    const Table& table() const { return m_data.table; }
    const RequestTracker& requests() const { return m_data.requests; }
    const std::map<HostId, HostRecord>& hosts() const { return m_data.hosts; }
    const std::map<ZoneId, ZoneRecord>& zones() const { return m_data.zones; }
    const HostRecord* findHost(const HostId&) const;
    const ZoneRecord* findZone(const ZoneId&) const;

    const CellJob* findJob(uint32_t number) const;
    /// Jobs that have not ended, ascending.
    const std::set<uint32_t>& openJobs() const { return m_openJobs; }
    /// Jobs not assigned to a zone, ascending.
    const std::set<uint32_t>& queuedJobs() const { return m_queuedJobs; }
    /// Jobs assigned to or cancelling in that zone, ascending.
    const std::set<uint32_t>& jobsOfZone(const ZoneId&) const;
    const ChangeFeed& changes() const { return m_changes; }

    /// Number of commands executed so far; equal on all replicas at the same log index.
    uint64_t revision() const { return m_data.revision; }
    /// Number of the next job. Higher numbers may exist in replicas that are further ahead.
    uint32_t nextJob() const { return m_data.nextJob; }
    /// Logical time: the highest timestamp of all commands so far.
    UnixMs now() const { return m_data.nowMs; }
    /// NotFound: no such job, or past its retention time.
    Expected<JobStatus> jobStatus(const JobId&) const;

private:
    struct Data {
        Table table;
        std::map<HostId, HostRecord> hosts;
        std::map<ZoneId, ZoneRecord> zones;
        std::map<uint32_t, CellJob> jobs;
        RequestTracker requests;
        uint32_t nextJob { 1 };
        uint64_t revision { 0 };
        UnixMs nowMs { 0 };
    };

    CommandResult run(const SetTable&);
    CommandResult run(const RecordHost&);
    CommandResult run(const ForgetHosts&);
    CommandResult run(const SetZoneGroup&);
    CommandResult run(const SubmitCellJob&);
    CommandResult run(const AssignCellJobs&);
    CommandResult run(const ReturnCellJobs&);
    CommandResult run(const ReleaseZone&);
    CommandResult run(const FinishCellJobs&);
    CommandResult run(const CancelCellJobs&);
    CommandResult run(const ConfirmCutOff&);
    CommandResult run(const StartRequest&);
    CommandResult run(const EndRequest&);
    CommandResult run(const AbandonRequests&);
    CommandResult run(const Expire&);

    void advanceTo(UnixMs atMs);
    CellJob* findMutable(uint32_t number);
    void moveTo(CellJob&, CellJobPhase, ZoneId, std::string reason, UnixMs atMs);
    void requeue(CellJob&, const std::string& reason, UnixMs atMs);
    void finish(CellJob&, Outcome, UnixMs atMs);
    void release(CellJob&, UnixMs atMs);
    CutOffRule cutOffRuleOf(const CellJob&) const;
    void rebuildIndexes();

    Data m_data;
    // Indexes derived from m_data; not in snapshots.
    std::set<uint32_t> m_openJobs;
    std::set<uint32_t> m_queuedJobs;
    std::map<ZoneId, std::set<uint32_t>> m_jobsOfZone;
    ChangeFeed m_changes;
};

} // namespace hickoryknot

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "consensus/StateMachine.h"
#include "protocol/JobStatus.h"
#include "state/ChangeFeed.h"
#include "state/CommandResult.h"
#include "state/RequestTracker.h"
#include "state/WorkerRecord.h"
#include "state/ZoneCommand.h"
#include "state/ZoneJob.h"

namespace hickoryknot {

/// Key of a task within a zone.
struct TaskKey {
    JobNumber job;
    uint32_t task { 0 };

    friend auto operator<=>(const TaskKey&, const TaskKey&) = default; // NOLINT(modernize-use-nullptr)
};

/// One zone's replicated state: the jobs that run there, their assignments, workers, and the requests and jobs with
/// this home zone.
class ZoneState final : public StateMachine {
public:
    /// Bounds memory; further submissions are refused as Overloaded.
    static constexpr size_t maxJobs = 50000;
    /// A repeatable task fails for good after this many failures; does not apply to services.
    static constexpr uint16_t maxFailures = 4;
    /// A task fails for good after this many losses, since it probably crashes its workers; does not apply to services.
    static constexpr uint16_t maxLosses = 16;

    /// `zone` is the home part of the job ids recorded here.
    explicit ZoneState(ZoneId zone);

    std::string apply(uint64_t index, std::string_view payload) override;
    std::string snapshot() const override;
    Expected<void> restore(std::string_view snapshot) override;
    uint64_t digest() const override;

    /// Same as apply(), without the encoding.
    CommandResult execute(const ZoneCommand&);

    const ZoneId& zone() const { return m_zone; }
    const RequestTracker& requests() const { return m_data.requests; }
    const ZoneJob* findJob(JobNumber) const;
    /// Jobs that are neither ended nor returned, ascending.
    const std::set<JobNumber>& openJobs() const { return m_openJobs; }
    /// Cell jobs that are ended or returned and not yet removed, ascending.
    const std::set<JobNumber>& reportableJobs() const { return m_reportable; }
    const ChangeFeed& changes() const { return m_changes; }

    /// All workers; entries with an empty id are unused.
    const std::vector<WorkerRecord>& workers() const { return m_data.workers; }
    /// Index into workers(), empty if unknown.
    std::optional<uint32_t> findWorker(const WorkerId&) const;
    /// The task of an assignment that has not ended.
    std::optional<TaskKey> findAssignment(uint64_t epoch) const;
    /// True if this assignment epoch has been issued in this state, even if the assignment has ended. Epochs increase,
    /// so a higher one comes from a later leader.
    bool isKnownEpoch(uint64_t epoch) const { return epoch < m_data.nextEpoch; }
    /// Assignments that have not ended, by epoch.
    const std::unordered_map<uint64_t, TaskKey>& assignments() const { return m_assignments; }

    /// Table version whose cut-off rules are recorded.
    uint64_t cutOffVersion() const { return m_data.cutOffVersion; }
    /// Logical time: the highest timestamp of all commands so far.
    UnixMs now() const { return m_data.nowMs; }
    /// NotFound: no such job here, or past its retention time.
    Expected<JobStatus> jobStatus(const JobId&) const;

private:
    struct Data {
        std::map<JobNumber, ZoneJob> jobs;
        std::vector<WorkerRecord> workers;
        RequestTracker requests;
        uint32_t nextJob { 1 };
        uint64_t nextEpoch { 1 };
        uint64_t cutOffVersion { 0 };
        // Highest cell revision at which jobs were superseded or removed.
        uint64_t cellRevision { 0 };
        UnixMs nowMs { 0 };
    };

    CommandResult run(const SubmitZoneJob&);
    CommandResult run(const AdmitCellJobs&);
    CommandResult run(const RecordWorkers&);
    CommandResult run(const ForgetWorkers&);
    CommandResult run(const PlaceTasks&);
    CommandResult run(const EndTasks&);
    CommandResult run(const CancelZoneJobs&);
    CommandResult run(const SupersedeJobs&);
    CommandResult run(const ReturnJobs&);
    CommandResult run(const RefuseJobs&);
    CommandResult run(const ForgetCellJobs&);
    CommandResult run(const RecordCutOff&);
    CommandResult run(const StartRequest&);
    CommandResult run(const EndRequest&);
    CommandResult run(const AbandonRequests&);
    CommandResult run(const Expire&);

    void advanceTo(UnixMs atMs);
    ZoneJob* findMutable(JobNumber);
    bool anyTaskMayHaveRun(const ZoneJob&) const;
    void addJob(ZoneJob);
    void eraseJob(JobNumber);
    uint32_t addWorker(const WorkerId&);
    void endTasksAsLost(uint32_t worker);
    void setPhase(ZoneJob&, ZoneJobPhase, std::string reason);
    void setTaskPhase(ZoneJob&, TaskRecord&, TaskPhase);
    void placeTasksOfJob(const PlaceTasks&, size_t first, size_t end, std::vector<uint64_t>& epochs);
    bool canPlace(const ZoneJob&, const PlaceTasks::Entry&) const;
    uint64_t place(ZoneJob&, const PlaceTasks::Entry&);
    void endAssignment(ZoneJob&, uint32_t taskIndex, TaskPhase);
    uint64_t endTask(const EndTasks::Entry&);
    static TaskPhase phaseAfter(ZoneJob&, TaskRecord&, TaskResult);
    void finishIfIdle(ZoneJob&);
    void finish(ZoneJob&, Outcome);
    void rebuildIndexes();

    ZoneId m_zone;
    Data m_data;
    // Indexes derived from m_data; not in snapshots.
    std::set<JobNumber> m_openJobs;
    std::set<JobNumber> m_reportable;
    std::unordered_map<WorkerId, uint32_t> m_workerIndex;
    std::unordered_map<uint64_t, TaskKey> m_assignments;
    ChangeFeed m_changes;
};

} // namespace hickoryknot

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "workflow/MessageSender.h"
#include "workflow/OrganisationUsage.h"
#include "workflow/ResendBudget.h"
#include "workflow/ResponseTimes.h"
#include "workflow/SchedulerSettings.h"
#include "workflow/TrackedRun.h"
#include "workflow/WorkerRequests.h"
#include "workflow/WorkerTracker.h"
#include "workflow/WorkflowCommand.h"

namespace hickoryknot::workflow {

class WorkflowState;
struct Queue;

/// Controls the recorded runs on their workers: sends start and stop requests until they are acknowledged, polls
/// workers, renews their leases and detects ended runs. A run keeps its capacity allocated until its worker reports the
/// end, a stop of that run is confirmed, the worker's incarnation has ended, or its lease has certainly expired. Soft
/// state of one leadership.
class RunController {
public:
    RunController(const SchedulerSettings& settings, const WorkflowState& state, WorkerTracker& workerTracker)
        : m_settings(settings)
        , m_state(state)
        , m_workerTracker(workerTracker)
    {
    }

    /// Takes over all recorded runs. An earlier leader may have renewed their leases until `now`.
    void takeOverRuns(uint64_t fence, TimePoint now);
    void clear();

    /// Adds a placement that is about to be proposed to the log; its capacity is allocated immediately.
    void addProposedRun(
        const RunRef&, const WorkerIncarnation&, const StepSpec&, uint32_t priority, std::string permissionToken);
    /// Sets the expected run time of a run, which says when its capacity is expected to be free.
    void setLearnedRunTime(const RunRef&, Duration);
    /// The placement was applied to the state, or was skipped as no longer applicable.
    void onPlacementCommitted(const RunRef&, bool isRecorded, TimePoint now);

    /// The end of the run is committed; releases its capacity.
    void onEndCommitted(const RunRef& run) { remove(run); }

    /// Stops a run that is no longer wanted.
    void requestStop(const RunRef&, TimePoint now);

    /// Responses of workers. `sentAt` is a time before the request was sent.
    void onStartResponse(const StartRunRequest&, const RunResponse&, TimePoint sentAt, TimePoint now);
    void onStopResponse(const StopRunRequest&, const RunResponse&, TimePoint sentAt, TimePoint now);
    void onPollResponse(const PollRequest&, const Expected<PollResponse>&, TimePoint sentAt, TimePoint now);

    /// The worker announced that this incarnation is shutting down.
    void onWorkerLeaving(const WorkerIncarnation&, TimePoint now);

    struct Requests {
        std::vector<StartRunRequest> starts;
        std::vector<StopRunRequest> stops;
        std::vector<PollRequest> polls;
    };
    /// Appends the requests that are due.
    void advance(TimePoint now, Requests&);

    /// Returns and clears the ends that must be proposed to the log.
    std::vector<EndRuns::Entry> drainEnds();
    /// Returns and clears the workflows whose first start has been confirmed and must be recorded.
    std::vector<WorkflowId> drainStartedWorkflows();
    /// Highest end number received from each incarnation. Once these ends are committed, they may be confirmed to the
    /// workers.
    struct ReceivedEnds {
        std::vector<std::pair<WorkerIncarnation, uint64_t>> ends;
    };
    /// Pass the result to onEndsCommitted() once the ends received so far are committed.
    ReceivedEnds receivedEnds() const;
    void onEndsCommitted(const ReceivedEnds&);

    struct MovedRun {
        RunRef run;
        WorkerIncarnation to;
        bool isStopped { false };
    };
    /// Returns and clears the runs that may be on a later incarnation than before.
    std::vector<MovedRun> drainMovedRuns();
    /// Starts whose acknowledgement did not show, when it arrived, which incarnation executed them.
    uint64_t unattributedStarts() const { return m_unattributedStarts; }
    /// Copies of overdue starts, stops and polls.
    uint64_t copiesSent() const { return m_resendBudget.taken(); }

    const TrackedRun* find(const RunRef&) const;
    const std::map<RunRef, TrackedRun>& runs() const { return m_runs; }
    /// Runs that may occupy this incarnation.
    std::vector<const TrackedRun*> runsOn(const WorkerIncarnation&) const;
    size_t size() const { return m_runs.size(); }
    /// What the tracked runs take of their organisations' limits, from the proposal of each placement until the end of
    /// the run is committed.
    const OrganisationUsage& organisationUsage() const { return m_organisationUsage; }

private:
    struct OrphanRun {
        WorkerIncarnation incarnation;
        bool isInFlight { false };
        bool isConfirmed { false };
        TimePoint nextAttemptAt;
    };
    struct Gang {
        std::set<RunRef> members;
        size_t confirmed { 0 };
        TimePoint firstSentAt;
        bool hasFirstSent { false };
        bool isStopping { false };
        bool hasEnded { false };
    };
    using GangKey = std::pair<StepRef, uint32_t>;

    TrackedRun& add(const RunRef&, const WorkerIncarnation&, const StepSpec&);
    void remove(const RunRef&);
    /// Allocates the capacity that the run takes on its current incarnation.
    void allocateCapacity(TrackedRun&);
    /// Releases the capacity that the run takes on its current incarnation.
    void releaseCapacity(const TrackedRun&);
    void finish(TrackedRun&, RunOutcome, std::string checkpoint, TimePoint now);
    void confirm(TrackedRun&, TimePoint now);
    void onStartRejected(TrackedRun&, TimePoint now);
    void stopGang(const TrackedRun&, TimePoint now);
    /// A start of the run that was sent by `now` stays without an acknowledgement.
    void recordUnacknowledgedStart(TrackedRun&, TimePoint now);
    /// Evaluates who sent a response to a start or stop request for this incarnation.
    MessageSender onRunResponse(const WorkerIncarnation&, const RunResponse&, TimePoint sentAt, TimePoint now);
    /// The start was executed, by the addressed incarnation or a later one.
    void onStartExecuted(TrackedRun&, MessageSender, TimePoint now);
    /// True if nothing proves yet that the run is on its incarnation and not on a later one.
    bool isUnattributed(const TrackedRun&, const TrackedWorker&) const;
    /// True if the run may be on an incarnation after this one, or may still get there.
    bool mayRunOnNextIncarnation(const TrackedRun&, const TrackedWorker&, TimePoint now) const;
    /// True if a later incarnation has no ends that a poll of this one could confirm by mistake.
    bool mayConfirmEnds(const WorkerIncarnation&, const TrackedWorker&, TimePoint now) const;
    void moveToNextIncarnation(TrackedRun&, TrackedWorker& next, TimePoint now);
    void checkGangs(TimePoint now);
    void advanceRun(TrackedRun&, TimePoint now, Requests&);
    /// True if a start of the run may be sent without hearing from its worker first.
    static bool hasSignOfLife(const TrackedRun&, const TrackedWorker&, TimePoint now);
    void probe(TrackedWorker&, TimePoint now, Requests&);
    /// True if a start or stop may be sent now: the first, a retry, or a copy of an overdue one.
    bool maySendNow(const TrackedRun&, const TrackedWorker&, TimePoint now);
    void onResponseTime(Duration, TimePoint now);
    void advanceWorker(const WorkerIncarnation&, TrackedWorker&, TimePoint now, Requests&);
    void advanceOrphans(TimePoint now, Requests&);
    static RunOutcome outcomeOnLostWorker(const TrackedRun&, const TrackedWorker&);
    void endLostRuns(const WorkerIncarnation&, const TrackedWorker&, bool isIncarnationOver, TimePoint now);
    void handleReportedRuns(TrackedWorker&, const PollResponse&, TimePoint sentAt, TimePoint now);
    void evaluateUnreportedRuns(TrackedWorker&, const std::set<RunRef>& reported, TimePoint sentAt, TimePoint now);
    void onWorkerContact(TrackedWorker&, TimePoint now);
    /// A request that was sent after `sentAt` failed. It says nothing about a worker that has responded to later ones.
    void onCallFailure(TrackedWorker&, TimePoint sentAt, TimePoint now);
    void backOff(TrackedWorker&, TimePoint now);
    std::optional<WorkerClockMs> extendLease(TrackedWorker&, TimePoint now);
    const StepSpec* findSpec(const RunRef&) const;
    const Queue* findQueue(const RunRef&) const;

    const SchedulerSettings& m_settings;
    const WorkflowState& m_state;
    WorkerTracker& m_workerTracker;
    uint64_t m_fence { 0 };
    std::map<RunRef, TrackedRun> m_runs;
    OrganisationUsage m_organisationUsage; // Of m_runs.
    std::map<WorkerIncarnation, std::map<RunRef, TrackedRun*>> m_runsByIncarnation; // Points into m_runs.
    /// Runs that each call of advance() must check.
    std::set<RunRef> m_unsettledRuns;
    std::map<RunRef, OrphanRun> m_orphans;
    std::map<GangKey, Gang> m_gangs;
    std::vector<EndRuns::Entry> m_ends;
    std::set<WorkflowId> m_startedWorkflows;
    std::vector<MovedRun> m_movedRuns;
    ResponseTimes m_responseTimes;
    ResendBudget m_resendBudget;
    uint64_t m_unattributedStarts { 0 };
};

} // namespace hickoryknot::workflow

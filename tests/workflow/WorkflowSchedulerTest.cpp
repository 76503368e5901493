#include <cppunit/extensions/HelperMacros.h>

#include "NullObserver.h"
#include "WorkflowSamples.h"
#include "workflow/WorkflowScheduler.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

class WorkflowSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkflowSchedulerTest);
    CPPUNIT_TEST(workflowIsPendingUntilAWorkerHasExecutedAStart);
    CPPUNIT_TEST(startedWorkflowIsNotPendingAfterALeaderChange);
    CPPUNIT_TEST(permissionIsRequestedWhileTheAcceptanceIsCommitted);
    CPPUNIT_TEST(reportOfAnotherInstallationChangesNothing);
    CPPUNIT_TEST(incarnationWithAnEarlierStartTimeIsRecorded);
    CPPUNIT_TEST(workersOfARemovedPoolStillReport);
    CPPUNIT_TEST(cancellationThatOvertakesTheSubmissionHolds);
    CPPUNIT_TEST(cancellationOfAnEndedWorkflowKeepsItsRecord);
    CPPUNIT_TEST(olderReportDoesNotReturnALeavingWorkerToTheNextLeader);
    CPPUNIT_TEST(workOfARemovedQueueStillAsksForPermission);
    CPPUNIT_TEST(workOfARemovedQueueAsksForPermissionAfterALeaderChange);
    CPPUNIT_TEST(workOfARemovedQueueKeepsItsPriority);
    CPPUNIT_TEST(workOfAReplacedQueueStillCountsAsPending);
    CPPUNIT_TEST(queueThatIsBeingRemovedAcceptsNothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr WallTime epoch { std::chrono::hours(24 * 365 * 50) };

    SchedulerSettings m_settings;
    NullObserver m_observer;
    WorkflowState m_state;
    WorkflowScheduler m_scheduler { m_settings, m_state, m_observer };
    TimePoint m_now { 100s };
    const QueueName m_queue { "q" };

    void apply(std::vector<WorkflowCommand> commands) { m_state.apply(1, encodeCommands(commands)); }

    // Commits what is due and returns the requests.
    RunController::Requests advance()
    {
        auto output = m_scheduler.advance(m_now, epoch);
        if (output.batch) {
            apply(output.commands);
            m_scheduler.onBatchCommitted(output.batch, m_now);
        }
        return std::move(output.requests);
    }

    // Starts a leadership with one usable worker.
    void begin(const QueueTable& table)
    {
        apply({ ReplaceTable { table } });
        m_scheduler.becomeLeader(1, m_now, epoch);
        reportWorker();
    }

    static WorkerReport report(uint64_t sequence, bool isDraining = false)
    {
        WorkerReport result;
        result.profile = samples::profile("w");
        result.profile.isDraining = isDraining;
        result.sequence = sequence;
        result.clock = 1000;
        return result;
    }

    // Makes the worker usable.
    void reportWorker(const WorkerReport& report)
    {
        m_scheduler.onWorkerReport(report, m_now);
        const auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        m_scheduler.onPollResponse(
            polls.front(), PollResponse { .clock = 1000, .startTimeMs = 1, .running = {}, .ended = {} }, m_now, m_now);
    }
    void reportWorker() { reportWorker(report(1)); }

    // Starts a leadership with one accepted workflow, and returns the start of its only task.
    StartRunRequest placeTask()
    {
        begin(samples::table());
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        advance();
        const auto starts = advance().starts;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, starts.size());
        return starts.front();
    }

    void respond(const StartRunRequest& request, WorkerRequestStatus status)
    {
        m_scheduler.onStartResponse(
            request, { .status = status, .clock = 1000, .startTimeMs = request.incarnation.startTimeMs }, m_now, m_now);
        // The record of a start may wait for other commands, and counts in the cycle after its commit.
        m_now += 1s;
        advance();
        advance();
    }

    // Guards against a queue that says that nothing waits while its starts get no response from cut-off workers.
    void workflowIsPendingUntilAWorkerHasExecutedAStart()
    {
        const auto request = placeTask();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_scheduler.pendingWorkflows(m_queue));
        CPPUNIT_ASSERT(!m_state.find(samples::firstId)->hasStarted);
        respond(request, WorkerRequestStatus::NoResponse);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_scheduler.pendingWorkflows(m_queue));
        respond(request, WorkerRequestStatus::Done);
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, m_scheduler.pendingWorkflows(m_queue));
        CPPUNIT_ASSERT(m_state.find(samples::firstId)->hasStarted);
    }

    // Guards against running workflows that wait again for a moment whenever the leader changes.
    void startedWorkflowIsNotPendingAfterALeaderChange()
    {
        respond(placeTask(), WorkerRequestStatus::Done);
        m_scheduler.becomeLeader(2, m_now, epoch);
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, m_scheduler.pendingWorkflows(m_queue));
    }

    // Guards against short work that is late because it waits for its acceptance and for its permission one after the
    // other.
    void permissionIsRequestedWhileTheAcceptanceIsCommitted()
    {
        auto table = samples::table();
        table.queues[0].permission = { .isNeeded = true, .perCall = 10ms, .perWorker = 100us, .validity = 2s };
        begin(table);
        const auto command = samples::accept(samples::firstId, { samples::step(1) });
        m_scheduler.onAcceptanceProposed(command, m_now);
        auto output = m_scheduler.advance(m_now, epoch);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, output.permissionRequests.size());
        CPPUNIT_ASSERT(output.commands.size() < 2); // The worker's profile; nothing is placed.
        apply({ command });
        // The response to the early request is used, and there is no second one.
        m_scheduler.onPermissionResponse(output.permissionRequests.front(),
            PermissionResponse { .granted = { { .worker = WorkerId("w"), .token = "t" } }, .validity = {} }, m_now);
        advance();
        CPPUNIT_ASSERT_EQUAL(std::string("t"), advance().starts.at(0).permissionToken);
    }

    static WorkerReport reportOf(const char* worker, int64_t startTimeMs, const char* pool)
    {
        WorkerReport report;
        report.profile = samples::profile(worker, startTimeMs);
        report.profile.incarnation.address = "10.9.9.9:1";
        report.profile.pool = PoolName(pool);
        report.sequence = 1;
        return report;
    }

    // Guards against tasks that run on two workers: a report of another installation with the id of a worker, and a
    // later start, made the worker's runs count as lost.
    void reportOfAnotherInstallationChangesNothing()
    {
        CPPUNIT_ASSERT(m_scheduler.onWorkerReport(reportOf("w", 2, "other"), m_now));
        m_scheduler.becomeLeader(1, m_now, epoch);
        // Without a table, nothing tells whether the pool is one of this installation.
        CPPUNIT_ASSERT(
            m_scheduler.onWorkerReport(reportOf("w", 2, "other"), m_now).error().code == ErrorCode::Unavailable);
        respond(placeTask(), WorkerRequestStatus::Done);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_scheduler.runController().size());
        CPPUNIT_ASSERT(
            m_scheduler.onWorkerReport(reportOf("w", 2, "other"), m_now).error().code == ErrorCode::InvalidArgument);
        advance();
        advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_scheduler.runController().size());
        CPPUNIT_ASSERT_EQUAL(int64_t { 1 }, m_state.workers().at(WorkerId("w")).incarnation.startTimeMs);
        // A restart of the worker itself ends its runs as before, once the new incarnation has responded.
        restartWorker(2);
        CPPUNIT_ASSERT_EQUAL(int64_t { 2 }, m_state.workers().at(WorkerId("w")).incarnation.startTimeMs);
    }

    // The worker starts again; the record changes once its new incarnation has responded to a poll.
    void restartWorker(int64_t startTimeMs)
    {
        const int64_t before = m_state.workers().at(WorkerId("w")).incarnation.startTimeMs;
        CPPUNIT_ASSERT(m_scheduler.onWorkerReport(reportOf("w", startTimeMs, "pool"), m_now));
        for (const auto& poll : advance().polls) {
            CPPUNIT_ASSERT_EQUAL(before, m_state.workers().at(WorkerId("w")).incarnation.startTimeMs);
            if (poll.incarnation.startTimeMs == startTimeMs)
                m_scheduler.onPollResponse(poll,
                    PollResponse { .clock = 10, .startTimeMs = startTimeMs, .running = {}, .ended = {} }, m_now, m_now);
        }
        advance();
        advance();
    }

    // Guards against a record that keeps an incarnation that has ended because its start time is later: the next leader
    // would take that one for the latest.
    void incarnationWithAnEarlierStartTimeIsRecorded()
    {
        begin(samples::table());
        advance();
        CPPUNIT_ASSERT_EQUAL(int64_t { 1 }, m_state.workers().at(WorkerId("w")).incarnation.startTimeMs);
        restartWorker(0);
        CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, m_state.workers().at(WorkerId("w")).incarnation.startTimeMs);
        m_scheduler.becomeLeader(2, m_now, epoch);
        const auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, polls[0].incarnation.startTimeMs);
    }

    // Guards against workers that cannot announce their shutdown, or report to a new leader, once their pool is
    // removed.
    void workersOfARemovedPoolStillReport()
    {
        begin(samples::table());
        advance();
        QueueTable table = samples::table(2);
        table.pools[0].name = PoolName("pool2");
        for (auto& queue : table.queues)
            queue.pool = table.pools[0].name;
        apply({ ReplaceTable { table } });
        CPPUNIT_ASSERT(m_scheduler.onWorkerReport(reportOf("w", 1, "pool"), m_now));
        CPPUNIT_ASSERT(!m_scheduler.onWorkerReport(reportOf("v", 1, "pool"), m_now));
        CPPUNIT_ASSERT(m_scheduler.onWorkerReport(reportOf("v", 1, "pool2"), m_now));
    }

    bool isCancelledEarly(const WorkflowId& id, const char* organisation = "")
    {
        return m_scheduler.wasCancelledEarly(id, OrganisationName(organisation), m_queue);
    }
    void cancelUnknown(const WorkflowId& id, const char* organisation = "")
    {
        apply({ CancelUnknownWorkflow { .id = id, .queue = m_queue, .organisation = OrganisationName(organisation) } });
        advance();
    }

    // Guards against a workflow that runs although its caller has cancelled it: the submission lay unread at a host
    // that stood still, and the cancellation came first, through another host. It holds for as long as a submission can
    // lie anywhere, under each leader.
    void cancellationThatOvertakesTheSubmissionHolds()
    {
        begin(samples::table());
        CPPUNIT_ASSERT(!isCancelledEarly(samples::firstId));
        cancelUnknown(samples::firstId);
        m_now += 5s;
        cancelUnknown(samples::secondId);
        m_now += m_settings.lateSubmissionTime - 5s;
        advance();
        CPPUNIT_ASSERT(isCancelledEarly(samples::firstId));
        // A new leader does not know how old the records are, and keeps them for the whole time.
        m_scheduler.becomeLeader(2, m_now, epoch);
        m_now += m_settings.lateSubmissionTime;
        advance();
        CPPUNIT_ASSERT(isCancelledEarly(samples::firstId) && isCancelledEarly(samples::secondId));
        // A caller that cancels again is told that it holds from then on.
        CPPUNIT_ASSERT(m_scheduler.keepEarlyCancellation({ samples::secondId, {} }, m_now));
        m_now += 1ms;
        advance();
        // Ids may be used again later, and nothing is kept without end.
        CPPUNIT_ASSERT(!isCancelledEarly(samples::firstId) && isCancelledEarly(samples::secondId));
        CPPUNIT_ASSERT(!m_scheduler.keepEarlyCancellation({ samples::firstId, {} }, m_now));
        m_now += m_settings.lateSubmissionTime;
        advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, m_state.earlyCancellations().size());
    }

    // Guards against a late submission that runs a workflow again whose record was removed right after the cancellation
    // of the ended workflow had been acknowledged.
    void cancellationOfAnEndedWorkflowKeepsItsRecord()
    {
        begin(samples::table());
        apply({ samples::accept(samples::firstId, { samples::step(1) }), CancelWorkflow { samples::firstId } });
        advance();
        m_now += m_settings.lateSubmissionTime;
        advance();
        CPPUNIT_ASSERT(m_scheduler.keepEndedWorkflow(samples::firstId, m_now));
        m_now += m_settings.lateSubmissionTime;
        advance();
        CPPUNIT_ASSERT(m_state.find(samples::firstId));
        m_now += 1ms;
        advance();
        CPPUNIT_ASSERT(!m_state.find(samples::firstId));
        CPPUNIT_ASSERT(!m_scheduler.keepEndedWorkflow(samples::firstId, m_now));
    }

    // Guards against starts on a worker that was told that its leave-taking is known: one of its earlier reports lay at
    // a host that was paused, and reached the next leader, who did not know that it was older.
    void olderReportDoesNotReturnALeavingWorkerToTheNextLeader()
    {
        begin(samples::table());
        m_scheduler.onWorkerReport(report(5, true), m_now);
        advance();
        CPPUNIT_ASSERT(m_scheduler.isRecorded(report(5, true)));
        // A later report that changes nothing needs no record.
        CPPUNIT_ASSERT(m_scheduler.isRecorded(report(6, true)));
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        m_scheduler.becomeLeader(2, m_now, epoch);
        reportWorker(report(4));
        CPPUNIT_ASSERT(advance().starts.empty() && advance().starts.empty());
        CPPUNIT_ASSERT(m_state.workers().begin()->second.isDraining);
        // One that stays after all says so with a later report.
        m_scheduler.onWorkerReport(report(7), m_now);
        advance();
        CPPUNIT_ASSERT(!m_state.workers().begin()->second.isDraining);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, advance().starts.size());
    }

    // The table in which another queue has the place of "q".
    static QueueTable tableWithReplacedQueue(const QueueTable& table)
    {
        QueueTable result = table;
        ++result.version;
        result.queues[0].name = QueueName("q2");
        return result;
    }

    static QueueTable tableWithPermission()
    {
        QueueTable table = samples::table();
        table.queues[0].permission = { .isNeeded = true, .perCall = 10ms, .perWorker = 100us, .validity = 2s };
        return table;
    }

    // Answers the only due permission request and expects that the start carries the token.
    void checkStartWithToken()
    {
        auto output = m_scheduler.advance(m_now, epoch);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, output.permissionRequests.size());
        m_scheduler.onPermissionResponse(output.permissionRequests.front(),
            PermissionResponse { .granted = { { .worker = WorkerId("w"), .token = "t" } }, .validity = {} }, m_now);
        apply(output.commands);
        m_scheduler.onBatchCommitted(output.batch, m_now);
        advance();
        CPPUNIT_ASSERT_EQUAL(std::string("t"), advance().starts.at(0).permissionToken);
    }

    // Guards against workflows that stand still once their queue is replaced under another name: their starts carried
    // no token and were rejected, 260 times a second.
    void workOfARemovedQueueStillAsksForPermission()
    {
        begin(tableWithPermission());
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        apply({ ReplaceTable { tableWithReplacedQueue(tableWithPermission()) } });
        checkStartWithToken();
    }

    // Guards against the same with a leader that has never had the queue in its table.
    void workOfARemovedQueueAsksForPermissionAfterALeaderChange()
    {
        const QueueTable table = tableWithPermission();
        apply({ ReplaceTable { table }, samples::accept(samples::firstId, { samples::step(1) }) });
        apply({ ReplaceTable { tableWithReplacedQueue(table) } });
        m_scheduler.becomeLeader(1, m_now, epoch);
        reportWorker();
        checkStartWithToken();
    }

    // Guards against work of a removed queue that comes before all other work.
    void workOfARemovedQueueKeepsItsPriority()
    {
        QueueTable table = samples::table();
        table.queues[0].priority = 1;
        table.queues[1].priority = 0;
        begin(table);
        // Each needs the whole worker.
        apply({ samples::accept(samples::firstId, { samples::step(1, 4000) }),
            samples::accept(samples::secondId, { samples::step(1, 4000) }, "low") });
        apply({ ReplaceTable { tableWithReplacedQueue(table) } });
        advance();
        const auto starts = advance().starts;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, starts.size());
        CPPUNIT_ASSERT(starts[0].run.task.step.workflow == samples::secondId);
    }

    // Guards against a queue that says that nothing waits because the waiting work came before its row was replaced.
    void workOfAReplacedQueueStillCountsAsPending()
    {
        begin(samples::table());
        apply({ samples::accept(samples::firstId, { samples::step(1, 9000) }),
            samples::accept(samples::secondId, { samples::step(1, 9000) }, "low") });
        apply({ ReplaceTable { tableWithReplacedQueue(samples::table()) } });
        advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_scheduler.pendingWorkflows(QueueName("q2")));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_scheduler.pendingWorkflows(QueueName("low")));
        const auto explanation = m_scheduler.explain(samples::firstId, m_now, epoch);
        CPPUNIT_ASSERT_MESSAGE(explanation, explanation.find("the queue was removed since") != std::string::npos);
    }

    // Guards against a workflow that is accepted after the removal of its queue was committed, and whose queue is
    // therefore unknown.
    void queueThatIsBeingRemovedAcceptsNothing()
    {
        begin(samples::table());
        const QueueTable next = tableWithReplacedQueue(samples::table());
        CPPUNIT_ASSERT(!m_scheduler.isQueueBeingRemoved(m_queue));
        m_scheduler.onTableProposed(next);
        CPPUNIT_ASSERT(m_scheduler.isQueueBeingRemoved(m_queue));
        CPPUNIT_ASSERT(!m_scheduler.isQueueBeingRemoved(QueueName("low")));
        // An older table that arrives late changes nothing.
        m_scheduler.onTableProposed(samples::table());
        CPPUNIT_ASSERT(m_scheduler.isQueueBeingRemoved(m_queue));
        // A newer one may keep the queue.
        QueueTable last = samples::table(next.version + 1);
        m_scheduler.onTableProposed(last);
        CPPUNIT_ASSERT(!m_scheduler.isQueueBeingRemoved(m_queue));
        // A later leader knows nothing of proposals that were not committed.
        m_scheduler.onTableProposed(tableWithReplacedQueue(last));
        m_scheduler.becomeLeader(2, m_now, epoch);
        CPPUNIT_ASSERT(!m_scheduler.isQueueBeingRemoved(m_queue));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkflowSchedulerTest);

} // namespace hickoryknot::workflow

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
        WorkerReport report;
        report.profile = samples::profile("w");
        report.sequence = 1;
        report.clock = 1000;
        m_scheduler.onWorkerReport(report, m_now);
        const auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        m_scheduler.onPollResponse(
            polls.front(), PollResponse { .clock = 1000, .startTimeMs = 1, .running = {}, .ended = {} }, m_now, m_now);
    }

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
            request, { .status = status, .clock = 1000, .startTimeMs = request.incarnation.startTimeMs }, m_now);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkflowSchedulerTest);

} // namespace hickoryknot::workflow

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

#include "WorkflowSamples.h"
#include "workflow/RunController.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

class RunControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunControllerTest);
    CPPUNIT_TEST(sendsOnlyCommittedRuns);
    CPPUNIT_TEST(pollThatOvertookTheStartProvesNothing);
    CPPUNIT_TEST(laterPollWithoutTheRunEndsItAsLost);
    CPPUNIT_TEST(unacknowledgedStartKeepsItsCapacity);
    CPPUNIT_TEST(rejectedRetryOfUnacknowledgedStartNeedsAStop);
    CPPUNIT_TEST(rejectionOfTheOnlyStartReleasesTheCapacity);
    CPPUNIT_TEST(endsAreConfirmedOnceCommitted);
    CPPUNIT_TEST(pollAfterAFailedCallConfirmsNoEnds);
    CPPUNIT_TEST(pollConfirmsNoEndsWhileAStartIsUnattributed);
    CPPUNIT_TEST(workerThatHasJustRespondedGetsItsEndsConfirmed);
    CPPUNIT_TEST(silentWorkerLosesRunsOnlyAfterItsLease);
    CPPUNIT_TEST(lastingTaskOfASilentWorkerIsFreeWithinItsBound);
    CPPUNIT_TEST(failedPollsDoNotRenewTheLease);
    CPPUNIT_TEST(startThatCannotBeSentIsAbandoned);
    CPPUNIT_TEST(retriedStartsDoNotRenewTheLease);
    CPPUNIT_TEST(newIncarnationEndsTheOldOne);
    CPPUNIT_TEST(supersededIncarnationGetsNoWork);
    CPPUNIT_TEST(endAfterAnAnnouncedShutdownIsNoCrash);
    CPPUNIT_TEST(unacknowledgedStartIsStoppedOnTheNextIncarnation);
    CPPUNIT_TEST(startExecutedByTheNextIncarnationKeepsItsCapacity);
    CPPUNIT_TEST(startTakenByAnUnknownIncarnationStaysThere);
    CPPUNIT_TEST(unattributedRunThatIsNotOnTheNextIncarnationIsLost);
    CPPUNIT_TEST(startOfAKnownIncarnationIsLostWithIt);
    CPPUNIT_TEST(laterPollAttributesAStart);
    CPPUNIT_TEST(workerInDoubtIsPolledBeforeItGetsMoreWork);
    CPPUNIT_TEST(unattributedRunOutlivesTheLeaseOfASilentWorker);
    CPPUNIT_TEST(overdueStartIsSentAgain);
    CPPUNIT_TEST(rejectedCopyOfAnOverdueStartNeedsAStop);
    CPPUNIT_TEST(copyThatCannotBeSentSaysNothingOfTheFirst);
    CPPUNIT_TEST(copiesToASilentWorkerAreBounded);
    CPPUNIT_TEST(overduePollIsFollowedByAProbe);
    CPPUNIT_TEST(endOnTheNextIncarnationCounts);
    CPPUNIT_TEST(pollsStopAfterAResponseOfAnotherIncarnation);
    CPPUNIT_TEST(startWithPermissionIsStoppedOnTheNextIncarnation);
    CPPUNIT_TEST(unacknowledgedStartOutlivesTheLeaseOfASilentWorker);
    CPPUNIT_TEST(startWithoutATokenNeedsASignOfLife);
    CPPUNIT_TEST(taskOfAVanishedWorkerIsPlacedElsewhere);
    CPPUNIT_TEST(permissionBoundsALateStart);
    CPPUNIT_TEST(lateReportOfAnOldIncarnationIsIgnored);
    CPPUNIT_TEST(workerReplacedAtItsAddressLosesItsRuns);
    CPPUNIT_TEST(startRejectedByAnotherWorkerEndsTheIncarnation);
    CPPUNIT_TEST(pollHeldBackByALeaderInDoubtSaysNothing);
    CPPUNIT_TEST(incarnationWithAnEarlierStartTimeTakesOver);
    CPPUNIT_TEST(responseOfAnEarlierStartTimeEndsTheKnownIncarnation);
    CPPUNIT_TEST(lateReportWithALaterStartTimeEndsNothing);
    CPPUNIT_TEST(firstPollDecidesInheritedRuns);
    CPPUNIT_TEST(inheritedRunIsKeptUntilTheLeaseOfASilentWorkerExpires);
    CPPUNIT_TEST(runMissingFromACutListIsKept);
    CPPUNIT_TEST(cutListDecidesNoInheritedRuns);
    CPPUNIT_TEST(runStoppedOnTheNextIncarnationIsKeptAfterACutList);
    CPPUNIT_TEST(restOfACutListIsPolledWithoutWaiting);
    CPPUNIT_TEST(orphanRunIsStopped);
    CPPUNIT_TEST(incompleteGangIsStoppedInTime);
    CPPUNIT_TEST(rejectedMemberStopsTheGang);
    CPPUNIT_TEST(responseCancelsAnAnnouncedShutdown);
    CPPUNIT_TEST(unresponsiveWorkerGetsNoWorkUntilItResponds);
    CPPUNIT_TEST(startIsTakenBackWhenTheCapacityShrinks);
    CPPUNIT_TEST(retryOfAnUnacknowledgedStartStopsWhenTheCapacityShrinks);
    CPPUNIT_TEST(workerWithoutHeartbeatsGetsNoStarts);
    CPPUNIT_TEST(delayedHeartbeatDoesNotProveTheCapacity);
    CPPUNIT_TEST(capacityAfterTakeoverCountsWorkersThatHaveYetToReport);
    CPPUNIT_TEST_SUITE_END();

    SchedulerSettings m_settings;
    WorkflowState m_state;
    WorkerTracker m_workerTracker { m_settings };
    RunController m_runController { m_settings, m_state, m_workerTracker };
    TimePoint m_now { 100s };
    WorkerClockMs m_clock { 5000 };
    const RunRef m_run = samples::run(samples::firstId, 0, 0);
    static constexpr Duration tokenValidity = 2s;

    void apply(std::vector<WorkflowCommand> commands) { m_state.apply(1, encodeCommands(commands)); }

    void report(const char* worker, int64_t born = 1, int64_t millicores = 4000)
    {
        WorkerReport report;
        report.profile = samples::profile(worker, born, millicores);
        report.sequence = ++m_sequence;
        report.clock = m_clock + (m_now - TimePoint(100s)) / 1ms;
        m_workerTracker.applyReport(report, m_now);
    }

    // Starts a leadership with one worker and a workflow with one step of `count` tasks.
    void begin(uint32_t count = 1, bool isGang = false)
    {
        m_runController.takeOverRuns(7, m_now);
        report("w");
        auto step = samples::step(count);
        step.isGang = isGang;
        apply({ samples::accept(samples::firstId, { step }) });
    }

    void place(const RunRef& run, const char* worker = "w")
    {
        const auto& spec = m_state.find(samples::firstId)->spec.steps[0];
        m_runController.addProposedRun(run, samples::incarnation(worker), spec, 0, {});
        PlaceRuns command;
        command.incarnations = { samples::incarnation(worker) };
        command.entries = { { .run = run, .incarnationIndex = 0 } };
        apply({ command });
        m_runController.onPlacementCommitted(run, true, m_now);
    }

    RunController::Requests advance()
    {
        RunController::Requests requests;
        m_runController.advance(m_now, requests);
        return requests;
    }

    // Returns the only due start.
    StartRunRequest start()
    {
        auto requests = advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.starts.size());
        m_poll = requests.polls.empty() ? m_poll : requests.polls.front();
        return requests.starts.front();
    }

    void respond(const StartRunRequest& request, WorkerRequestStatus status)
    {
        m_runController.onStartResponse(request,
            { .status = status, .clock = m_clock, .startTimeMs = request.incarnation.startTimeMs }, m_now, m_now);
    }

    void poll(const PollRequest& request, TimePoint sentAt, std::vector<ReportedRun> running,
        std::vector<ReportedEnd> ended = {})
    {
        m_runController.onPollResponse(request,
            PollResponse { .clock = m_clock,
                .startTimeMs = request.incarnation.startTimeMs,
                .running = std::move(running),
                .ended = std::move(ended) },
            sentAt, m_now);
    }

    // A response that holds back further ends.
    void pollWithMoreEnds(const PollRequest& request, std::vector<ReportedEnd> ended)
    {
        m_runController.onPollResponse(request,
            PollResponse { .clock = m_clock,
                .startTimeMs = request.incarnation.startTimeMs,
                .running = {},
                .ended = std::move(ended),
                .hasMoreEnds = true },
            m_now, m_now);
    }

    // Starts a leadership with a step of two tasks whose starts are acknowledged, and returns the poll sent with them.
    PollRequest startBoth(const RunRef& second)
    {
        begin(2);
        place(m_run);
        place(second);
        const auto requests = advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, requests.starts.size());
        for (const auto& request : requests.starts)
            respond(request, WorkerRequestStatus::Done);
        return requests.polls.at(0);
    }

    // Commits the ends received so far.
    std::vector<EndRuns::Entry> commitEnds()
    {
        auto ends = m_runController.drainEnds();
        const auto received = m_runController.receivedEnds();
        for (const auto& end : ends)
            m_runController.onEndCommitted(end.run);
        m_runController.onEndsCommitted(received);
        return ends;
    }

    static ReportedEnd done(uint64_t number, const RunRef& run)
    {
        return { .number = number, .run = run, .outcome = RunOutcome::Done, .checkpoint = {} };
    }

    int64_t usedMillicores(const char* worker = "w")
    {
        return m_workerTracker.find(samples::incarnation(worker))->used.millicores.count();
    }

    uint64_t m_sequence { 0 };
    PollRequest m_poll;

    // Guards against a run that starts although its placement was not committed.
    void sendsOnlyCommittedRuns()
    {
        begin();
        m_runController.addProposedRun(m_run, samples::incarnation("w"), samples::step(1), 0, {});
        CPPUNIT_ASSERT(advance().starts.empty());
        CPPUNIT_ASSERT_EQUAL(int64_t { 1000 }, usedMillicores());
        m_runController.onPlacementCommitted(m_run, false, m_now);
        CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, usedMillicores());
        place(m_run);
        const auto request = start();
        CPPUNIT_ASSERT_EQUAL(uint64_t { 7 }, request.fence);
        CPPUNIT_ASSERT_EQUAL(m_clock + m_settings.maxLease / 1ms, request.leaseUntil);
    }

    // Guards against two runs of one task: a poll that reached the worker before the start does not list the run and
    // was taken as proof that it is gone. Occurs on links that reorder messages.
    void pollThatOvertookTheStartProvesNothing()
    {
        begin();
        place(m_run);
        const auto request = start();
        m_now += 5ms;
        const TimePoint pollSentAt = m_now;
        m_now += 20ms;
        respond(request, WorkerRequestStatus::Done);
        poll(m_poll, pollSentAt, {});
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
    }

    // Guards against a task that waits forever because its worker has lost it.
    void laterPollWithoutTheRunEndsItAsLost()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::Done);
        m_now += 5ms;
        poll(m_poll, m_now, {});
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::Lost);
    }

    // Guards against capacity that is allocated twice because a request is executed late.
    void unacknowledgedStartKeepsItsCapacity()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::NoResponse);
        m_now += 1s;
        poll(m_poll, m_now, {});
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(int64_t { 1000 }, usedMillicores());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, advance().starts.size());
    }

    // Guards against two runs of one task: the retried start was rejected, and the first one was executed later.
    void rejectedRetryOfUnacknowledgedStartNeedsAStop()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::NoResponse);
        m_now += 1s;
        const auto again = advance();
        respond(again.starts.front(), WorkerRequestStatus::NoPermission);
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        const auto stops = advance().stops;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        m_runController.onStopResponse(
            stops.front(), { .status = WorkerRequestStatus::Done, .clock = m_clock, .startTimeMs = 1 }, m_now, m_now);
        m_now += 1ms;
        poll(m_poll, m_now, {});
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::NeverStarted);
    }

    // Guards against a rejected task that waits for its worker instead of being placed elsewhere.
    void rejectionOfTheOnlyStartReleasesTheCapacity()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::NoCapacity);
        CPPUNIT_ASSERT(m_runController.drainEnds().front().outcome == RunOutcome::NeverStarted);
        m_runController.onEndCommitted(m_run);
        CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, usedMillicores());
    }

    // Guards against an end that the worker drops before it is committed.
    void endsAreConfirmedOnceCommitted()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::Done);
        m_now += 1ms;
        poll(m_poll, m_now, {}, { { .number = 3, .run = m_run, .outcome = RunOutcome::Done, .checkpoint = {} } });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_runController.drainEnds().size());
        const auto received = m_runController.receivedEnds();
        CPPUNIT_ASSERT(advance().polls.empty());
        m_runController.onEndCommitted(m_run);
        m_runController.onEndsCommitted(received);
        const auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, polls.front().lastRecordedEnd);
    }

    // Guards against a task that runs again after it was done: the worker had started again, and a poll to the
    // incarnation before confirmed its ends by that one's numbers. Found with seed 9 of the soak test.
    void pollAfterAFailedCallConfirmsNoEnds()
    {
        const auto second = samples::run(samples::firstId, 0, 1);
        const PollRequest firstPoll = startBoth(second);
        m_now += 1ms;
        poll(firstPoll, m_now, { { .run = second, .checkpoint = {} } }, { done(3, m_run) });
        commitEnds();
        auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, polls[0].lastRecordedEnd);
        m_runController.onPollResponse(polls[0], makeError(ErrorCode::Unavailable, "reset"), m_now, m_now);
        m_now += 1s;
        polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, polls[0].lastRecordedEnd);
        // The same incarnation has responded; it lists the end again, which counts once.
        poll(polls[0], m_now, { { .run = second, .checkpoint = {} } }, { done(3, m_run) });
        CPPUNIT_ASSERT(commitEnds().empty());
        polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, polls[0].lastRecordedEnd);
    }

    // Guards against the same without a failed call: the next incarnation has executed a start that was meant for the
    // one before, and a poll with the numbers of that one drops the end of the run. Found by the safety test.
    void pollConfirmsNoEndsWhileAStartIsUnattributed()
    {
        beginOnWorkerOfAge(10s, 2);
        respond(start(), WorkerRequestStatus::Done);
        m_now += 1ms;
        respondToPoll(m_poll, {}, { done(3, m_run) });
        commitEnds();
        auto requests = advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, requests.polls[0].lastRecordedEnd);
        respondToPoll(requests.polls[0], {});
        // The worker idles, and starts again without a word.
        const auto second = samples::run(samples::firstId, 0, 1);
        m_now += 1s;
        placeWithPermission(second);
        requests = advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.starts.size());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, requests.polls[0].lastRecordedEnd);
        acknowledge(requests.starts[0], m_now - 50ms);
        m_runController.onPollResponse(requests.polls[0],
            PollResponse { .clock = 52, .startTimeMs = 2, .running = {}, .ended = { done(1, second) } }, m_now, m_now);
        m_now += 200ms;
        requests = advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, requests.polls[0].lastRecordedEnd);
        respondToPoll(requests.polls[0], {}, { done(1, second) });
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(ends[0].run == second && RunOutcome::Done == ends[0].outcome);
    }

    // Guards against ends that stay unconfirmed while some starts of a worker get no response.
    void workerThatHasJustRespondedGetsItsEndsConfirmed()
    {
        const auto second = samples::run(samples::firstId, 0, 1);
        begin(2);
        place(m_run);
        place(second);
        const auto requests = advance();
        respond(requests.starts.at(0), WorkerRequestStatus::Done);
        respond(requests.starts.at(1), WorkerRequestStatus::NoResponse);
        m_now += 1ms;
        respondToPoll(requests.polls.at(0), {}, { done(1, m_run) });
        m_now += 20ms;
        commitEnds();
        const auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, polls[0].lastRecordedEnd);
    }

    // Guards against two runs of one task while its worker is partitioned and continues until its lease expires.
    void silentWorkerLosesRunsOnlyAfterItsLease()
    {
        begin();
        place(m_run);
        const TimePoint sentAt = m_now;
        respond(start(), WorkerRequestStatus::Done);
        const Duration lease = WorkerClock::maxRealTime(m_settings.maxLease);
        while (m_now < sentAt + lease) {
            for (const auto& request : advance().polls)
                m_runController.onPollResponse(request, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
            CPPUNIT_ASSERT(m_runController.drainEnds().empty());
            m_now += 100ms;
        }
        // Each poll that was sent may have renewed the lease.
        m_now += lease + 1s;
        advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().front().outcome == RunOutcome::Lost);
    }

    // Guards against a task that lasts and has no run for longer than the 9 s that the platform allows. review/9.
    void lastingTaskOfASilentWorkerIsFreeWithinItsBound()
    {
        m_runController.takeOverRuns(7, m_now);
        report("w");
        auto step = samples::step(1);
        step.isLongRunning = true;
        apply({ samples::accept(samples::firstId, { step }) });
        respondToPoll(advance().polls.at(0), {});
        place(m_run);
        acknowledge(start(), firstStart());
        respondToPoll(m_poll, { { .run = m_run, .checkpoint = {} } });
        // Longer than a lease, so that polls have renewed it.
        for (const TimePoint until = m_now + 20s; m_now < until; m_now += 500ms) {
            for (const auto& request : advance().polls)
                respondToPoll(request, { { .run = m_run, .checkpoint = {} } });
        }
        const TimePoint lostAt = m_now;
        std::vector<EndRuns::Entry> ends;
        for (; m_now < lostAt + 30s && ends.empty(); m_now += 50ms) {
            for (const auto& request : advance().polls)
                m_runController.onPollResponse(request, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
            ends = m_runController.drainEnds();
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::Lost == ends[0].outcome);
        // Leaves time for the next placement.
        CPPUNIT_ASSERT(m_now - lostAt <= 8500ms);
        // A cut of 6 s must not end the run, though the last renewal may be a second old.
        CPPUNIT_ASSERT(m_now - lostAt >= 7s);
    }

    // Guards against runs on a lost worker that are never started elsewhere, because each attempted poll postponed the
    // end of their lease.
    void failedPollsDoNotRenewTheLease()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::Done);
        const TimePoint until = m_now + 2 * m_settings.maxLease;
        std::vector<EndRuns::Entry> ends;
        m_runController.onPollResponse(m_poll, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
        while (m_now < until && ends.empty()) {
            for (const auto& request : advance().polls)
                m_runController.onPollResponse(request, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
            ends = m_runController.drainEnds();
            m_now += 100ms;
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::Lost == ends[0].outcome);
    }

    // Guards against a task that waits for a lost worker: its start was retried every 150 ms indefinitely.
    void startThatCannotBeSentIsAbandoned()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::NotSent);
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::NeverStarted == ends[0].outcome);
        CPPUNIT_ASSERT(!m_workerTracker.isUsable(*m_workerTracker.find(samples::incarnation("w")), m_now + 10s));
    }

    // Guards against the same failure if one of the starts may have been executed: each retry postponed the end of the
    // lease.
    void retriedStartsDoNotRenewTheLease()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::NoResponse);
        m_runController.onPollResponse(m_poll, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
        // The unacknowledged start may be executed 12 s later, by an incarnation that grants the whole lease from then
        // on.
        const TimePoint sentAt = m_now;
        const Duration lastRun = 12s + WorkerClock::maxRealTime(m_settings.maxLease);
        const TimePoint until = sentAt + lastRun + m_settings.leaseMargin + 200ms;
        std::vector<EndRuns::Entry> ends;
        size_t repetitions = 0;
        while (m_now < until && ends.empty()) {
            const auto requests = advance();
            for (const auto& request : requests.polls)
                m_runController.onPollResponse(request, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
            for (const auto& request : requests.starts)
                respond(request, WorkerRequestStatus::NotSent);
            repetitions += requests.starts.size();
            ends = m_runController.drainEnds();
            m_now += 100ms;
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::Lost == ends[0].outcome);
        // Each retry costs a connection attempt; there were 130 per second during a zone partition.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(repetitions), repetitions <= 15);
    }

    // Guards against waiting for the lease of a worker that has restarted.
    void newIncarnationEndsTheOldOne()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::Done);
        report("w", 2);
        advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().front().outcome == RunOutcome::WorkerCrashed);
    }

    // Guards against tasks that are placed on an incarnation that has ended, and taken back, hundreds of times a
    // second.
    void supersededIncarnationGetsNoWork()
    {
        begin();
        poll(advance().polls.at(0), m_now, {});
        const TrackedWorker& worker = *m_workerTracker.find(samples::incarnation("w"));
        CPPUNIT_ASSERT(m_workerTracker.isUsable(worker, m_now));
        report("w", 2);
        CPPUNIT_ASSERT(!m_workerTracker.isUsable(worker, m_now));
        // Its capacity counts once.
        CPPUNIT_ASSERT_EQUAL(int64_t { 4000 }, m_workerTracker.capacity(samples::profile("w").pool, m_now).count());
    }

    // Guards against tasks that are given up because their workers were shut down as planned.
    void endAfterAnAnnouncedShutdownIsNoCrash()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::Done);
        m_runController.onWorkerLeaving(samples::incarnation("w"), m_now);
        report("w", 2);
        advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().front().outcome == RunOutcome::Lost);
    }

    // Guards against two runs of one task: requests name the worker and not its incarnation, so the next incarnation
    // may execute an unacknowledged start. Found with seed 9 of the soak test and seed 1 of the safety test.
    void unacknowledgedStartIsStoppedOnTheNextIncarnation()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::NoResponse);
        m_now += 1s;
        report("w", 2);
        auto requests = advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.stops.size());
        CPPUNIT_ASSERT_EQUAL(int64_t { 2 }, requests.stops[0].incarnation.startTimeMs);
        CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, usedMillicores());
        CPPUNIT_ASSERT_EQUAL(
            int64_t { 1000 }, m_workerTracker.find(samples::incarnation("w", 2))->used.millicores.count());
        // A poll that was sent before the stop was confirmed proves nothing.
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        poll(requests.polls[0], m_now, {});
        m_runController.onStopResponse(
            requests.stops[0], { .status = WorkerRequestStatus::Done, .clock = 1, .startTimeMs = 2 }, m_now, m_now);
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        // Once the next incarnation has confirmed the stop it rejects the start, and a later poll shows that the run is
        // not there.
        m_now += 10ms;
        requests = advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        poll(requests.polls[0], m_now, {});
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::WorkerMayHaveCrashed == ends[0].outcome);
    }

    // Guards against a run on a worker's next incarnation that is missing from its allocated capacity.
    void startExecutedByTheNextIncarnationKeepsItsCapacity()
    {
        begin();
        place(m_run);
        const auto request = start();
        m_runController.onStartResponse(
            request, { .status = WorkerRequestStatus::Done, .clock = 1, .startTimeMs = 2 }, m_now, m_now);
        m_now += 1ms;
        const auto requests = advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, usedMillicores());
        CPPUNIT_ASSERT_EQUAL(
            int64_t { 1000 }, m_workerTracker.find(samples::incarnation("w", 2))->used.millicores.count());
        // The run goes on there instead of being stopped and started anew.
        CPPUNIT_ASSERT(requests.stops.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        CPPUNIT_ASSERT_EQUAL(int64_t { 2 }, requests.polls[0].incarnation.startTimeMs);
        poll(requests.polls[0], m_now, { { .run = m_run, .checkpoint = {} } });
        CPPUNIT_ASSERT(advance().stops.empty());
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(
            int64_t { 1000 }, m_workerTracker.find(samples::incarnation("w", 2))->used.millicores.count());
    }

    // Runs a worker for `age`, with a poll at its start and a report at its end, and places a run there.
    void beginOnWorkerOfAge(Duration age, uint32_t count = 1)
    {
        begin(count);
        respondToPoll(advance().polls.at(0), {});
        m_now += age;
        report("w");
        place(m_run);
    }

    // The clock that an incarnation shows now if it started, with the clock at zero, at `startedAt`.
    WorkerClockMs clockSince(TimePoint startedAt) const { return (m_now - startedAt) / 1ms; }
    TimePoint firstStart() const { return TimePoint(100s) - m_clock * Duration(1ms); }

    void respondToPoll(
        const PollRequest& request, std::vector<ReportedRun> running, std::vector<ReportedEnd> ended = {})
    {
        const TimePoint sentAt = m_now;
        m_now += 2ms;
        m_runController.onPollResponse(request,
            PollResponse { .clock = clockSince(firstStart()),
                .startTimeMs = request.incarnation.startTimeMs,
                .running = std::move(running),
                .ended = std::move(ended) },
            sentAt, m_now);
    }

    // Responds as the platform's workers do, without naming the incarnation.
    void acknowledge(const StartRunRequest& request, TimePoint incarnationStartedAt)
    {
        const TimePoint sentAt = m_now;
        m_now += 2ms;
        m_runController.onStartResponse(
            request, { .status = WorkerRequestStatus::Done, .clock = clockSince(incarnationStartedAt) }, sentAt, m_now);
    }

    // The worker starts again, reports itself and responds to a poll.
    void restart(int64_t startTimeMs)
    {
        report("w", startTimeMs);
        for (const auto& request : advance().polls) {
            if (request.incarnation.startTimeMs == startTimeMs)
                respondToPoll(request, {});
        }
    }

    // Guards against runs that are never started elsewhere: another worker has the address, its start time is earlier,
    // and each poll that it rejected renewed the lease of the runs.
    void workerReplacedAtItsAddressLosesItsRuns()
    {
        beginOnWorkerOfAge(10s);
        acknowledge(start(), firstStart());
        m_now += 1ms;
        m_runController.onPollResponse(
            m_poll, makeError(ErrorCode::Conflict, "another worker responded"), m_now, m_now);
        advance();
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::WorkerCrashed == ends[0].outcome);
        CPPUNIT_ASSERT(!m_workerTracker.isUsable(*m_workerTracker.find(samples::incarnation("w")), m_now));
    }

    // Guards against an end of a worker by a poll that never left this host.
    void pollHeldBackByALeaderInDoubtSaysNothing()
    {
        beginOnWorkerOfAge(10s);
        acknowledge(start(), firstStart());
        m_now += 1ms;
        m_runController.onPollResponse(m_poll, makeError(ErrorCode::NotLeader, "in doubt"), m_now, m_now);
        advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT(m_workerTracker.isUsable(*m_workerTracker.find(samples::incarnation("w")), m_now));
    }

    // Guards against more starts for such a worker after it has rejected one.
    void startRejectedByAnotherWorkerEndsTheIncarnation()
    {
        beginOnWorkerOfAge(10s);
        const auto request = start();
        m_runController.onStartResponse(request, { .status = WorkerRequestStatus::WrongIncarnation }, m_now, m_now);
        CPPUNIT_ASSERT(RunOutcome::NeverStarted == m_runController.drainEnds().at(0).outcome);
        CPPUNIT_ASSERT(!m_workerTracker.isUsable(*m_workerTracker.find(samples::incarnation("w")), m_now));
    }

    // Guards against a worker whose wall clock was put back before it started again: its new incarnation, with an
    // earlier start time, counted as an old one for good, and the ends of its runs were never recorded.
    void incarnationWithAnEarlierStartTimeTakesOver()
    {
        beginOnWorkerOfAge(10s);
        acknowledge(start(), firstStart());
        report("w", -5);
        // The report may be an old one that was delayed.
        const auto polls = advance().polls;
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT_EQUAL(int64_t { -5 }, polls[0].incarnation.startTimeMs);
        const auto isUsable = [&](int64_t start) {
            return m_workerTracker.isUsable(*m_workerTracker.find(samples::incarnation("w", start)), m_now);
        };
        CPPUNIT_ASSERT(!isUsable(-5) && !isUsable(1));
        respondToPoll(polls[0], {});
        advance();
        CPPUNIT_ASSERT(RunOutcome::WorkerCrashed == m_runController.drainEnds().at(0).outcome);
        CPPUNIT_ASSERT(isUsable(-5) && !isUsable(1));
        CPPUNIT_ASSERT_EQUAL(int64_t { -5 }, m_workerTracker.current(WorkerId("w"))->incarnation().startTimeMs);
        // A late report of the incarnation before changes nothing, though its start time is later.
        report("w", 1);
        CPPUNIT_ASSERT(isUsable(-5) && !isUsable(1));
    }

    // Guards against the same for an incarnation that has not reported itself: it responds to a poll or a start for the
    // one before.
    void responseOfAnEarlierStartTimeEndsTheKnownIncarnation()
    {
        beginOnWorkerOfAge(10s);
        acknowledge(start(), firstStart());
        m_now += 1ms;
        m_runController.onPollResponse(
            m_poll, PollResponse { .clock = 50, .startTimeMs = -5, .running = {}, .ended = {} }, m_now, m_now);
        m_now += 1s;
        for (const auto& next : advance().polls)
            CPPUNIT_ASSERT_EQUAL(int64_t { -5 }, next.incarnation.startTimeMs);
        CPPUNIT_ASSERT(RunOutcome::WorkerCrashed == m_runController.drainEnds().at(0).outcome);
    }

    // Guards against two runs of one task: the report of an incarnation that has ended arrives late, and its start time
    // is later than that of the running one, because the wall clock was put back between them.
    void lateReportWithALaterStartTimeEndsNothing()
    {
        beginOnWorkerOfAge(10s);
        acknowledge(start(), firstStart());
        m_now += 1ms;
        respondToPoll(m_poll, { { .run = m_run, .checkpoint = {} } });
        report("w", 9);
        auto polls = advance().polls;
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, polls.size());
        for (const auto& request : polls)
            m_runController.onPollResponse(request,
                PollResponse { .clock = clockSince(firstStart()),
                    .startTimeMs = 1,
                    .running = { { .run = m_run, .checkpoint = {} } },
                    .ended = {} },
                m_now - 1ms, m_now);
        advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(int64_t { 1 }, m_workerTracker.current(WorkerId("w"))->incarnation().startTimeMs);
        CPPUNIT_ASSERT(m_workerTracker.isUsable(*m_workerTracker.find(samples::incarnation("w")), m_now));
        report("w", 9);
        CPPUNIT_ASSERT(m_workerTracker.isUsable(*m_workerTracker.find(samples::incarnation("w")), m_now));
    }

    // Responds to a start that was sent at `sentAt`, without naming the incarnation.
    void respondToStart(const StartRunRequest& request, WorkerRequestStatus status, TimePoint sentAt)
    {
        RunResponse response { .status = status };
        if (status != WorkerRequestStatus::NoResponse && status != WorkerRequestStatus::NotSent)
            response.clock = clockSince(firstStart());
        m_runController.onStartResponse(request, response, sentAt, m_now);
    }

    // Guards against tasks that wait for the timeout of a lost request, and against work that is kept from a worker
    // that responds to all other requests.
    void overdueStartIsSentAgain()
    {
        beginOnWorkerOfAge(10s);
        const TimePoint sentAt = m_now;
        const auto first = start();
        CPPUNIT_ASSERT(advance().starts.empty());
        m_now += 2ms;
        respondToPoll(m_poll, {});
        m_now += 150ms;
        const auto copies = advance().starts;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, copies.size());
        CPPUNIT_ASSERT(copies[0].run == first.run && copies[0].fence == first.fence);
        m_now += 2ms;
        respondToStart(copies[0], WorkerRequestStatus::Done, m_now - 2ms);
        // The first one runs into its timeout.
        m_now = sentAt + 500ms;
        respondToStart(first, WorkerRequestStatus::NoResponse, sentAt);
        const TrackedWorker& worker = *m_workerTracker.find(samples::incarnation("w"));
        CPPUNIT_ASSERT_EQUAL(uint32_t { 0 }, worker.consecutiveFailedCalls);
        CPPUNIT_ASSERT(m_workerTracker.isUsable(worker, m_now));
        CPPUNIT_ASSERT(advance().starts.empty());
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT(TrackedRun::Phase::Confirmed == m_runController.find(m_run)->phase);
    }

    // Guards against two runs of one task: the worker rejects a copy because its token has expired, and executes the
    // first request late.
    void rejectedCopyOfAnOverdueStartNeedsAStop()
    {
        beginOnWorkerOfAge(10s);
        const auto first = start();
        m_now += 2ms;
        respondToPoll(m_poll, {});
        m_now += 150ms;
        const auto copies = advance().starts;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, copies.size());
        respondToStart(copies[0], WorkerRequestStatus::NoPermission, m_now);
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        m_now += 150ms;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, advance().stops.size());
    }

    // Guards against the same if the copy cannot be sent, for lack of a connection, while the first request is on its
    // way.
    void copyThatCannotBeSentSaysNothingOfTheFirst()
    {
        beginOnWorkerOfAge(10s);
        const auto first = start();
        m_now += 2ms;
        respondToPoll(m_poll, {});
        m_now += 150ms;
        const auto copies = advance().starts;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, copies.size());
        respondToStart(copies[0], WorkerRequestStatus::NotSent, m_now);
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        m_now += 2ms;
        respondToStart(first, WorkerRequestStatus::Done, m_now - 154ms);
        CPPUNIT_ASSERT(TrackedRun::Phase::Confirmed == m_runController.find(m_run)->phase);
    }

    // Guards against a worker that has vanished and gets one copy after the other.
    void copiesToASilentWorkerAreBounded()
    {
        beginOnWorkerOfAge(10s);
        start();
        size_t copies = 0;
        for (const TimePoint until = m_now + 490ms; m_now < until; m_now += 5ms) {
            const auto requests = advance();
            copies += requests.starts.size() + requests.polls.size();
        }
        CPPUNIT_ASSERT(copies <= 8);
    }

    // Guards against ends that stay unknown until a lost long poll times out.
    void overduePollIsFollowedByAProbe()
    {
        beginOnWorkerOfAge(10s);
        acknowledge(start(), firstStart());
        m_now += m_settings.pollWait;
        CPPUNIT_ASSERT(advance().polls.empty());
        m_now += 150ms;
        auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT(Duration(0) == polls[0].maxWait);
        CPPUNIT_ASSERT(!polls[0].leaseUntil);
        respondToPoll(polls[0], { { .run = m_run, .checkpoint = {} } });
        polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT(polls[0].leaseUntil);
        // The lost one fails at last, which says nothing about the worker.
        m_runController.onPollResponse(
            m_poll, makeError(ErrorCode::Timeout, "no response"), m_now - m_settings.pollWait - 152ms, m_now);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 0 }, m_workerTracker.find(samples::incarnation("w"))->consecutiveFailedCalls);
        CPPUNIT_ASSERT(advance().polls.empty());
    }

    // Guards against two runs of one task: an idle worker started again, executed a start that was meant for the
    // incarnation before, and its response did not say so. The run counted as lost with that one. review/6.
    void startTakenByAnUnknownIncarnationStaysThere()
    {
        beginOnWorkerOfAge(10s);
        acknowledge(start(), m_now - 50ms);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, m_runController.unattributedStarts());
        report("w", 2);
        const auto requests = advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT(requests.stops.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        CPPUNIT_ASSERT_EQUAL(int64_t { 2 }, requests.polls[0].incarnation.startTimeMs);
        respondToPoll(requests.polls[0], {}, { done(1, m_run) });
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::Done == ends[0].outcome);
    }

    // Guards against a task that waits for a run which its worker took along when it crashed.
    void unattributedRunThatIsNotOnTheNextIncarnationIsLost()
    {
        beginOnWorkerOfAge(0s);
        // A worker that has only just been seen cannot be told from its next incarnation.
        acknowledge(start(), firstStart());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, m_runController.unattributedStarts());
        m_now += 1ms;
        report("w", 2);
        auto polls = advance().polls;
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        respondToPoll(polls[0], {});
        // The next poll decides, without waiting for an end.
        polls = advance().polls;
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT(Duration(0) == polls[0].maxWait);
        respondToPoll(polls[0], {});
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::WorkerCrashed == ends[0].outcome);
    }

    // Guards against tasks that wait for a poll of the next incarnation although the clock in the response, or a later
    // message, shows that the incarnation that crashed had executed the start.
    void startOfAKnownIncarnationIsLostWithIt()
    {
        beginOnWorkerOfAge(10s);
        acknowledge(start(), firstStart());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, m_runController.unattributedStarts());
        restart(2);
        advance();
        CPPUNIT_ASSERT(RunOutcome::WorkerCrashed == m_runController.drainEnds().at(0).outcome);
    }

    void laterPollAttributesAStart()
    {
        beginOnWorkerOfAge(0s);
        const auto request = start();
        acknowledge(request, firstStart());
        m_now += 1ms;
        respondToPoll(m_poll, { { .run = m_run, .checkpoint = {} } });
        restart(2);
        advance();
        CPPUNIT_ASSERT(RunOutcome::WorkerCrashed == m_runController.drainEnds().at(0).outcome);
    }

    // Guards against more work for a worker whose responses come from another incarnation than the known one.
    void workerInDoubtIsPolledBeforeItGetsMoreWork()
    {
        beginOnWorkerOfAge(10s);
        const TrackedWorker& worker = *m_workerTracker.find(samples::incarnation("w"));
        CPPUNIT_ASSERT(m_workerTracker.isUsable(worker, m_now));
        acknowledge(start(), m_now - 50ms);
        CPPUNIT_ASSERT(!m_workerTracker.isUsable(worker, m_now));
        // The poll that went out with the start fails; the next one does not wait for an end.
        m_runController.onPollResponse(m_poll, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
        m_now += 1s;
        const auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT(Duration(0) == polls[0].maxWait);
        respondToPoll(polls[0], { { .run = m_run, .checkpoint = {} } });
        report("w");
        CPPUNIT_ASSERT(m_workerTracker.isUsable(worker, m_now));
    }

    // Guards against two runs of one task: the next incarnation executed the start and was cut off before anybody heard
    // of it, so the run ends with a lease that began with the start, not with the one of the known incarnation.
    void unattributedRunOutlivesTheLeaseOfASilentWorker()
    {
        beginOnWorkerOfAge(10s);
        const auto request = start();
        m_now += 400ms;
        acknowledge(request, m_now - 50ms);
        const TimePoint executedAt = m_now;
        m_runController.onPollResponse(m_poll, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
        const Duration lease = WorkerClock::maxRealTime(m_settings.maxLease);
        std::vector<EndRuns::Entry> ends;
        for (; m_now < executedAt + 60s && ends.empty(); m_now += 100ms) {
            for (const auto& poll : advance().polls)
                m_runController.onPollResponse(poll, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
            ends = m_runController.drainEnds();
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::Lost == ends[0].outcome);
        // The poll that got no response may have renewed the lease just before its end.
        CPPUNIT_ASSERT(m_now - executedAt >= 2 * lease);
        CPPUNIT_ASSERT(m_now - executedAt <= 2 * lease + m_settings.leaseMargin + 300ms);
    }

    // Guards against a task that runs again after it was done: the next incarnation executed the start, and its end was
    // confirmed and dropped because the run was looked up on the earlier incarnation. Found with seed 12 of the safety
    // test.
    void endOnTheNextIncarnationCounts()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::NoResponse);
        report("w", 2);
        const auto requests = advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        poll(requests.polls[0], m_now, {},
            { { .number = 1, .run = m_run, .outcome = RunOutcome::Done, .checkpoint = {} } });
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(RunOutcome::Done == ends[0].outcome);
    }

    // Guards against ends that a worker drops too early: polls for the earlier incarnation confirm ends by that
    // incarnation's numbers. Found with seed 12 of the safety test.
    void pollsStopAfterAResponseOfAnotherIncarnation()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::Done);
        m_runController.onPollResponse(
            m_poll, PollResponse { .clock = 1, .startTimeMs = 2, .running = {}, .ended = {} }, m_now, m_now);
        m_now += 1s;
        for (const auto& next : advance().polls)
            CPPUNIT_ASSERT_EQUAL(int64_t { 2 }, next.incarnation.startTimeMs);
        CPPUNIT_ASSERT(RunOutcome::WorkerCrashed == m_runController.drainEnds().at(0).outcome);
    }

    void placeWithPermission(const RunRef& run)
    {
        QueueTable table = samples::table();
        table.queues[0].permission = { .isNeeded = true, .perCall = 10ms, .perWorker = 1ms, .validity = tokenValidity };
        apply({ ReplaceTable { table } });
        const auto& spec = m_state.find(samples::firstId)->spec.steps[0];
        m_runController.addProposedRun(run, samples::incarnation("w"), spec, 0, "ticket");
        PlaceRuns command;
        command.incarnations = { samples::incarnation("w") };
        command.entries = { { .run = run, .incarnationIndex = 0 } };
        apply({ command });
        m_runController.onPlacementCommitted(run, true, m_now);
    }

    // Guards against two runs of one task: the worker restarted while its token was on the way, so the token was for
    // the next incarnation, which executed the unacknowledged start. Found with seed 9 of the soak test.
    void startWithPermissionIsStoppedOnTheNextIncarnation()
    {
        begin();
        placeWithPermission(m_run);
        respond(start(), WorkerRequestStatus::NoResponse);
        report("w", 2);
        const auto requests = advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.stops.size());
        CPPUNIT_ASSERT_EQUAL(int64_t { 2 }, requests.stops[0].incarnation.startTimeMs);
    }

    // Returns how long after the first start a silent worker's run with that unacknowledged start counts as lost.
    Duration timeUntilLost()
    {
        const TimePoint sentAt = m_now;
        respond(start(), WorkerRequestStatus::NoResponse);
        m_runController.onPollResponse(m_poll, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
        for (; m_now < sentAt + 60s; m_now += 100ms) {
            const auto requests = advance();
            for (const auto& request : requests.polls)
                m_runController.onPollResponse(request, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
            for (const auto& request : requests.starts)
                respond(request, WorkerRequestStatus::NotSent);
            const auto ends = m_runController.drainEnds();
            if (!ends.empty()) {
                CPPUNIT_ASSERT(RunOutcome::Lost == ends[0].outcome);
                break;
            }
        }
        return m_now - sentAt;
    }

    // Guards against two runs of one task: a start may be executed 12 s late, and by an incarnation that the leader
    // does not know and whose clock, restarted, grants the whole lease from then on.
    void unacknowledgedStartOutlivesTheLeaseOfASilentWorker()
    {
        begin();
        place(m_run);
        const Duration lost = timeUntilLost();
        const Duration lastRun = 12s + WorkerClock::maxRealTime(m_settings.maxLease);
        CPPUNIT_ASSERT(lost >= lastRun);
        CPPUNIT_ASSERT(lost <= lastRun + m_settings.leaseMargin + 200ms);
    }

    // Guards against a task that waits for 22 s beside idle workers, because its start went to a worker that had just
    // vanished. review/8.
    void startWithoutATokenNeedsASignOfLife()
    {
        beginOnWorkerOfAge(10s, 2);
        acknowledge(start(), firstStart());
        m_now += 1s;
        // The long poll will tell too late.
        const auto second = samples::run(samples::firstId, 0, 1);
        place(second);
        auto requests = advance();
        CPPUNIT_ASSERT(requests.starts.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        CPPUNIT_ASSERT(Duration(0) == requests.polls[0].maxWait);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, requests.polls[0].lastRecordedEnd);
        CPPUNIT_ASSERT(advance().polls.empty());
        respondToPoll(requests.polls[0], { { .run = m_run, .checkpoint = {} } });
        requests = advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.starts.size());
        CPPUNIT_ASSERT(requests.starts[0].run == second);
        // The same for a retry: it would extend the time for which the task has to wait.
        respond(requests.starts[0], WorkerRequestStatus::NoResponse);
        m_now += 1s;
        requests = advance();
        CPPUNIT_ASSERT(requests.starts.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        respondToPoll(requests.polls[0], { { .run = m_run, .checkpoint = {} } });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, advance().starts.size());
    }

    // Guards against the same: a worker that does not respond gets no start, and its task goes elsewhere.
    void taskOfAVanishedWorkerIsPlacedElsewhere()
    {
        beginOnWorkerOfAge(10s);
        // Before the report that the placement relied on has aged, the worker is gone.
        m_now += 2s;
        std::vector<EndRuns::Entry> ends;
        const TimePoint placedAt = m_now;
        const auto second = samples::run(samples::secondId, 0, 0);
        apply({ samples::accept(samples::secondId, { samples::step(1) }) });
        place(second);
        for (; m_now < placedAt + 5s && ends.empty(); m_now += 100ms) {
            const auto requests = advance();
            CPPUNIT_ASSERT(std::none_of(requests.starts.begin(), requests.starts.end(),
                [&](const StartRunRequest& request) { return request.run == second; }));
            m_now += 700ms;
            for (const auto& request : requests.polls)
                m_runController.onPollResponse(request, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
            ends = m_runController.drainEnds();
        }
        CPPUNIT_ASSERT(std::any_of(ends.begin(), ends.end(),
            [&](const EndRuns::Entry& end) { return end.run == second && end.outcome == RunOutcome::NeverStarted; }));
    }

    // Guards against a task that waits longer than needed: no incarnation accepts an expired token.
    void permissionBoundsALateStart()
    {
        begin();
        placeWithPermission(m_run);
        const Duration lost = timeUntilLost();
        const Duration lastRun = tokenValidity + WorkerClock::maxRealTime(m_settings.maxLease);
        CPPUNIT_ASSERT(lost >= lastRun);
        CPPUNIT_ASSERT(lost <= lastRun + m_settings.leaseMargin + 200ms);
    }

    // Guards against an ended incarnation that reappears because a partition delayed its report.
    void lateReportOfAnOldIncarnationIsIgnored()
    {
        begin();
        report("w", 2);
        WorkerReport late;
        late.profile = samples::profile("w", 1);
        late.sequence = 99;
        CPPUNIT_ASSERT(m_workerTracker.applyReport(late, m_now) == WorkerTracker::ReportResult::Stale);
        CPPUNIT_ASSERT_EQUAL(int64_t { 2 }, m_workerTracker.current(WorkerId("w"))->incarnation().startTimeMs);
    }

    // Guards against a start of an earlier leader that is considered gone before its worker knows the new leader.
    void firstPollDecidesInheritedRuns()
    {
        begin(2);
        place(m_run);
        const auto second = samples::run(samples::firstId, 0, 1);
        place(second);
        m_workerTracker.clear();
        m_runController.takeOverRuns(8, m_now);
        report("w");
        const auto requests = advance();
        CPPUNIT_ASSERT(requests.starts.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, requests.polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 8 }, requests.polls.front().fence);
        poll(requests.polls.front(), m_now, { { .run = second, .checkpoint = {} } });
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(ends.front().run == m_run && ends.front().outcome == RunOutcome::NeverStarted);
    }

    // Guards against a second run while the new leader cannot reach the worker of the first.
    void inheritedRunIsKeptUntilTheLeaseOfASilentWorkerExpires()
    {
        begin();
        place(m_run);
        m_workerTracker.clear();
        m_runController.takeOverRuns(8, m_now);
        // The earlier leader's start may be executed 12 s late, and by an incarnation that grants the whole lease.
        m_now += 12s + WorkerClock::maxRealTime(m_settings.maxLease);
        advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        m_now += 1s;
        advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().front().outcome == RunOutcome::Lost);
    }

    // Guards against a second run of a task that is done: a worker lists a limited number of ends at a time, and runs
    // whose ends came with a later list were taken to be lost.
    void runMissingFromACutListIsKept()
    {
        const auto second = samples::run(samples::firstId, 0, 1);
        const PollRequest firstPoll = startBoth(second);
        m_now += 5ms;
        pollWithMoreEnds(firstPoll, { done(1, m_run) });
        auto ends = commitEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(ends[0].run == m_run);
        const auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, polls[0].lastRecordedEnd);
        poll(polls[0], m_now, {}, { done(2, second) });
        ends = commitEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(ends[0].run == second && ends[0].outcome == RunOutcome::Done);
    }

    // Guards against the same after a change of the leader.
    void cutListDecidesNoInheritedRuns()
    {
        begin(2);
        const auto second = samples::run(samples::firstId, 0, 1);
        place(m_run);
        place(second);
        m_workerTracker.clear();
        m_runController.takeOverRuns(8, m_now);
        report("w");
        pollWithMoreEnds(advance().polls.at(0), { done(1, m_run) });
        auto ends = commitEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        // Until the rest is known, the worker's free capacity is not known either.
        const TrackedWorker& worker = *m_workerTracker.find(samples::incarnation("w"));
        CPPUNIT_ASSERT(!m_workerTracker.isUsable(worker, m_now));
        poll(advance().polls.at(0), m_now, {}, { done(2, second) });
        ends = commitEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(ends[0].run == second && ends[0].outcome == RunOutcome::Done);
        CPPUNIT_ASSERT(m_workerTracker.isUsable(worker, m_now));
    }

    // Guards against the same for a start that the worker's next incarnation may have executed.
    void runStoppedOnTheNextIncarnationIsKeptAfterACutList()
    {
        begin(2);
        place(m_run);
        respond(start(), WorkerRequestStatus::NoResponse);
        report("w", 2);
        const auto stops = advance().stops;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        m_runController.onStopResponse(
            stops[0], { .status = WorkerRequestStatus::Outdated, .clock = m_clock, .startTimeMs = 2 }, m_now, m_now);
        m_now += 1ms;
        PollRequest request { .incarnation = samples::incarnation("w", 2), .fence = 7 };
        pollWithMoreEnds(request, { done(1, samples::run(samples::secondId, 0, 0)) });
        CPPUNIT_ASSERT(commitEnds().empty());
        request.lastRecordedEnd = 1;
        poll(request, m_now, {}, { done(2, m_run) });
        const auto ends = commitEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(ends[0].outcome == RunOutcome::Done);
    }

    // Guards against ends that stay unknown for the length of a long poll.
    void restOfACutListIsPolledWithoutWaiting()
    {
        const auto second = samples::run(samples::firstId, 0, 1);
        const PollRequest firstPoll = startBoth(second);
        m_now += 5ms;
        pollWithMoreEnds(firstPoll, { done(1, m_run) });
        commitEnds();
        auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT(polls[0].maxWait == Duration(0));
        poll(polls[0], m_now, { { .run = second, .checkpoint = {} } });
        polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        CPPUNIT_ASSERT(polls[0].maxWait == m_settings.pollWait);
    }

    // Guards against a run that continues although it is not recorded on this worker.
    void orphanRunIsStopped()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::Done);
        m_now += 1ms;
        const auto orphan = samples::run(samples::secondId, 0, 0);
        poll(m_poll, m_now, { { .run = m_run, .checkpoint = {} }, { .run = orphan, .checkpoint = {} } });
        const auto stops = advance().stops;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        CPPUNIT_ASSERT(stops.front().run == orphan);
    }

    // Guards against gang members that give up because another one did not start.
    void incompleteGangIsStoppedInTime()
    {
        begin(2, true);
        const auto second = samples::run(samples::firstId, 0, 1);
        place(m_run);
        place(second);
        auto requests = advance();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, requests.starts.size());
        respond(requests.starts[0], WorkerRequestStatus::Done);
        respond(requests.starts[1], WorkerRequestStatus::NoResponse);
        m_now += m_settings.gangStartTimeout - m_settings.gangStopMargin + 1ms;
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, advance().stops.size());
    }

    // Guards against the same failure if a worker rejects one member.
    void rejectedMemberStopsTheGang()
    {
        begin(2, true);
        place(m_run);
        place(samples::run(samples::firstId, 0, 1));
        const auto requests = advance();
        respond(requests.starts[0], WorkerRequestStatus::Done);
        respond(requests.starts[1], WorkerRequestStatus::NoCapacity);
        const auto stops = advance().stops;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        CPPUNIT_ASSERT(stops.front().run == requests.starts[0].run);
    }

    // Guards against tasks that are placed on a partitioned worker one after the other and then wait for its lease: a
    // second after each failure the worker got new work instead of a poll.
    void unresponsiveWorkerGetsNoWorkUntilItResponds()
    {
        begin();
        const auto isUsable
            = [&] { return m_workerTracker.isUsable(*m_workerTracker.find(samples::incarnation("w")), m_now); };
        poll(advance().polls.at(0), m_now, {});
        place(m_run);
        const auto request = start();
        CPPUNIT_ASSERT(isUsable());
        m_now += m_settings.startResponseTimeout;
        CPPUNIT_ASSERT(!isUsable());
        m_now += 350ms;
        respond(request, WorkerRequestStatus::NoResponse);
        m_now += 2s;
        CPPUNIT_ASSERT(!isUsable());
        m_runController.onPollResponse(m_poll, makeError(ErrorCode::Timeout, "no response"), m_now, m_now);
        m_now += 2s;
        report("w");
        CPPUNIT_ASSERT(!isUsable());
        const auto polls = advance().polls;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, polls.size());
        poll(polls.front(), m_now, {});
        CPPUNIT_ASSERT(isUsable());
    }

    // Guards against a start beyond a worker's capacity, which shrank after the task was placed.
    void startIsTakenBackWhenTheCapacityShrinks()
    {
        begin();
        place(m_run);
        report("w", 1, 500);
        CPPUNIT_ASSERT(advance().starts.empty());
        const auto ends = m_runController.drainEnds();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, ends.size());
        CPPUNIT_ASSERT(ends[0].outcome == RunOutcome::NeverStarted);
    }

    // Guards against the same when the first start got no response and would be repeated.
    void retryOfAnUnacknowledgedStartStopsWhenTheCapacityShrinks()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::NoResponse);
        report("w", 1, 500);
        m_now += 1s;
        CPPUNIT_ASSERT(advance().starts.empty());
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, advance().stops.size());
    }

    // Guards against starts by an outdated capacity on a worker that responds but whose heartbeats do not arrive.
    void workerWithoutHeartbeatsGetsNoStarts()
    {
        begin();
        place(m_run);
        const auto requests = advance();
        for (m_now += 500ms; m_now < TimePoint(100s) + m_settings.maxProfileAge; m_now += 500ms)
            poll(requests.polls.at(0), m_now, {});
        poll(requests.polls.at(0), m_now, {});
        const TrackedWorker& worker = *m_workerTracker.find(samples::incarnation("w"));
        CPPUNIT_ASSERT(!m_workerTracker.isUsable(worker, m_now));
        report("w");
        CPPUNIT_ASSERT(m_workerTracker.isUsable(worker, m_now));
    }

    // Guards against starts by a capacity that was reported before a partition and arrives after it.
    void delayedHeartbeatDoesNotProveTheCapacity()
    {
        begin();
        const TrackedWorker& worker = *m_workerTracker.find(samples::incarnation("w"));
        const auto request = advance().polls.at(0);
        // The age of the first report is unknown until the worker's clock is known from elsewhere.
        CPPUNIT_ASSERT(!m_workerTracker.isUsable(worker, m_now));
        m_clock += m_settings.maxProfileAge / 1ms - 1;
        poll(request, m_now, {});
        CPPUNIT_ASSERT(m_workerTracker.isUsable(worker, m_now));
        CPPUNIT_ASSERT(!m_workerTracker.isUsable(worker, m_now + 2ms));
    }

    // Guards against refusals after a change of the leader, while workers report to the new one by and by.
    void capacityAfterTakeoverCountsWorkersThatHaveYetToReport()
    {
        report("a");
        const PoolName pool = samples::profile("a").pool;
        m_workerTracker.addRecorded(samples::profile("b"), m_now);
        CPPUNIT_ASSERT_EQUAL(int64_t { 8000 }, m_workerTracker.capacity(pool, m_now).count());
        m_now += m_settings.contactTimeout;
        report("a");
        CPPUNIT_ASSERT_EQUAL(int64_t { 4000 }, m_workerTracker.capacity(pool, m_now).count());
    }

    // Guards against a delayed shutdown announcement that ends the runs of a running worker.
    void responseCancelsAnAnnouncedShutdown()
    {
        begin();
        place(m_run);
        respond(start(), WorkerRequestStatus::Done);
        m_runController.onWorkerLeaving(samples::incarnation("w"), m_now);
        m_now += 900ms;
        poll(m_poll, m_now, { { .run = m_run, .checkpoint = {} } });
        m_now += 500ms;
        advance();
        CPPUNIT_ASSERT(m_runController.drainEnds().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunControllerTest);

} // namespace hickoryknot::workflow

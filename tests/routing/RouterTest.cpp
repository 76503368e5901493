#include <cppunit/extensions/HelperMacros.h>

#include "RouterFixture.h"

namespace hickoryknot {

using namespace routertest;

class RouterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(repeatableRequestIsRetriedOnAnotherServer);
    CPPUNIT_TEST(notRepeatableIsRecordedBeforeItIsSent);
    CPPUNIT_TEST(notRepeatableIsNotSentAgainAfterItMayHaveRun);
    CPPUNIT_TEST(notRepeatableMovesOnAfterSureRefusal);
    CPPUNIT_TEST(recordGrantedAfterDeadlineGetsItsOutcome);
    CPPUNIT_TEST(resendIsNeverCalledNotRunWithoutTheHome);
    CPPUNIT_TEST(deadlineWhileRunningIsUnknown);
    CPPUNIT_TEST(lateAndDuplicateAnswersAreDropped);
    CPPUNIT_TEST(waitBoundAndQueueBoundAnswerNotRun);
    CPPUNIT_TEST(hopelessDeadlineIsAnsweredAtOnce);
    CPPUNIT_TEST(slowEstimateExpires);
    CPPUNIT_TEST(retryBudgetZeroMeansNoRetry);
    CPPUNIT_TEST(lostTableLeaseServesKeptRowsOnly);
    CPPUNIT_TEST(expiredSharesAndSilentServersGetNoWork);
    CPPUNIT_TEST(serverLeavingBetweenRecordAndSendGetsNothing);
    CPPUNIT_TEST(requestsGoToAnotherZoneOnce);
    CPPUNIT_TEST(drainingFinishesWhatWaits);
    CPPUNIT_TEST(maxRunningIsSplitOverHosts);
    CPPUNIT_TEST(removedRowIsAnswered);
    CPPUNIT_TEST(failingServerGetsProbesOnly);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a retry that meets the same broken server.
    void repeatableRequestIsRetriedOnAnotherServer()
    {
        Setup setup({ makeRow("lookup") });
        const RequestHandle ticket = setup.submit(makeRequest("lookup"), at(1s));
        const auto first = setup.take<SendToServer>();
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.size());
        setup.router.onSendFailure(ticket, 1, true, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.actions.empty());
        setup.router.tick(at(1100ms), setup.actions);
        const auto second = setup.take<SendToServer>();
        CPPUNIT_ASSERT_EQUAL(size_t(1), second.size());
        CPPUNIT_ASSERT_EQUAL(uint32_t(2), second[0].attempt);
        CPPUNIT_ASSERT(first[0].server != second[0].server);
        setup.router.onServerResponse(ticket, 2, "body", at(1200ms), setup.actions);
        const auto answers = setup.take<RespondToCaller>();
        CPPUNIT_ASSERT_EQUAL(size_t(1), answers.size());
        CPPUNIT_ASSERT(answers[0].outcome.kind == OutcomeKind::Done && answers[0].outcome.response == "body");
    }

    // Guards against a send without a record, and an answer without a recorded outcome.
    void notRepeatableIsRecordedBeforeItIsSent()
    {
        Setup setup({ makeRow("order", false) });
        const RequestHandle ticket = setup.submit(makeRequest("order"), at(1s));
        CPPUNIT_ASSERT_EQUAL(size_t(1), only<RecordStart>(setup.actions).size());
        CPPUNIT_ASSERT(setup.take<SendToServer>().empty());
        setup.router.onStartRecordResult(ticket, StartRecordResult::Granted, {}, at(1s), setup.actions);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.take<SendToServer>().size());
        setup.router.onServerResponse(ticket, 1, "body", at(1s), setup.actions);
        CPPUNIT_ASSERT(only<RespondToCaller>(setup.actions).empty());
        CPPUNIT_ASSERT(setup.take<RecordOutcome>().at(0).outcome.kind == OutcomeKind::Done);
        setup.router.onOutcomeRecordFinished(ticket, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.take<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Done);
    }

    // Guards against a request that runs twice because its first server went silent.
    void notRepeatableIsNotSentAgainAfterItMayHaveRun()
    {
        Setup setup({ makeRow("order", false) });
        const RequestHandle ticket = setup.submit(makeRequest("order"), at(1s));
        setup.router.onStartRecordResult(ticket, StartRecordResult::Granted, {}, at(1s), setup.actions);
        setup.actions.clear();
        setup.router.onSendFailure(ticket, 1, true, at(1s), setup.actions);
        setup.router.tick(at(2s), setup.actions);
        CPPUNIT_ASSERT(only<SendToServer>(setup.actions).empty());
        CPPUNIT_ASSERT(setup.take<RecordOutcome>().at(0).outcome.kind == OutcomeKind::Unknown);
    }

    // Guards against giving up work that surely did not start.
    void notRepeatableMovesOnAfterSureRefusal()
    {
        Setup setup({ makeRow("order", false) });
        const RequestHandle ticket = setup.submit(makeRequest("order"), at(1s));
        setup.router.onStartRecordResult(ticket, StartRecordResult::Granted, {}, at(1s), setup.actions);
        setup.router.onServerRejection(ticket, 1, at(1s), setup.actions);
        setup.actions.clear();
        setup.router.tick(at(1100ms), setup.actions);
        CPPUNIT_ASSERT(only<RecordStart>(setup.actions).empty());
        CPPUNIT_ASSERT_EQUAL(uint32_t(2), setup.take<SendToServer>().at(0).attempt);
    }

    // Guards against a start record that stays without an outcome and makes every resend unknown.
    void recordGrantedAfterDeadlineGetsItsOutcome()
    {
        Setup setup({ makeRow("order", false) });
        const RequestHandle ticket = setup.submit(makeRequest("order", 1s), at(1s));
        setup.router.tick(at(2s), setup.actions);
        CPPUNIT_ASSERT(setup.take<RespondToCaller>().at(0).outcome.kind == OutcomeKind::NotRun);
        setup.router.onStartRecordResult(ticket, StartRecordResult::Granted, {}, at(2100ms), setup.actions);
        CPPUNIT_ASSERT(only<SendToServer>(setup.actions).empty());
        const auto records = setup.take<RecordOutcome>();
        CPPUNIT_ASSERT(records.at(0).outcome.kind == OutcomeKind::NotRun && !records[0].isAwaited);
    }

    // Guards against "not run" for a request whose earlier send through another host may have run.
    void resendIsNeverCalledNotRunWithoutTheHome()
    {
        Setup setup({ makeRow("order", false) });
        auto resend = makeRequest("order");
        resend.attempt = 2;
        const RequestHandle ticket = setup.submit(resend, at(1s));
        setup.router.onStartRecordResult(ticket, StartRecordResult::Unavailable, {}, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.take<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Unknown);

        const RequestHandle first = setup.submit(makeRequest("order"), at(1s));
        setup.router.onStartRecordResult(first, StartRecordResult::Unavailable, {}, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.take<RespondToCaller>().at(0).outcome.kind == OutcomeKind::NotRun);
    }

    // Guards against "not run" for a request that a server is still working on.
    void deadlineWhileRunningIsUnknown()
    {
        Setup setup({ makeRow("lookup") });
        setup.submit(makeRequest("lookup", 1s), at(1s));
        setup.router.tick(at(2s), setup.actions);
        CPPUNIT_ASSERT(setup.take<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Unknown);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.router.serverUsage().size());
    }

    // Guards against a second answer, or another request's answer, after a retry or a deadline.
    void lateAndDuplicateAnswersAreDropped()
    {
        Setup setup({ makeRow("lookup") });
        const RequestHandle ticket = setup.submit(makeRequest("lookup"), at(1s));
        setup.router.onSendFailure(ticket, 1, true, at(1s), setup.actions);
        setup.router.tick(at(1100ms), setup.actions);
        setup.actions.clear();
        setup.router.onServerResponse(ticket, 1, "late", at(1100ms), setup.actions);
        CPPUNIT_ASSERT(setup.actions.empty());
        setup.router.onServerResponse(ticket, 2, "right", at(1100ms), setup.actions);
        setup.router.onServerResponse(ticket, 2, "again", at(1100ms), setup.actions);
        CPPUNIT_ASSERT_EQUAL(std::string("right"), only<RespondToCaller>(setup.actions).at(0).outcome.response);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.take<RespondToCaller>().size());
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), setup.router.counts().lateResponsesDropped);
    }

    // Guards against queues that grow without bound or hold requests for ever.
    void waitBoundAndQueueBoundAnswerNotRun()
    {
        Row row = makeRow("lookup");
        row.queueBound = 2;
        Setup setup({ row }, 1, 1);
        for (int i = 0; i < 4; ++i)
            setup.submit(makeRequest("lookup"), at(1s));
        CPPUNIT_ASSERT_EQUAL(std::string("queue_full"), setup.take<RespondToCaller>().at(0).outcome.reason);
        setup.router.tick(at(2999ms), setup.actions);
        CPPUNIT_ASSERT(setup.actions.empty());
        setup.router.tick(at(3s), setup.actions);
        const auto answers = setup.take<RespondToCaller>();
        CPPUNIT_ASSERT_EQUAL(size_t(2), answers.size());
        CPPUNIT_ASSERT(answers[0].outcome.kind == OutcomeKind::NotRun && answers[0].outcome.reason == "wait_bound");
    }

    // Guards against servers working on answers that nobody waits for any more.
    void hopelessDeadlineIsAnsweredAtOnce()
    {
        Setup setup({ makeRow("lookup") }, 1, 1);
        const RequestHandle measured = setup.submit(makeRequest("lookup"), at(1s));
        setup.router.onServerResponse(measured, 1, "", at(1500ms), setup.actions);
        setup.actions.clear();
        setup.submit(makeRequest("lookup", 100ms), at(1600ms));
        const auto answers = setup.take<RespondToCaller>();
        CPPUNIT_ASSERT(answers.at(0).outcome.kind == OutcomeKind::NotRun && answers[0].outcome.reason == "deadline");
    }

    // Guards against refusing a row for ever on the word of an old measurement.
    void slowEstimateExpires()
    {
        Setup setup({ makeRow("lookup") }, 1, 1);
        const RequestHandle measured = setup.submit(makeRequest("lookup"), at(1s));
        setup.router.onServerResponse(measured, 1, "", at(1500ms), setup.actions);
        setup.actions.clear();
        setup.submit(makeRequest("lookup", 100ms), at(2600ms));
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.take<SendToServer>().size());
    }

    // Guards against retries that the table forbids.
    void retryBudgetZeroMeansNoRetry()
    {
        Row row = makeRow("lookup");
        row.retryBudgetPercent = 0;
        Setup setup({ row });
        const RequestHandle ticket = setup.submit(makeRequest("lookup"), at(1s));
        setup.router.onServerRejection(ticket, 1, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.take<RespondToCaller>().at(0).outcome.kind == OutcomeKind::NotRun);
    }

    // Guards against serving under an old table, also when the host was paused past its lease.
    void lostTableLeaseServesKeptRowsOnly()
    {
        Row keep = makeRow("keep");
        keep.cutOff = CutOffRule::Keep;
        Setup setup({ makeRow("stop"), keep }, 1, 1);
        setup.router.setTableLease({ .expiry = at(3s), .tableVersion = 7 }, at(1s), setup.actions);
        setup.submit(makeRequest("keep"), at(1s));
        setup.submit(makeRequest("stop"), at(1500ms));
        CPPUNIT_ASSERT(setup.take<RespondToCaller>().empty());
        CPPUNIT_ASSERT(setup.router.nextTick().value() <= at(3s));
        setup.router.tick(at(3s), setup.actions);
        setup.submit(makeRequest("stop"), at(3s));
        const auto answers = setup.take<RespondToCaller>();
        CPPUNIT_ASSERT_EQUAL(size_t(2), answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("cut_off"), answers[0].outcome.reason);
        for (const char* part : { "stop", "cutOff", "version 7" })
            CPPUNIT_ASSERT(answers[0].outcome.message.find(part) != std::string::npos);
    }

    // Guards against work for servers that are gone and slots that belong to others by now.
    void expiredSharesAndSilentServersGetNoWork()
    {
        Setup setup({ makeRow("lookup") }, 1, 1);
        setup.router.setServers(makeServers(1, at(2s)), at(1s), setup.actions);
        setup.submit(makeRequest("lookup"), at(2s));
        CPPUNIT_ASSERT(setup.take<SendToServer>().empty());
        setup.router.setShares(makeShares(1, 1), at(3s), at(2s), setup.actions);
        setup.router.setServers(makeServers(1, at(100s)), at(3s), setup.actions);
        CPPUNIT_ASSERT(setup.take<SendToServer>().empty());
        setup.router.setShares(makeShares(1, 1), at(9s), at(3s), setup.actions);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.take<SendToServer>().size());
    }

    // Guards against new work for a server that leaves while the start is being recorded.
    void serverLeavingBetweenRecordAndSendGetsNothing()
    {
        Setup setup({ makeRow("order", false) }, 2, 1);
        const RequestHandle ticket = setup.submit(makeRequest("order"), at(1s));
        const ServerId chosen = setup.take<RecordStart>().at(0).server;
        auto views = makeServers(2, at(100s));
        for (TrackedServer& view : views)
            view.isLeaving = view.server == chosen;
        setup.router.setServers(views, at(1s), setup.actions);
        setup.router.onStartRecordResult(ticket, StartRecordResult::Granted, {}, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.take<SendToServer>().at(0).server != chosen);
    }

    // Guards against requests that circle between zones.
    void requestsGoToAnotherZoneOnce()
    {
        Setup setup({ makeRow("lookup") }, 0);
        setup.router.setForwardTargets({ { ZoneId("east"), 5 } });
        const RequestHandle ticket = setup.submit(makeRequest("lookup"), at(1s));
        CPPUNIT_ASSERT(setup.take<ForwardToZone>().at(0).zone == ZoneId("east"));
        setup.router.onForwardFailure(ticket, false, at(1s), setup.actions);
        setup.router.submit(makeRequest("lookup"), SubmitOrigin::Peer, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.actions.empty());
        setup.router.tick(at(3s), setup.actions);
        const auto answers = setup.take<RespondToCaller>();
        CPPUNIT_ASSERT_EQUAL(size_t(2), answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("no_server"), answers[0].outcome.reason);
    }

    // Guards against a planned stop that cuts off accepted requests.
    void drainingFinishesWhatWaits()
    {
        Setup setup({ makeRow("lookup") }, 1, 1);
        const RequestHandle running = setup.submit(makeRequest("lookup"), at(1s));
        setup.submit(makeRequest("lookup"), at(1s));
        setup.router.startDraining();
        setup.actions.clear();
        setup.submit(makeRequest("lookup"), at(1s));
        CPPUNIT_ASSERT_EQUAL(std::string("draining"), setup.take<RespondToCaller>().at(0).outcome.reason);
        setup.router.onServerResponse(running, 1, "", at(1s), setup.actions);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.take<SendToServer>().size());
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.router.requestsInProgress());
    }

    // Guards against a cell-wide limit that each host applies in full.
    void maxRunningIsSplitOverHosts()
    {
        Row row = makeRow("lookup");
        row.maxRunning = 5;
        size_t total = 0;
        for (uint32_t rank = 0; rank < 3; ++rank) {
            Setup setup({ row }, 3, 8);
            setup.router.setHostRank(rank, 3);
            for (int i = 0; i < 6; ++i)
                setup.submit(makeRequest("lookup"), at(1s));
            total += setup.take<SendToServer>().size();
        }
        CPPUNIT_ASSERT_EQUAL(size_t(5), total);
    }

    // Guards against requests that wait for a row that no longer exists.
    void removedRowIsAnswered()
    {
        Setup setup({ makeRow("lookup"), makeRow("other") }, 1, 1);
        const RequestHandle running = setup.submit(makeRequest("lookup"), at(1s));
        setup.submit(makeRequest("lookup"), at(1s));
        setup.actions.clear();
        setup.router.setTable({ makeRow("other") }, 8, at(1s), setup.actions);
        CPPUNIT_ASSERT_EQUAL(std::string("row_removed"), setup.take<RespondToCaller>().at(0).outcome.reason);
        setup.router.onServerResponse(running, 1, "", at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.take<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Done);
        setup.submit(makeRequest("lookup"), at(1s));
        CPPUNIT_ASSERT(setup.take<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Refused);
    }

    // Guards against a server that fails at once, looks idle and attracts the work of all.
    void failingServerGetsProbesOnly()
    {
        Setup setup({ makeRow("lookup") }, 3, 8);
        TimePoint now = at(1s);
        size_t sentToBroken = 0;
        for (int i = 0; i < 2000; ++i) {
            now += 1ms;
            setup.submit(makeRequest("lookup"), now);
            setup.router.tick(now, setup.actions);
            for (const SendToServer& sent : setup.take<SendToServer>()) {
                if (sent.server == serverName(0)) {
                    ++sentToBroken;
                    setup.router.onSendFailure(sent.handle, sent.attempt, true, now, setup.actions);
                } else {
                    setup.router.onServerResponse(sent.handle, sent.attempt, "", now, setup.actions);
                }
            }
        }
        // Four failures before the probation, then probes after 50, 100, 200, 400, 800 and 1,600 ms.
        CPPUNIT_ASSERT(sentToBroken <= 12);
        CPPUNIT_ASSERT(setup.router.serversOnProbation() == std::vector { serverName(0) });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace hickoryknot

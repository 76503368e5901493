#include <cppunit/extensions/HelperMacros.h>

#include "RouterFixture.h"

namespace hickoryknot {

using namespace routertest;

class RouterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(repeatableRequestIsRetriedOnAnotherServer);
    CPPUNIT_TEST(nonRepeatableRequestIsRecordedBeforeSend);
    CPPUNIT_TEST(nonRepeatableRequestIsNotRetriedIfItMayHaveRun);
    CPPUNIT_TEST(nonRepeatableRequestIsRetriedAfterRejection);
    CPPUNIT_TEST(startRecordedAfterDeadlineGetsOutcome);
    CPPUNIT_TEST(resendIsUnknownIfHomeIsUnreachable);
    CPPUNIT_TEST(deadlineWhileRunningEndsAsUnknown);
    CPPUNIT_TEST(lateAndDuplicateResponsesAreDropped);
    CPPUNIT_TEST(waitBoundAndQueueBoundEndAsNotRun);
    CPPUNIT_TEST(unreachableDeadlineIsRejectedAtAdmission);
    CPPUNIT_TEST(serviceTimeEstimateExpires);
    CPPUNIT_TEST(zeroRetryBudgetDisablesRetries);
    CPPUNIT_TEST(expiredTableLeaseServesOnlyKeepRows);
    CPPUNIT_TEST(expiredSharesAndSilentServersAreNotUsed);
    CPPUNIT_TEST(serverLeavingDuringStartRecordIsNotUsed);
    CPPUNIT_TEST(requestsAreForwardedOnce);
    CPPUNIT_TEST(drainingFinishesAdmittedRequests);
    CPPUNIT_TEST(maxRunningIsDividedAmongHosts);
    CPPUNIT_TEST(requestsOfRemovedRowEnd);
    CPPUNIT_TEST(failingServerGetsProbesOnly);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a retry on the server that failed the request.
    void repeatableRequestIsRetriedOnAnotherServer()
    {
        Setup setup({ makeRow("lookup") });
        const RequestHandle handle = setup.submit(makeRequest("lookup"), at(1s));
        const auto first = setup.drain<SendToServer>();
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.size());
        setup.router.onSendFailure(handle, 1, true, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.actions.empty());
        setup.router.tick(at(1100ms), setup.actions);
        const auto second = setup.drain<SendToServer>();
        CPPUNIT_ASSERT_EQUAL(size_t(1), second.size());
        CPPUNIT_ASSERT_EQUAL(uint32_t(2), second[0].attempt);
        CPPUNIT_ASSERT(first[0].server != second[0].server);
        setup.router.onServerResponse(handle, 2, "body", at(1200ms), setup.actions);
        const auto responses = setup.drain<RespondToCaller>();
        CPPUNIT_ASSERT_EQUAL(size_t(1), responses.size());
        CPPUNIT_ASSERT(responses[0].outcome.kind == OutcomeKind::Done && responses[0].outcome.response == "body");
    }

    // Guards against a send before the start is recorded, and a response before the outcome is recorded.
    void nonRepeatableRequestIsRecordedBeforeSend()
    {
        Setup setup({ makeRow("order", false) });
        const RequestHandle handle = setup.submit(makeRequest("order"), at(1s));
        CPPUNIT_ASSERT_EQUAL(size_t(1), actionsOfType<RecordStart>(setup.actions).size());
        CPPUNIT_ASSERT(setup.drain<SendToServer>().empty());
        setup.router.onStartRecordResult(handle, StartRecordResult::Granted, {}, at(1s), setup.actions);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.drain<SendToServer>().size());
        setup.router.onServerResponse(handle, 1, "body", at(1s), setup.actions);
        CPPUNIT_ASSERT(actionsOfType<RespondToCaller>(setup.actions).empty());
        CPPUNIT_ASSERT(setup.drain<RecordOutcome>().at(0).outcome.kind == OutcomeKind::Done);
        setup.router.onOutcomeRecordFinished(handle, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.drain<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Done);
    }

    // Guards against a request that runs twice because its first server did not respond.
    void nonRepeatableRequestIsNotRetriedIfItMayHaveRun()
    {
        Setup setup({ makeRow("order", false) });
        const RequestHandle handle = setup.submit(makeRequest("order"), at(1s));
        setup.router.onStartRecordResult(handle, StartRecordResult::Granted, {}, at(1s), setup.actions);
        setup.actions.clear();
        setup.router.onSendFailure(handle, 1, true, at(1s), setup.actions);
        setup.router.tick(at(2s), setup.actions);
        CPPUNIT_ASSERT(actionsOfType<SendToServer>(setup.actions).empty());
        CPPUNIT_ASSERT(setup.drain<RecordOutcome>().at(0).outcome.kind == OutcomeKind::Unknown);
    }

    // Guards against failing a request that did not start on the server that rejected it.
    void nonRepeatableRequestIsRetriedAfterRejection()
    {
        Setup setup({ makeRow("order", false) });
        const RequestHandle handle = setup.submit(makeRequest("order"), at(1s));
        setup.router.onStartRecordResult(handle, StartRecordResult::Granted, {}, at(1s), setup.actions);
        setup.router.onServerRejection(handle, 1, at(1s), setup.actions);
        setup.actions.clear();
        setup.router.tick(at(1100ms), setup.actions);
        CPPUNIT_ASSERT(actionsOfType<RecordStart>(setup.actions).empty());
        CPPUNIT_ASSERT_EQUAL(uint32_t(2), setup.drain<SendToServer>().at(0).attempt);
    }

    // Guards against a start record without an outcome, which makes every resend end as unknown.
    void startRecordedAfterDeadlineGetsOutcome()
    {
        Setup setup({ makeRow("order", false) });
        const RequestHandle handle = setup.submit(makeRequest("order", 1s), at(1s));
        setup.router.tick(at(2s), setup.actions);
        CPPUNIT_ASSERT(setup.drain<RespondToCaller>().at(0).outcome.kind == OutcomeKind::NotRun);
        setup.router.onStartRecordResult(handle, StartRecordResult::Granted, {}, at(2100ms), setup.actions);
        CPPUNIT_ASSERT(actionsOfType<SendToServer>(setup.actions).empty());
        const auto records = setup.drain<RecordOutcome>();
        CPPUNIT_ASSERT(records.at(0).outcome.kind == OutcomeKind::NotRun && !records[0].isAwaited);
    }

    // Guards against "not run" for a request that may have run in an earlier attempt through another host.
    void resendIsUnknownIfHomeIsUnreachable()
    {
        Setup setup({ makeRow("order", false) });
        auto resend = makeRequest("order");
        resend.attempt = 2;
        const RequestHandle handle = setup.submit(resend, at(1s));
        setup.router.onStartRecordResult(handle, StartRecordResult::Unavailable, {}, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.drain<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Unknown);

        const RequestHandle first = setup.submit(makeRequest("order"), at(1s));
        setup.router.onStartRecordResult(first, StartRecordResult::Unavailable, {}, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.drain<RespondToCaller>().at(0).outcome.kind == OutcomeKind::NotRun);
    }

    // Guards against "not run" for a request that may still be running on a server.
    void deadlineWhileRunningEndsAsUnknown()
    {
        Setup setup({ makeRow("lookup") });
        setup.submit(makeRequest("lookup", 1s), at(1s));
        setup.router.tick(at(2s), setup.actions);
        CPPUNIT_ASSERT(setup.drain<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Unknown);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.router.serverUsage().size());
    }

    // Guards against a second response, or the response of another send, after a retry or a deadline.
    void lateAndDuplicateResponsesAreDropped()
    {
        Setup setup({ makeRow("lookup") });
        const RequestHandle handle = setup.submit(makeRequest("lookup"), at(1s));
        setup.router.onSendFailure(handle, 1, true, at(1s), setup.actions);
        setup.router.tick(at(1100ms), setup.actions);
        setup.actions.clear();
        setup.router.onServerResponse(handle, 1, "late", at(1100ms), setup.actions);
        CPPUNIT_ASSERT(setup.actions.empty());
        setup.router.onServerResponse(handle, 2, "right", at(1100ms), setup.actions);
        setup.router.onServerResponse(handle, 2, "again", at(1100ms), setup.actions);
        CPPUNIT_ASSERT_EQUAL(
            std::string("right"), actionsOfType<RespondToCaller>(setup.actions).at(0).outcome.response);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.drain<RespondToCaller>().size());
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), setup.router.counts().lateResponsesDropped);
    }

    // Guards against unbounded queues and requests that wait forever.
    void waitBoundAndQueueBoundEndAsNotRun()
    {
        Row row = makeRow("lookup");
        row.queueBound = 2;
        Setup setup({ row }, 1, 1);
        for (int i = 0; i < 4; ++i)
            setup.submit(makeRequest("lookup"), at(1s));
        CPPUNIT_ASSERT_EQUAL(std::string("queue_full"), setup.drain<RespondToCaller>().at(0).outcome.reason);
        setup.router.tick(at(2999ms), setup.actions);
        CPPUNIT_ASSERT(setup.actions.empty());
        setup.router.tick(at(3s), setup.actions);
        const auto responses = setup.drain<RespondToCaller>();
        CPPUNIT_ASSERT_EQUAL(size_t(2), responses.size());
        CPPUNIT_ASSERT(responses[0].outcome.kind == OutcomeKind::NotRun && responses[0].outcome.reason == "wait_bound");
    }

    // Guards against servers that process requests whose caller has timed out.
    void unreachableDeadlineIsRejectedAtAdmission()
    {
        Setup setup({ makeRow("lookup") }, 1, 1);
        const RequestHandle measured = setup.submit(makeRequest("lookup"), at(1s));
        setup.router.onServerResponse(measured, 1, "", at(1500ms), setup.actions);
        setup.actions.clear();
        setup.submit(makeRequest("lookup", 100ms), at(1600ms));
        const auto responses = setup.drain<RespondToCaller>();
        CPPUNIT_ASSERT(
            responses.at(0).outcome.kind == OutcomeKind::NotRun && responses[0].outcome.reason == "deadline");
    }

    // Guards against rejecting all requests of a row forever because of an old service time.
    void serviceTimeEstimateExpires()
    {
        Setup setup({ makeRow("lookup") }, 1, 1);
        const RequestHandle measured = setup.submit(makeRequest("lookup"), at(1s));
        setup.router.onServerResponse(measured, 1, "", at(1500ms), setup.actions);
        setup.actions.clear();
        setup.submit(makeRequest("lookup", 100ms), at(2600ms));
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.drain<SendToServer>().size());
    }

    // Guards against retries that the table does not allow.
    void zeroRetryBudgetDisablesRetries()
    {
        Row row = makeRow("lookup");
        row.retryBudgetPercent = 0;
        Setup setup({ row });
        const RequestHandle handle = setup.submit(makeRequest("lookup"), at(1s));
        setup.router.onServerRejection(handle, 1, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.drain<RespondToCaller>().at(0).outcome.kind == OutcomeKind::NotRun);
    }

    // Guards against serving under an old table, also if the host was paused beyond its table lease.
    void expiredTableLeaseServesOnlyKeepRows()
    {
        Row keep = makeRow("keep");
        keep.cutOff = CutOffRule::Keep;
        Setup setup({ makeRow("stop"), keep }, 1, 1);
        setup.router.setTableLease({ .expiry = at(3s), .tableVersion = 7 }, at(1s), setup.actions);
        setup.submit(makeRequest("keep"), at(1s));
        setup.submit(makeRequest("stop"), at(1500ms));
        CPPUNIT_ASSERT(setup.drain<RespondToCaller>().empty());
        CPPUNIT_ASSERT(setup.router.nextTick().value() <= at(3s));
        setup.router.tick(at(3s), setup.actions);
        setup.submit(makeRequest("stop"), at(3s));
        const auto responses = setup.drain<RespondToCaller>();
        CPPUNIT_ASSERT_EQUAL(size_t(2), responses.size());
        CPPUNIT_ASSERT_EQUAL(std::string("cut_off"), responses[0].outcome.reason);
        for (const char* part : { "stop", "cutOff", "version 7" })
            CPPUNIT_ASSERT(responses[0].outcome.message.find(part) != std::string::npos);
    }

    // Guards against sends to silent servers, and in slots whose lease has expired.
    void expiredSharesAndSilentServersAreNotUsed()
    {
        Setup setup({ makeRow("lookup") }, 1, 1);
        setup.router.setServers(makeServers(1, at(2s)), at(1s), setup.actions);
        setup.submit(makeRequest("lookup"), at(2s));
        CPPUNIT_ASSERT(setup.drain<SendToServer>().empty());
        setup.router.setShares(makeShares(1, 1), at(3s), at(2s), setup.actions);
        setup.router.setServers(makeServers(1, at(100s)), at(3s), setup.actions);
        CPPUNIT_ASSERT(setup.drain<SendToServer>().empty());
        setup.router.setShares(makeShares(1, 1), at(9s), at(3s), setup.actions);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.drain<SendToServer>().size());
    }

    // Guards against a send to a server that starts to leave while the start is being recorded.
    void serverLeavingDuringStartRecordIsNotUsed()
    {
        Setup setup({ makeRow("order", false) }, 2, 1);
        const RequestHandle handle = setup.submit(makeRequest("order"), at(1s));
        const ServerId chosen = setup.drain<RecordStart>().at(0).server;
        auto trackedServers = makeServers(2, at(100s));
        for (TrackedServer& tracked : trackedServers)
            tracked.isLeaving = tracked.server == chosen;
        setup.router.setServers(trackedServers, at(1s), setup.actions);
        setup.router.onStartRecordResult(handle, StartRecordResult::Granted, {}, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.drain<SendToServer>().at(0).server != chosen);
    }

    // Guards against forwarding loops between zones.
    void requestsAreForwardedOnce()
    {
        Setup setup({ makeRow("lookup") }, 0);
        setup.router.setForwardTargets({ { ZoneId("east"), 5 } });
        const RequestHandle handle = setup.submit(makeRequest("lookup"), at(1s));
        CPPUNIT_ASSERT(setup.drain<ForwardToZone>().at(0).zone == ZoneId("east"));
        setup.router.onForwardFailure(handle, false, at(1s), setup.actions);
        setup.router.submit(makeRequest("lookup"), SubmitOrigin::Peer, at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.actions.empty());
        setup.router.tick(at(3s), setup.actions);
        const auto responses = setup.drain<RespondToCaller>();
        CPPUNIT_ASSERT_EQUAL(size_t(2), responses.size());
        CPPUNIT_ASSERT_EQUAL(std::string("no_server"), responses[0].outcome.reason);
    }

    // Guards against a planned stop that drops admitted requests.
    void drainingFinishesAdmittedRequests()
    {
        Setup setup({ makeRow("lookup") }, 1, 1);
        const RequestHandle running = setup.submit(makeRequest("lookup"), at(1s));
        setup.submit(makeRequest("lookup"), at(1s));
        setup.router.startDraining();
        setup.actions.clear();
        setup.submit(makeRequest("lookup"), at(1s));
        CPPUNIT_ASSERT_EQUAL(std::string("draining"), setup.drain<RespondToCaller>().at(0).outcome.reason);
        setup.router.onServerResponse(running, 1, "", at(1s), setup.actions);
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.drain<SendToServer>().size());
        CPPUNIT_ASSERT_EQUAL(size_t(1), setup.router.requestsInProgress());
    }

    // Guards against each host applying the whole cell-wide limit.
    void maxRunningIsDividedAmongHosts()
    {
        Row row = makeRow("lookup");
        row.maxRunning = 5;
        size_t total = 0;
        for (uint32_t rank = 0; rank < 3; ++rank) {
            Setup setup({ row }, 3, 8);
            setup.router.setHostRank(rank, 3);
            for (int i = 0; i < 6; ++i)
                setup.submit(makeRequest("lookup"), at(1s));
            total += setup.drain<SendToServer>().size();
        }
        CPPUNIT_ASSERT_EQUAL(size_t(5), total);
    }

    // Guards against requests that wait in a row that was removed from the table.
    void requestsOfRemovedRowEnd()
    {
        Setup setup({ makeRow("lookup"), makeRow("other") }, 1, 1);
        const RequestHandle running = setup.submit(makeRequest("lookup"), at(1s));
        setup.submit(makeRequest("lookup"), at(1s));
        setup.actions.clear();
        setup.router.setTable({ makeRow("other") }, 8, at(1s), setup.actions);
        CPPUNIT_ASSERT_EQUAL(std::string("row_removed"), setup.drain<RespondToCaller>().at(0).outcome.reason);
        setup.router.onServerResponse(running, 1, "", at(1s), setup.actions);
        CPPUNIT_ASSERT(setup.drain<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Done);
        setup.submit(makeRequest("lookup"), at(1s));
        CPPUNIT_ASSERT(setup.drain<RespondToCaller>().at(0).outcome.kind == OutcomeKind::Refused);
    }

    // Guards against a server that fails all requests immediately, so looks idle and attracts all of them.
    void failingServerGetsProbesOnly()
    {
        Setup setup({ makeRow("lookup") }, 3, 8);
        TimePoint now = at(1s);
        size_t sentToFailing = 0;
        for (int i = 0; i < 2000; ++i) {
            now += 1ms;
            setup.submit(makeRequest("lookup"), now);
            setup.router.tick(now, setup.actions);
            for (const SendToServer& sent : setup.drain<SendToServer>()) {
                if (sent.server == serverName(0)) {
                    ++sentToFailing;
                    setup.router.onSendFailure(sent.handle, sent.attempt, true, now, setup.actions);
                } else {
                    setup.router.onServerResponse(sent.handle, sent.attempt, "", now, setup.actions);
                }
            }
        }
        // Four failures until the probation, then probes after 50, 100, 200, 400, 800 and 1,600 ms.
        CPPUNIT_ASSERT(sentToFailing <= 12);
        CPPUNIT_ASSERT(setup.router.serversOnProbation() == std::vector { serverName(0) });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace hickoryknot

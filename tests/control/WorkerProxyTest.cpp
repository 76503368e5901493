#include <cppunit/extensions/HelperMacros.h>
#include <random>

#include "LoopbackHost.h"
#include "app/SteadyTime.h"
#include "control/HostAddress.h"
#include "control/HostMessageLinks.h"
#include "control/WorkerProxy.h"
#include "control/WorkerProxyDispatcher.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// Responds to every request immediately, or never.
class FakeWorkerClient final : public WorkerClient {
public:
    bool isSilent { false };
    std::vector<StartRunRequest> starts;
    std::vector<PollRequest> polls;

    void start(const StartRunRequest& request, RequestCompletion completion) override
    {
        starts.push_back(request);
        if (!isSilent)
            completion(
                { .status = WorkerRequestStatus::Done, .clock = 7, .startTimeMs = request.incarnation.startTimeMs });
    }
    void stop(const StopRunRequest&, RequestCompletion completion) override
    {
        if (!isSilent)
            completion({ .status = WorkerRequestStatus::Outdated });
    }
    void poll(const PollRequest& request, PollCompletion completion) override
    {
        polls.push_back(request);
        if (isSilent)
            return;
        PollResponse response { .clock = 9, .startTimeMs = 1, .running = {}, .ended = {} };
        response.running.push_back(
            { .run = { .task = { .step = { WorkflowId("w"), 0, 1 }, .index = 2 }, .run = 3 }, .checkpoint = "c" });
        response.ended.push_back({ .number = 4, .run = {}, .outcome = RunOutcome::Failed, .checkpoint = {} });
        response.ended.back().run.task.step.workflow = WorkflowId("w");
        completion(std::move(response));
    }
};

StartRunRequest startOn(const std::string& worker, const std::string& command, uint64_t fence)
{
    return { .incarnation = { .worker = WorkerId(worker), .startTimeMs = 1, .address = "10.0.0.1:1" },
        .run = { .task = { .step = { WorkflowId("0123456789abcdef"), 0, 0 }, .index = 1 }, .run = 1 },
        .command = command,
        .checkpoint = {},
        .permissionToken = "ticket",
        .leaseUntil = 1000,
        .fence = fence };
}

} // namespace

class WorkerProxyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerProxyTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(corruptMessagesAreRejected);
    CPPUNIT_TEST(leaderCallsFewWorkersDirectly);
    CPPUNIT_TEST(proxiesCallManyWorkers);
    CPPUNIT_TEST(requestsForAWorkerUseOneProxy);
    CPPUNIT_TEST(unresponsiveProxyYieldsNoResponse);
    CPPUNIT_TEST(unreachableProxyGetsNoRequests);
    CPPUNIT_TEST(requestsOfEarlierLeaderAreDropped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t manyWorkers = 1000;

    boost::asio::io_context m_io;
    struct Host {
        Host(boost::asio::io_context& io, const HostId& id)
            : self(id)
            , links(io)
            , dispatcher(io, self, links, workers)
            , proxy(io, self, links, workers)
        {
            CPPUNIT_ASSERT(links.listen(*endpointOf(self)));
        }

        HostId self;
        FakeWorkerClient workers;
        HostMessageLinks links;
        WorkerProxyDispatcher dispatcher;
        WorkerProxy proxy;
    };

    template <typename Condition> void runUntil(Condition isDone)
    {
        const TimePoint end = steadyNow() + 5s;
        while (!isDone()) {
            CPPUNIT_ASSERT_MESSAGE("took too long", steadyNow() < end);
            m_io.run_one_for(5ms);
            m_io.restart();
        }
    }

    // Guards against fields that are encoded and decoded differently.
    void messagesRoundTrip()
    {
        WorkerRequestBatch requests { .leader = HostId("a:1"), .fence = 5, .commands = { "one", "two" } };
        requests.starts.push_back({ .requestId = 1, .request = startOn("w1", {}, 0), .commandIndex = 1 });
        requests.stops.push_back(
            { .requestId = 2, .request = { .incarnation = requests.starts[0].request.incarnation, .run = {} } });
        requests.stops[0].request.run.task.step.workflow = WorkflowId("x");
        requests.polls.push_back({ .requestId = 3,
            .request = { .incarnation = requests.starts[0].request.incarnation,
                .lastRecordedEnd = 6,
                .leaseUntil = 77,
                .maxWait = 1s } });
        const auto decoded = decodeWorkerRequests(encodeWorkerRequests(requests));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), decoded->starts[0].request.command);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 5 }, decoded->starts[0].request.fence);
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"), decoded->starts[0].request.permissionToken);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 5 }, decoded->stops[0].request.fence);
        CPPUNIT_ASSERT_EQUAL(WorkerClockMs { 77 }, *decoded->polls[0].request.leaseUntil);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 6 }, decoded->polls[0].request.lastRecordedEnd);
        CPPUNIT_ASSERT(decoded->polls[0].request.maxWait == 1s);

        WorkerResponseBatch responses { .proxy = HostId("b:1"), .fence = 5 };
        responses.runResults.push_back(
            { 1, { .status = WorkerRequestStatus::NoCapacity, .clock = 8, .startTimeMs = std::nullopt } });
        responses.pollResults.push_back(
            { 2, { .clock = 8, .startTimeMs = std::nullopt, .running = {}, .ended = {}, .hasMoreEnds = true } });
        responses.pollFailures.push_back({ 3, { ErrorCode::Conflict, "another incarnation" } });
        const auto decodedResponses = decodeWorkerResponses(encodeWorkerResponses(responses));
        CPPUNIT_ASSERT(decodedResponses);
        CPPUNIT_ASSERT(WorkerRequestStatus::NoCapacity == decodedResponses->runResults[0].response.status);
        CPPUNIT_ASSERT_EQUAL(WorkerClockMs { 8 }, *decodedResponses->runResults[0].response.clock);
        CPPUNIT_ASSERT(!decodedResponses->runResults[0].response.startTimeMs);
        CPPUNIT_ASSERT(decodedResponses->pollResults[0].response.hasMoreEnds);
        CPPUNIT_ASSERT(ErrorCode::Conflict == decodedResponses->pollFailures[0].error.code);
    }

    // Guards against acting on a truncated or corrupted message.
    void corruptMessagesAreRejected()
    {
        WorkerRequestBatch requests { .leader = HostId("a:1"), .fence = 5, .commands = { "one" } };
        requests.starts.push_back({ .requestId = 1, .request = startOn("w1", {}, 0), .commandIndex = 0 });
        const std::string encoded = encodeWorkerRequests(requests);
        std::mt19937 random(1);
        for (size_t length = 0; length < encoded.size(); ++length)
            CPPUNIT_ASSERT(!decodeWorkerRequests(encoded.substr(0, length)));
        for (int i = 0; i < 2000; ++i) {
            std::string corrupted = encoded;
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
            if (const auto decoded = decodeWorkerRequests(corrupted))
                CPPUNIT_ASSERT_EQUAL(size_t { 1 }, decoded->starts.size());
            decodeWorkerResponses(corrupted);
        }
        requests.starts[0].commandIndex = 1;
        CPPUNIT_ASSERT(!decodeWorkerRequests(encodeWorkerRequests(requests)));
    }

    // Guards against an extra hop where the leader has the capacity to call all workers itself.
    void leaderCallsFewWorkersDirectly()
    {
        Host leader(m_io, loopbackHost(1));
        leader.dispatcher.beginLeadership(5);
        leader.dispatcher.onProxyHeartbeat(loopbackHost(2), steadyNow());
        leader.dispatcher.setWorkerCount(10);
        bool isDone = false;
        leader.dispatcher.start(startOn("w", "c", 5), [&](const RunResponse&) { isDone = true; });
        CPPUNIT_ASSERT(isDone);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, leader.workers.starts.size());
    }

    // Guards against lost requests and against responses that are matched to the wrong request by the proxy.
    void proxiesCallManyWorkers()
    {
        Host leader(m_io, loopbackHost(1));
        Host proxy(m_io, loopbackHost(2));
        leader.dispatcher.beginLeadership(5);
        leader.dispatcher.setWorkerCount(manyWorkers);
        leader.dispatcher.onProxyHeartbeat(proxy.self, steadyNow());
        int completed = 0;
        for (int i = 0; i < 20; ++i) {
            const std::string command = i < 10 ? "first" : "second";
            leader.dispatcher.start(startOn("w" + std::to_string(i), command, 5), [&](const RunResponse& response) {
                CPPUNIT_ASSERT(WorkerRequestStatus::Done == response.status);
                ++completed;
            });
        }
        leader.dispatcher.stop(
            { .incarnation = startOn("w", "", 5).incarnation, .run = startOn("w", "", 5).run, .fence = 5 },
            [&](const RunResponse& response) {
                CPPUNIT_ASSERT(WorkerRequestStatus::Outdated == response.status);
                ++completed;
            });
        leader.dispatcher.poll(
            { .incarnation = startOn("w", "", 5).incarnation, .fence = 5 }, [&](Expected<PollResponse> response) {
                CPPUNIT_ASSERT(response);
                CPPUNIT_ASSERT_EQUAL(std::string("c"), response->running.at(0).checkpoint);
                CPPUNIT_ASSERT_EQUAL(uint64_t { 4 }, response->ended.at(0).number);
                ++completed;
            });
        runUntil([&] { return completed == 22; });
        CPPUNIT_ASSERT(leader.workers.starts.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 20 }, proxy.workers.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("first"), proxy.workers.starts.front().command);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), proxy.workers.starts.back().command);
    }

    // Guards against a stop that reaches the worker before the start of the same run, through another proxy.
    void requestsForAWorkerUseOneProxy()
    {
        Host leader(m_io, loopbackHost(1));
        const TimePoint now = steadyNow();
        leader.dispatcher.beginLeadership(5);
        leader.dispatcher.setWorkerCount(manyWorkers);
        for (int i = 2; i < 7; ++i)
            leader.dispatcher.onProxyHeartbeat(loopbackHost(i), now);
        std::map<HostId, int> workersPerProxy;
        std::map<WorkerId, HostId> assignedProxies;
        for (int i = 0; i < 350; ++i) {
            const WorkerId worker("w" + std::to_string(i));
            assignedProxies[worker] = leader.dispatcher.proxyFor(worker, now);
            CPPUNIT_ASSERT(assignedProxies[worker] == leader.dispatcher.proxyFor(worker, now));
            ++workersPerProxy[assignedProxies[worker]];
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 5 }, workersPerProxy.size());
        for (const auto& [proxy, count] : workersPerProxy)
            CPPUNIT_ASSERT_MESSAGE(proxy.value() + " has " + std::to_string(count), count > 35 && count < 105);
        // An additional proxy takes over workers, but none moves between the earlier proxies.
        leader.dispatcher.onProxyHeartbeat(loopbackHost(7), now);
        for (const auto& [worker, proxy] : assignedProxies) {
            const HostId after = leader.dispatcher.proxyFor(worker, now);
            CPPUNIT_ASSERT(after == proxy || after == loopbackHost(7));
        }
    }

    // Guards against treating a start that may have been executed as not executed.
    void unresponsiveProxyYieldsNoResponse()
    {
        Host leader(m_io, loopbackHost(1));
        Host proxy(m_io, loopbackHost(2));
        proxy.workers.isSilent = true;
        leader.dispatcher.beginLeadership(5);
        leader.dispatcher.setWorkerCount(manyWorkers);
        leader.dispatcher.onProxyHeartbeat(proxy.self, steadyNow());
        std::optional<RunResponse> response;
        leader.dispatcher.start(startOn("w", "c", 5), [&](const RunResponse& value) { response = value; });
        // Also guards against a worker that gets no work because its long poll, sent through a proxy that is cut off,
        // is only given up at its own timeout.
        bool hasPollEnded = false;
        const PollRequest longPoll {
            .incarnation = startOn("v", "c", 5).incarnation, .fence = 5, .leaseUntil = {}, .maxWait = 5s
        };
        leader.dispatcher.poll(longPoll, [&](const Expected<PollResponse>& value) { hasPollEnded = !value; });
        runUntil([&] { return response.has_value() && hasPollEnded; });
        CPPUNIT_ASSERT(WorkerRequestStatus::NoResponse == response->status);
        // The proxy is not used for a while.
        CPPUNIT_ASSERT(leader.dispatcher.proxyFor(WorkerId("w"), steadyNow()).isEmpty());
    }

    // Guards against requests that stay queued for a host that is down.
    void unreachableProxyGetsNoRequests()
    {
        Host leader(m_io, loopbackHost(1));
        leader.dispatcher.beginLeadership(5);
        leader.dispatcher.setWorkerCount(manyWorkers);
        leader.dispatcher.onProxyHeartbeat(loopbackHost(9), steadyNow());
        std::vector<WorkerRequestStatus> statuses;
        const auto collect = [&](const RunResponse& response) { statuses.push_back(response.status); };
        leader.dispatcher.start(startOn("w", "c", 5), collect);
        runUntil([&] { return !statuses.empty(); });
        CPPUNIT_ASSERT(WorkerRequestStatus::NoResponse == statuses[0]);
        leader.dispatcher.start(startOn("w", "c", 5), collect);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, leader.workers.starts.size());
    }

    // Guards against executing late requests of a replaced leader.
    void requestsOfEarlierLeaderAreDropped()
    {
        Host proxy(m_io, loopbackHost(2));
        Host newLeader(m_io, loopbackHost(1));
        WorkerRequestBatch requests { .leader = newLeader.self, .fence = 6, .commands = { "c" } };
        requests.starts.push_back({ .requestId = 1, .request = startOn("w", {}, 0), .commandIndex = 0 });
        proxy.proxy.handleRequests(encodeWorkerRequests(requests));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, proxy.workers.starts.size());
        requests.fence = 5;
        proxy.proxy.handleRequests(encodeWorkerRequests(requests));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, proxy.workers.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerProxyTest);

} // namespace hickoryknot

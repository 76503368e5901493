#include <cppunit/extensions/HelperMacros.h>
#include <random>

#include "LoopbackHost.h"
#include "app/SteadyTime.h"
#include "control/CourierDispatcher.h"
#include "control/HostAddress.h"
#include "control/HostMessageLinks.h"
#include "control/OrderCourier.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// Answers every order at once, or never.
class FakeNetwork final : public WorkerClient {
public:
    bool isSilent { false };
    std::vector<StartRunRequest> starts;
    std::vector<PollRequest> looks;

    void start(const StartRunRequest& order, RequestCompletion completion) override
    {
        starts.push_back(order);
        if (!isSilent)
            completion(
                { .status = WorkerRequestStatus::Done, .clock = 7, .startTimeMs = order.incarnation.startTimeMs });
    }
    void stop(const StopRunRequest&, RequestCompletion completion) override
    {
        if (!isSilent)
            completion({ .status = WorkerRequestStatus::Outdated });
    }
    void poll(const PollRequest& order, PollCompletion completion) override
    {
        looks.push_back(order);
        if (isSilent)
            return;
        PollResponse answer { .clock = 9, .startTimeMs = 1, .running = {}, .ended = {} };
        answer.running.push_back(
            { .run = { .task = { .step = { WorkflowId("w"), 0, 1 }, .index = 2 }, .run = 3 }, .checkpoint = "c" });
        answer.ended.push_back({ .number = 4, .run = {}, .outcome = RunOutcome::Failed, .checkpoint = {} });
        answer.ended.back().run.task.step.workflow = WorkflowId("w");
        completion(std::move(answer));
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

class CourierTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CourierTest);
    CPPUNIT_TEST(ordersAndAnswersSurviveTheWire);
    CPPUNIT_TEST(randomBytesAreNoMessage);
    CPPUNIT_TEST(fewWorkersAreCalledByTheLeader);
    CPPUNIT_TEST(manyWorkersAreCalledByCouriers);
    CPPUNIT_TEST(allOrdersForAWorkerGoTheSameWay);
    CPPUNIT_TEST(silentCourierCountsAsNoAnswer);
    CPPUNIT_TEST(unreachableCourierTakesNothing);
    CPPUNIT_TEST(ordersOfAnEarlierLeaderAreDropped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t manyWorkers = 1000;

    boost::asio::io_context m_io;
    struct Side {
        Side(boost::asio::io_context& io, const HostId& id)
            : self(id)
            , links(io)
            , dispatcher(io, self, links, workers)
            , courier(io, self, links, workers)
        {
            CPPUNIT_ASSERT(links.listen(*endpointOf(self)));
        }

        HostId self;
        FakeNetwork workers;
        HostMessageLinks links;
        CourierDispatcher dispatcher;
        OrderCourier courier;
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

    // Guards against fields that one side writes and the other reads differently.
    void ordersAndAnswersSurviveTheWire()
    {
        CourierOrders orders { .leader = HostId("a:1"), .fence = 5, .commands = { "one", "two" } };
        orders.starts.push_back({ .number = 1, .order = startOn("w1", {}, 0), .command = 1 });
        orders.stops.push_back(
            { .number = 2, .order = { .incarnation = orders.starts[0].order.incarnation, .run = {} } });
        orders.stops[0].order.run.task.step.workflow = WorkflowId("x");
        orders.looks.push_back({ .number = 3,
            .order = { .incarnation = orders.starts[0].order.incarnation,
                .lastRecordedEnd = 6,
                .leaseUntil = 77,
                .maxWait = 1s } });
        const auto read = decodeCourierOrders(encodeCourierOrders(orders));
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), read->starts[0].order.command);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 5 }, read->starts[0].order.fence);
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"), read->starts[0].order.permissionToken);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 5 }, read->stops[0].order.fence);
        CPPUNIT_ASSERT_EQUAL(WorkerClockMs { 77 }, *read->looks[0].order.leaseUntil);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 6 }, read->looks[0].order.lastRecordedEnd);
        CPPUNIT_ASSERT(read->looks[0].order.maxWait == 1s);

        CourierAnswers answers { .courier = HostId("b:1"), .fence = 5 };
        answers.orders.push_back(
            { 1, { .status = WorkerRequestStatus::NoCapacity, .clock = 8, .startTimeMs = std::nullopt } });
        answers.failedLooks.push_back({ 3, { ErrorCode::Conflict, "another life" } });
        const auto back = decodeCourierAnswers(encodeCourierAnswers(answers));
        CPPUNIT_ASSERT(back);
        CPPUNIT_ASSERT(WorkerRequestStatus::NoCapacity == back->orders[0].answer.status);
        CPPUNIT_ASSERT_EQUAL(WorkerClockMs { 8 }, *back->orders[0].answer.clock);
        CPPUNIT_ASSERT(!back->orders[0].answer.startTimeMs);
        CPPUNIT_ASSERT(ErrorCode::Conflict == back->failedLooks[0].error.code);
    }

    // Guards against a message that is cut short or damaged being followed.
    void randomBytesAreNoMessage()
    {
        CourierOrders orders { .leader = HostId("a:1"), .fence = 5, .commands = { "one" } };
        orders.starts.push_back({ .number = 1, .order = startOn("w1", {}, 0), .command = 0 });
        const std::string good = encodeCourierOrders(orders);
        std::mt19937 random(1);
        for (size_t length = 0; length < good.size(); ++length)
            CPPUNIT_ASSERT(!decodeCourierOrders(good.substr(0, length)));
        for (int i = 0; i < 2000; ++i) {
            std::string bad = good;
            bad[random() % bad.size()] = static_cast<char>(random());
            if (const auto read = decodeCourierOrders(bad))
                CPPUNIT_ASSERT_EQUAL(size_t { 1 }, read->starts.size());
            decodeCourierAnswers(bad);
        }
        orders.starts[0].command = 1;
        CPPUNIT_ASSERT(!decodeCourierOrders(encodeCourierOrders(orders)));
    }

    // Guards against a hop more on deployments where the leader has room to call workers itself.
    void fewWorkersAreCalledByTheLeader()
    {
        Side leader(m_io, loopbackHost(1));
        leader.dispatcher.begin(5);
        leader.dispatcher.courierHeard(loopbackHost(2), steadyNow());
        leader.dispatcher.setWorkerCount(10);
        bool isDone = false;
        leader.dispatcher.start(startOn("w", "c", 5), [&](const RunResponse&) { isDone = true; });
        CPPUNIT_ASSERT(isDone);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, leader.workers.starts.size());
    }

    // Guards against orders that get lost, or answers that reach the wrong order, on their way through a courier.
    void manyWorkersAreCalledByCouriers()
    {
        Side leader(m_io, loopbackHost(1));
        Side courier(m_io, loopbackHost(2));
        leader.dispatcher.begin(5);
        leader.dispatcher.setWorkerCount(manyWorkers);
        leader.dispatcher.courierHeard(courier.self, steadyNow());
        int done = 0;
        for (int i = 0; i < 20; ++i) {
            const std::string command = i < 10 ? "first" : "second";
            leader.dispatcher.start(startOn("w" + std::to_string(i), command, 5), [&](const RunResponse& answer) {
                CPPUNIT_ASSERT(WorkerRequestStatus::Done == answer.status);
                ++done;
            });
        }
        leader.dispatcher.stop(
            { .incarnation = startOn("w", "", 5).incarnation, .run = startOn("w", "", 5).run, .fence = 5 },
            [&](const RunResponse& answer) {
                CPPUNIT_ASSERT(WorkerRequestStatus::Outdated == answer.status);
                ++done;
            });
        leader.dispatcher.poll(
            { .incarnation = startOn("w", "", 5).incarnation, .fence = 5 }, [&](Expected<PollResponse> answer) {
                CPPUNIT_ASSERT(answer);
                CPPUNIT_ASSERT_EQUAL(std::string("c"), answer->running.at(0).checkpoint);
                CPPUNIT_ASSERT_EQUAL(uint64_t { 4 }, answer->ended.at(0).number);
                ++done;
            });
        runUntil([&] { return done == 22; });
        CPPUNIT_ASSERT(leader.workers.starts.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 20 }, courier.workers.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("first"), courier.workers.starts.front().command);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), courier.workers.starts.back().command);
    }

    // Guards against a stop that overtakes the start of the same run on another host's connections.
    void allOrdersForAWorkerGoTheSameWay()
    {
        Side leader(m_io, loopbackHost(1));
        const TimePoint now = steadyNow();
        leader.dispatcher.begin(5);
        leader.dispatcher.setWorkerCount(manyWorkers);
        for (int i = 2; i < 7; ++i)
            leader.dispatcher.courierHeard(loopbackHost(i), now);
        std::map<HostId, int> share;
        std::map<WorkerId, HostId> before;
        for (int i = 0; i < 350; ++i) {
            const WorkerId worker("w" + std::to_string(i));
            before[worker] = leader.dispatcher.courierOf(worker, now);
            CPPUNIT_ASSERT(before[worker] == leader.dispatcher.courierOf(worker, now));
            ++share[before[worker]];
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 5 }, share.size());
        for (const auto& [courier, count] : share)
            CPPUNIT_ASSERT_MESSAGE(courier.value() + " has " + std::to_string(count), count > 35 && count < 105);
        // One more courier takes workers from the others and moves none between them.
        leader.dispatcher.courierHeard(loopbackHost(7), now);
        for (const auto& [worker, courier] : before) {
            const HostId after = leader.dispatcher.courierOf(worker, now);
            CPPUNIT_ASSERT(after == courier || after == loopbackHost(7));
        }
    }

    // Guards against a start that may have been carried out being taken for one that surely was not.
    void silentCourierCountsAsNoAnswer()
    {
        Side leader(m_io, loopbackHost(1));
        Side courier(m_io, loopbackHost(2));
        courier.workers.isSilent = true;
        leader.dispatcher.begin(5);
        leader.dispatcher.setWorkerCount(manyWorkers);
        leader.dispatcher.courierHeard(courier.self, steadyNow());
        std::optional<RunResponse> answer;
        leader.dispatcher.start(startOn("w", "c", 5), [&](const RunResponse& value) { answer = value; });
        // Guards also against a worker in a sound zone that gets no work until the look through a courier that is cut
        // off has waited to its end.
        bool isLookOver = false;
        const PollRequest look {
            .incarnation = startOn("v", "c", 5).incarnation, .fence = 5, .leaseUntil = {}, .maxWait = 5s
        };
        leader.dispatcher.poll(look, [&](const Expected<PollResponse>& value) { isLookOver = !value; });
        runUntil([&] { return answer.has_value() && isLookOver; });
        CPPUNIT_ASSERT(WorkerRequestStatus::NoResponse == answer->status);
        // It gets nothing for a while.
        CPPUNIT_ASSERT(leader.dispatcher.courierOf(WorkerId("w"), steadyNow()).isEmpty());
    }

    // Guards against orders that wait for a host that is down.
    void unreachableCourierTakesNothing()
    {
        Side leader(m_io, loopbackHost(1));
        leader.dispatcher.begin(5);
        leader.dispatcher.setWorkerCount(manyWorkers);
        leader.dispatcher.courierHeard(loopbackHost(9), steadyNow());
        std::vector<WorkerRequestStatus> verdicts;
        const auto collect = [&](const RunResponse& answer) { verdicts.push_back(answer.status); };
        leader.dispatcher.start(startOn("w", "c", 5), collect);
        runUntil([&] { return !verdicts.empty(); });
        CPPUNIT_ASSERT(WorkerRequestStatus::NoResponse == verdicts[0]);
        leader.dispatcher.start(startOn("w", "c", 5), collect);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, leader.workers.starts.size());
    }

    // Guards against a replaced leader whose orders still come in.
    void ordersOfAnEarlierLeaderAreDropped()
    {
        Side courier(m_io, loopbackHost(2));
        Side newer(m_io, loopbackHost(1));
        CourierOrders orders { .leader = newer.self, .fence = 6, .commands = { "c" } };
        orders.starts.push_back({ .number = 1, .order = startOn("w", {}, 0), .command = 0 });
        courier.courier.take(encodeCourierOrders(orders));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, courier.workers.starts.size());
        orders.fence = 5;
        courier.courier.take(encodeCourierOrders(orders));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, courier.workers.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CourierTest);

} // namespace hickoryknot

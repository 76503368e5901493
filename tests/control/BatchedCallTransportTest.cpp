#include <cppunit/extensions/HelperMacros.h>

#include "LoopbackHost.h"
#include "app/SteadyTime.h"
#include "control/BatchedCallTransport.h"
#include "control/HostAddress.h"
#include "control/HostMessageLinks.h"

namespace hickoryknot {

class BatchedCallTransportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchedCallTransportTest);
    CPPUNIT_TEST(repliesMatchTheirCalls);
    CPPUNIT_TEST(timedOutCallMayHaveExecuted);
    CPPUNIT_TEST(callToUnreachableHostIsNotExecuted);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_io;

    struct Host {
        Host(boost::asio::io_context& io, const HostId& id, BatchedCallTransport::Handler handler)
            : links(io)
            , transport(io, id, links, std::move(handler))
        {
            CPPUNIT_ASSERT(links.listen(*endpointOf(id)));
        }

        HostMessageLinks links;
        BatchedCallTransport transport;
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

    static BatchedCallTransport::Handler echo()
    {
        return [](const ControlCall& call, const BatchedCallTransport::Respond& respond) {
            ControlReply reply;
            reply.status = ControlStatus::Done;
            reply.text = std::get<StatusCall>(call).address.path;
            respond(reply);
        };
    }

    // Guards against matching a reply to another call of the same batch.
    void repliesMatchTheirCalls()
    {
        Host client(m_io, loopbackHost(1), echo());
        Host server(m_io, loopbackHost(2), echo());
        constexpr int count = 100;
        int matchingReplies = 0;
        for (int i = 0; i < count; ++i) {
            const std::string path = "/queue/" + std::to_string(i);
            StatusCall call;
            call.address.path = path;
            client.transport.send(
                loopbackHost(2), call, 2s, [&matchingReplies, path](const CallTransport::Result& result) {
                    matchingReplies += result.reply && result.reply->text == path;
                });
        }
        runUntil([&] { return matchingReplies == count; });
    }

    // Guards against reporting a call as not executed that may still be executed.
    void timedOutCallMayHaveExecuted()
    {
        std::vector<BatchedCallTransport::Respond> pendingResponses;
        Host client(m_io, loopbackHost(1), echo());
        Host server(m_io, loopbackHost(2), [&](const ControlCall&, const BatchedCallTransport::Respond& respond) {
            pendingResponses.push_back(respond);
        });
        std::optional<CallTransport::Result> result;
        client.transport.send(
            loopbackHost(2), StatusCall {}, 100ms, [&](CallTransport::Result value) { result = std::move(value); });
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, pendingResponses.size());
        CPPUNIT_ASSERT(!result->reply && result->mayHaveExecuted);
        // A late reply is dropped.
        pendingResponses.front()({ .status = ControlStatus::Done });
        runUntil([end = steadyNow() + 50ms] { return steadyNow() > end; });
    }

    // Guards against reporting "may have been executed" whenever a host is down.
    void callToUnreachableHostIsNotExecuted()
    {
        Host client(m_io, loopbackHost(1), echo());
        std::optional<CallTransport::Result> first;
        client.transport.send(
            loopbackHost(9), StatusCall {}, 100ms, [&](CallTransport::Result value) { first = std::move(value); });
        runUntil([&] { return first.has_value(); });
        // The link has just failed, so it rejects further messages for a while.
        std::optional<CallTransport::Result> second;
        runUntil([&] {
            if (second && !second->mayHaveExecuted)
                return true;
            client.transport.send(
                loopbackHost(9), StatusCall {}, 20ms, [&](CallTransport::Result value) { second = std::move(value); });
            const TimePoint next = steadyNow() + 10ms;
            runUntil([next] { return steadyNow() > next; });
            return false;
        });
        CPPUNIT_ASSERT(!second->reply);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchedCallTransportTest);

} // namespace hickoryknot

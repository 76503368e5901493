#include <cppunit/extensions/HelperMacros.h>

#include "LoopbackHost.h"
#include "app/SteadyTime.h"
#include "control/BatchedCallTransport.h"
#include "control/HostAddress.h"
#include "control/HostMessageLinks.h"

namespace hickoryknot {

class CallRelayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallRelayTest);
    CPPUNIT_TEST(repliesReachTheirCalls);
    CPPUNIT_TEST(silenceMayHaveRun);
    CPPUNIT_TEST(unreachableHostSurelyDidNothing);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_io;

    struct Side {
        Side(boost::asio::io_context& io, const HostId& id, BatchedCallTransport::Handler server)
            : links(io)
            , relay(io, id, links, std::move(server))
        {
            CPPUNIT_ASSERT(links.listen(*endpointOf(id)));
        }

        HostMessageLinks links;
        BatchedCallTransport relay;
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

    // Guards against a caller that gets the reply to another one's call of the same batch.
    void repliesReachTheirCalls()
    {
        Side asking(m_io, loopbackHost(1), echo());
        Side serving(m_io, loopbackHost(2), echo());
        constexpr int count = 100;
        int right = 0;
        for (int i = 0; i < count; ++i) {
            const std::string path = "/queue/" + std::to_string(i);
            StatusCall call;
            call.address.path = path;
            asking.relay.send(loopbackHost(2), call, 2s, [&right, path](const CallTransport::Result& result) {
                right += result.reply && result.reply->text == path;
            });
        }
        runUntil([&] { return right == count; });
    }

    // Guards against a call that may yet be carried out being told as one that surely was not.
    void silenceMayHaveRun()
    {
        std::vector<BatchedCallTransport::Respond> kept;
        Side asking(m_io, loopbackHost(1), echo());
        Side serving(m_io, loopbackHost(2),
            [&](const ControlCall&, const BatchedCallTransport::Respond& respond) { kept.push_back(respond); });
        std::optional<CallTransport::Result> result;
        asking.relay.send(
            loopbackHost(2), StatusCall {}, 100ms, [&](CallTransport::Result value) { result = std::move(value); });
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, kept.size());
        CPPUNIT_ASSERT(!result->reply && result->mayHaveExecuted);
        // A reply that comes too late reaches nobody.
        kept.front()({ .status = ControlStatus::Done });
        runUntil([end = steadyNow() + 50ms] { return steadyNow() > end; });
    }

    // Guards against callers that are told "may have run" whenever a host is down.
    void unreachableHostSurelyDidNothing()
    {
        Side asking(m_io, loopbackHost(1), echo());
        std::optional<CallTransport::Result> first;
        asking.relay.send(
            loopbackHost(9), StatusCall {}, 100ms, [&](CallTransport::Result value) { first = std::move(value); });
        runUntil([&] { return first.has_value(); });
        // The link has just failed, so the next message is not taken.
        std::optional<CallTransport::Result> second;
        runUntil([&] {
            if (second && !second->mayHaveExecuted)
                return true;
            asking.relay.send(
                loopbackHost(9), StatusCall {}, 20ms, [&](CallTransport::Result value) { second = std::move(value); });
            const TimePoint next = steadyNow() + 10ms;
            runUntil([next] { return steadyNow() > next; });
            return false;
        });
        CPPUNIT_ASSERT(!second->reply);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallRelayTest);

} // namespace hickoryknot

#include "net/HttpFixture.h"
#include "net/MemoryBudget.h"

namespace hickoryknot {

class HttpServerTest : public CppUnit::TestFixture, HttpFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(rejectsOversizeBody);
    CPPUNIT_TEST(rejectsOversizeHeader);
    CPPUNIT_TEST(rejectsInvalidFraming);
    CPPUNIT_TEST(answersPipelinedRequestsBeforeInvalidInput);
    CPPUNIT_TEST(closesOnIncompleteRequest);
    CPPUNIT_TEST(survivesEarlyDisconnect);
    CPPUNIT_TEST(sendsOnlyTheFirstResponse);
    CPPUNIT_TEST(sendsErrorWhenResponderIsDestroyed);
    CPPUNIT_TEST(drainFinishesRequestInProgress);
    CPPUNIT_TEST(drainServesRequestInFlight);
    CPPUNIT_TEST(closesTheLongestIdleConnectionAtTheLimit);
    CPPUNIT_TEST(refusedRequestIsNotHandled);
    CPPUNIT_TEST(dropsUnfinishedRequestForAnother);
    CPPUNIT_TEST(dropsUnreadResponseForAnother);
    CPPUNIT_TEST(closesSlowReaderAtTheLimit);
    CPPUNIT_TEST(closesOnInputBeforeTheResponse);
    CPPUNIT_TEST(dropsHeadersWithLineBreaks);
    CPPUNIT_TEST(confirmsExpectContinue);
    CPPUNIT_TEST(reportsAddressInUse);
    CPPUNIT_TEST_SUITE_END();

    static bool contains(const std::string& text, const std::string& part)
    {
        return text.find(part) != std::string::npos;
    }

    // Guards against buffering a body without limit, with a content length and with chunked encoding.
    void rejectsOversizeBody()
    {
        serve(echo, { .maxBodyBytes = 10 });
        const auto byLength = rawExchange("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
        CPPUNIT_ASSERT(byLength.starts_with("HTTP/1.1 413 "));
        CPPUNIT_ASSERT(contains(byLength, "{\"error\":{\"code\":\"too_large\""));
        const auto chunked
            = rawExchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(chunked.starts_with("HTTP/1.1 413 "));
    }

    // Guards against buffering headers without limit.
    void rejectsOversizeHeader()
    {
        serve(echo, { .maxHeaderBytes = 256 });
        const auto response = rawExchange("GET / HTTP/1.1\r\nX: " + std::string(1000, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 431 "));
    }

    // Guards against accepting invalid input, or a body with two conflicting lengths, as a request.
    void rejectsInvalidFraming()
    {
        int handled = 0;
        serve([&](HttpRequest, HttpServer::Responder respond) {
            ++handled;
            respond({});
        });
        CPPUNIT_ASSERT(rawExchange("\x01\x02garbage\r\n\r\n").starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT(rawExchange("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n").starts_with("HTTP/1.1 400 "));
        const std::string twoLengths = "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        CPPUNIT_ASSERT(rawExchange(twoLengths + "0\r\n\r\n").starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT_EQUAL(0, handled);
    }

    // Guards against lost or reordered pipelined requests, and against invalid input that affects the requests before
    // it.
    void answersPipelinedRequestsBeforeInvalidInput()
    {
        serve(echo);
        const auto response = rawExchange("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nAPUT / HTTP/1.1\r\n"
                                          "Content-Length: 1\r\n\r\nB\x01\x01\x01\r\n\r\n");
        const auto first = response.find("POST A");
        const auto second = response.find("PUT B");
        const auto third = response.find("HTTP/1.1 400 ");
        CPPUNIT_ASSERT(first < second && second < third && third != std::string::npos);
        CPPUNIT_ASSERT(rawExchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200 "));
    }

    // Guards against connections that slow senders keep open forever.
    void closesOnIncompleteRequest()
    {
        serve(echo, { .readTimeout = 20ms, .idleTimeout = 20ms });
        CPPUNIT_ASSERT_EQUAL(std::string(), rawExchange("POST / HTTP/1.1\r\nContent-Le"));
        CPPUNIT_ASSERT_EQUAL(std::string(), rawExchange("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"));
        CPPUNIT_ASSERT_EQUAL(std::string(), rawExchange(""));
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, server->connections());
    }

    // Guards against using a connection after its peer has closed it, and against a request count that does not return
    // to zero.
    void survivesEarlyDisconnect()
    {
        std::vector<HttpServer::Responder> pendingResponders;
        serve([&](HttpRequest, HttpServer::Responder respond) { pendingResponders.push_back(std::move(respond)); });
        {
            auto socket = connectRaw();
            boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
            runUntil([&] { return !pendingResponders.empty(); });
            socket.set_option(boost::asio::socket_base::linger(true, 0));
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, server->requestsInProgress());
        pendingResponders.front()({ .body = std::string(1'000'000, 'x') });
        runUntil([&] { return server->connections() == 0; });
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, server->requestsInProgress());
        server.reset();
        pendingResponders.front()({ .body = "after the server" });
    }

    // Guards against a second response being matched to the next request.
    void sendsOnlyTheFirstResponse()
    {
        serve([&](HttpRequest request, HttpServer::Responder respond) {
            respond({ .body = "first " + request.body });
            respond({ .body = "second " + request.body });
        });
        HttpClient client(io, {});
        for (const std::string body : { "a", "b" }) {
            const auto result = exchange(client, { .method = "POST", .body = body });
            CPPUNIT_ASSERT_EQUAL("first " + body, result.response->body);
        }
    }

    // Guards against connections that hang because a handler destroyed its responder.
    void sendsErrorWhenResponderIsDestroyed()
    {
        serve([](HttpRequest, const HttpServer::Responder&) {});
        CPPUNIT_ASSERT(rawExchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 500 "));
    }

    // Guards against a drain that interrupts a request in progress.
    void drainFinishesRequestInProgress()
    {
        std::optional<HttpServer::Responder> pendingResponders;
        serve([&](HttpRequest, HttpServer::Responder respond) { pendingResponders = std::move(respond); },
            { .drainGrace = 0ms });
        auto busy = connectRaw();
        auto idle = connectRaw();
        boost::asio::write(busy, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        runUntil([&] { return pendingResponders && server->connections() == 2; });
        server->drain();
        CPPUNIT_ASSERT_EQUAL(std::string(), readToEnd(idle));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, server->connections());
        (*pendingResponders)({ .body = "whole" });
        const auto response = readToEnd(busy);
        CPPUNIT_ASSERT(response.ends_with("whole") && contains(response, "Connection: close"));
        boost::system::error_code refused;
        tcp::socket late(io);
        late.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() }, refused);
        CPPUNIT_ASSERT(refused);
    }

    // Guards against closing an idle connection while a request is in flight.
    void drainServesRequestInFlight()
    {
        serve(echo, { .drainGrace = 60s });
        auto socket = connectRaw();
        runUntil([&] { return server->connections() == 1; });
        server->drain();
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        CPPUNIT_ASSERT(contains(readToEnd(socket), "Connection: close"));
    }

    static std::shared_ptr<MemoryBudget> budget(size_t bytes)
    {
        return std::make_shared<MemoryBudget>(MemoryBudgetSettings { .poolBytes = { bytes, bytes, bytes } });
    }

    static std::string upload(size_t announced, size_t sent)
    {
        return "POST /x HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n"
            + std::string(sent, 'x');
    }

    // Guards against running out of file descriptors, against idle clients that lock out others, and against closing a
    // connection whose request is being handled.
    void closesTheLongestIdleConnectionAtTheLimit()
    {
        std::vector<HttpServer::Responder> responders;
        serve([&](HttpRequest, HttpServer::Responder respond) { responders.push_back(std::move(respond)); },
            { .maxConnections = 2 });
        auto busy = connectRaw();
        boost::asio::write(busy, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
        runUntil([&] { return responders.size() == 1; });
        auto idle = connectRaw();
        runUntil([&] { return server->connections() == 2; });
        auto third = connectRaw();
        CPPUNIT_ASSERT_EQUAL(std::string(), readToEnd(idle));
        boost::asio::write(third, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
        runUntil([&] { return responders.size() == 2; });
        // All are busy.
        auto fourth = connectRaw();
        const auto rejected = readToEnd(fourth);
        CPPUNIT_ASSERT(rejected.starts_with("HTTP/1.1 503 ") && contains(rejected, "Retry-After: 1"));
        for (auto& respond : responders)
            respond({});
        CPPUNIT_ASSERT(readToEnd(busy).starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(readToEnd(third).starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, server->counters().evictedConnections);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, server->counters().rejectedConnections);
    }

    // Guards against running a request that was refused, and against memory that stays charged.
    void refusedRequestIsNotHandled()
    {
        const auto memory = budget(400'000);
        std::vector<HttpServer::Responder> responders;
        serve([&](HttpRequest, HttpServer::Responder respond) { responders.push_back(std::move(respond)); },
            { .memory = memory });
        auto first = connectRaw();
        boost::asio::write(first, boost::asio::buffer(upload(300'000, 300'000)));
        runUntil([&] { return responders.size() == 1; });
        const auto refused = rawExchange(upload(300'000, 300'000));
        CPPUNIT_ASSERT(refused.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(refused, "Retry-After: 1") && contains(refused, "X-Not-Started: 1"));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, responders.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, server->counters().refusedRequests);
        responders.front()({});
        CPPUNIT_ASSERT(readToEnd(first).starts_with("HTTP/1.1 200 "));
        runUntil([&] { return server->connections() == 0; });
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, memory->heldBytes(MemoryPool::Clients));
    }

    // Guards against unfinished requests that keep ordinary ones out, and against charging what was only announced.
    void dropsUnfinishedRequestForAnother()
    {
        const auto memory = budget(400'000);
        serve(echo, { .memory = memory });
        auto announced = connectRaw();
        boost::asio::write(announced, boost::asio::buffer(upload(1'000'000, 10)));
        auto unfinished = connectRaw();
        boost::asio::write(unfinished, boost::asio::buffer(upload(400'000, 360'000)));
        runUntil([&] { return memory->heldBytes(MemoryPool::Clients) > 360'000; });
        CPPUNIT_ASSERT(rawExchange(upload(60'000, 60'000)).starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, server->counters().droppedConnections);
        runUntil([&] { return server->connections() == 1; });
        boost::asio::write(announced, boost::asio::buffer(std::string(300'000, 'x')));
        runUntil([&] { return memory->heldBytes(MemoryPool::Clients) > 300'000; });
    }

    // Guards against responses that accumulate for clients that do not read.
    void dropsUnreadResponseForAnother()
    {
        const auto memory = budget(9'000'000);
        serve([](HttpRequest, HttpServer::Responder respond) { respond({ .body = std::string(8'000'000, 'x') }); },
            { .memory = memory, .slowReaderGrace = 0ms });
        auto slow = connectRaw();
        boost::asio::write(slow, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        runUntil([&] { return memory->heldBytes(MemoryPool::Clients) > 8'000'000; });
        CPPUNIT_ASSERT(rawExchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n").size() > 8'000'000);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, server->counters().droppedConnections);
    }

    // Guards against clients that do not read and thereby occupy all connections.
    void closesSlowReaderAtTheLimit()
    {
        serve([](HttpRequest, HttpServer::Responder respond) { respond({ .body = std::string(8'000'000, 'x') }); },
            { .maxConnections = 1, .slowReaderGrace = 0ms });
        auto slow = connectRaw();
        boost::asio::write(slow, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        runUntil([&] { return server->requestsInProgress() == 1; });
        CPPUNIT_ASSERT(rawExchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n").size() > 8'000'000);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, server->counters().evictedConnections);
    }

    // Guards against input that piles up in the kernel while a request is handled, and against losing a request that
    // was sent ahead within the limit.
    void closesOnInputBeforeTheResponse()
    {
        std::vector<HttpServer::Responder> responders;
        serve([&](HttpRequest, HttpServer::Responder respond) { responders.push_back(std::move(respond)); });
        const std::string get = "GET / HTTP/1.1\r\n\r\n";
        auto polite = connectRaw();
        boost::asio::write(polite, boost::asio::buffer(get + get));
        runUntil([&] { return responders.size() == 1; });
        auto flood = connectRaw();
        boost::asio::write(flood, boost::asio::buffer(get + std::string(100'000, 'x')));
        runUntil([&] { return server->counters().droppedConnections == 1; });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, server->connections());
        responders.front()({});
        runUntil([&] { return responders.size() == 3; });
    }

    // Guards against response splitting through header values.
    void dropsHeadersWithLineBreaks()
    {
        serve([](HttpRequest, HttpServer::Responder respond) {
            respond({ .headers = { { "X-Bad", "a\r\nX-Evil: 1" }, { "X-Good", "b" } }, .body = "" });
        });
        const auto response = rawExchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(contains(response, "X-Good: b") && !contains(response, "X-Evil"));
    }

    // Guards against clients that wait a second for "100 Continue" before they send a large body.
    void confirmsExpectContinue()
    {
        serve(echo);
        auto socket = connectRaw();
        const std::string head
            = "POST / HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(head));
        runUntil([&] { return socket.available() > 0; });
        boost::asio::write(socket, boost::asio::buffer(std::string("ok")));
        const auto response = readToEnd(socket);
        CPPUNIT_ASSERT(
            response.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ") && response.ends_with("POST ok"));
    }

    // Guards against a host that runs without listening on its port.
    void reportsAddressInUse()
    {
        serve(echo);
        HttpServer second(io, { .listen = endpoint() }, echo);
        const auto result = second.start();
        CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::Unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace hickoryknot

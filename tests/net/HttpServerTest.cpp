#include "net/HttpFixture.h"

namespace hickoryknot {

class HttpServerTest : public CppUnit::TestFixture, HttpFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(refusesOversizeBody);
    CPPUNIT_TEST(refusesOversizeHeader);
    CPPUNIT_TEST(refusesBadFraming);
    CPPUNIT_TEST(answersPipelinedRequestsBeforeGarbage);
    CPPUNIT_TEST(closesHalfSentRequest);
    CPPUNIT_TEST(survivesEarlyDisconnect);
    CPPUNIT_TEST(answersOnceWhenRespondedTwice);
    CPPUNIT_TEST(answersWhenResponderIsDropped);
    CPPUNIT_TEST(drainFinishesRequestInProgress);
    CPPUNIT_TEST(drainAnswersRequestOnItsWay);
    CPPUNIT_TEST(turnsAwayConnectionsOverTheLimit);
    CPPUNIT_TEST(dropsHeadersThatWouldSplitTheAnswer);
    CPPUNIT_TEST(confirmsExpectContinue);
    CPPUNIT_TEST(reportsAddressInUse);
    CPPUNIT_TEST_SUITE_END();

    static bool contains(const std::string& text, const std::string& part)
    {
        return text.find(part) != std::string::npos;
    }

    // Guards against reading an unbounded body into memory, with a length and in chunks.
    void refusesOversizeBody()
    {
        serve(echo, { .maxBodyBytes = 10 });
        const auto byLength = rawExchange("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
        CPPUNIT_ASSERT(byLength.starts_with("HTTP/1.1 413 "));
        CPPUNIT_ASSERT(contains(byLength, "{\"error\":{\"code\":\"too_large\""));
        const auto chunked
            = rawExchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(chunked.starts_with("HTTP/1.1 413 "));
    }

    // Guards against unbounded headers.
    void refusesOversizeHeader()
    {
        serve(echo, { .maxHeaderBytes = 256 });
        const auto answer = rawExchange("GET / HTTP/1.1\r\nX: " + std::string(1000, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 431 "));
    }

    // Guards against treating garbage, or a body of two conflicting lengths, as a request.
    void refusesBadFraming()
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

    // Guards against lost or reordered pipelined requests, and against harm by what follows them.
    void answersPipelinedRequestsBeforeGarbage()
    {
        serve(echo);
        const auto answer = rawExchange("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nAPUT / HTTP/1.1\r\n"
                                        "Content-Length: 1\r\n\r\nB\x01\x01\x01\r\n\r\n");
        const auto first = answer.find("POST A");
        const auto second = answer.find("PUT B");
        const auto third = answer.find("HTTP/1.1 400 ");
        CPPUNIT_ASSERT(first < second && second < third && third != std::string::npos);
        CPPUNIT_ASSERT(rawExchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200 "));
    }

    // Guards against connections that slow senders occupy for ever.
    void closesHalfSentRequest()
    {
        serve(echo, { .readTimeout = 20ms, .idleTimeout = 20ms });
        CPPUNIT_ASSERT_EQUAL(std::string(), rawExchange("POST / HTTP/1.1\r\nContent-Le"));
        CPPUNIT_ASSERT_EQUAL(std::string(), rawExchange("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"));
        CPPUNIT_ASSERT_EQUAL(std::string(), rawExchange(""));
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, server->connections());
    }

    // Guards against use of a connection after its peer has gone, and against a count that never returns to zero.
    void survivesEarlyDisconnect()
    {
        std::vector<HttpServer::Responder> held;
        serve([&](HttpRequest, HttpServer::Responder respond) { held.push_back(std::move(respond)); });
        {
            auto socket = connectRaw();
            boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
            runUntil([&] { return !held.empty(); });
            socket.set_option(boost::asio::socket_base::linger(true, 0));
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, server->requestsInProgress());
        held.front()({ .body = std::string(1'000'000, 'x') });
        runUntil([&] { return server->connections() == 0; });
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, server->requestsInProgress());
        server.reset();
        held.front()({ .body = "after the server" });
    }

    // Guards against a second answer being taken for the answer to the next request.
    void answersOnceWhenRespondedTwice()
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

    // Guards against connections that hang because a handler lost its responder.
    void answersWhenResponderIsDropped()
    {
        serve([](HttpRequest, const HttpServer::Responder&) {});
        CPPUNIT_ASSERT(rawExchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 500 "));
    }

    // Guards against a planned stop that cuts off a request in progress.
    void drainFinishesRequestInProgress()
    {
        std::optional<HttpServer::Responder> held;
        serve([&](HttpRequest, HttpServer::Responder respond) { held = std::move(respond); }, { .drainGrace = 0ms });
        auto busy = connectRaw();
        auto idle = connectRaw();
        boost::asio::write(busy, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        runUntil([&] { return held && server->connections() == 2; });
        server->drain();
        CPPUNIT_ASSERT_EQUAL(std::string(), readToEnd(idle));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, server->connections());
        (*held)({ .body = "whole" });
        const auto answer = readToEnd(busy);
        CPPUNIT_ASSERT(answer.ends_with("whole") && contains(answer, "Connection: close"));
        boost::system::error_code refused;
        tcp::socket late(io);
        late.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() }, refused);
        CPPUNIT_ASSERT(refused);
    }

    // Guards against closing an idle connection under a request that was already on its way.
    void drainAnswersRequestOnItsWay()
    {
        serve(echo, { .drainGrace = 60s });
        auto socket = connectRaw();
        runUntil([&] { return server->connections() == 1; });
        server->drain();
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        CPPUNIT_ASSERT(contains(readToEnd(socket), "Connection: close"));
    }

    // Guards against running out of file descriptors, and against refusing without a reason.
    void turnsAwayConnectionsOverTheLimit()
    {
        serve(echo, { .maxConnections = 1 });
        auto first = connectRaw();
        runUntil([&] { return server->connections() == 1; });
        auto second = connectRaw();
        CPPUNIT_ASSERT(readToEnd(second).starts_with("HTTP/1.1 503 "));
    }

    // Guards against answer splitting by header values from outside.
    void dropsHeadersThatWouldSplitTheAnswer()
    {
        serve([](HttpRequest, HttpServer::Responder respond) {
            respond({ .headers = { { "X-Bad", "a\r\nX-Evil: 1" }, { "X-Good", "b" } }, .body = "" });
        });
        const auto answer = rawExchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(contains(answer, "X-Good: b") && !contains(answer, "X-Evil"));
    }

    // Guards against clients that wait a second for permission to send a large body.
    void confirmsExpectContinue()
    {
        serve(echo);
        auto socket = connectRaw();
        const std::string head
            = "POST / HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(head));
        runUntil([&] { return socket.available() > 0; });
        boost::asio::write(socket, boost::asio::buffer(std::string("ok")));
        const auto answer = readToEnd(socket);
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ") && answer.ends_with("POST ok"));
    }

    // Guards against a host that runs without its port.
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

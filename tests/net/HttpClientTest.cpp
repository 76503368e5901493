#include <array>

#include "net/HttpFixture.h"

namespace hickoryknot {

class HttpClientTest : public CppUnit::TestFixture, HttpFixture {
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(reusesOneConnection);
    CPPUNIT_TEST(queuesBeyondTheConnectionLimit);
    CPPUNIT_TEST(deadlineAppliesWhileWaiting);
    CPPUNIT_TEST(refusesBeyondTheWaitingLimit);
    CPPUNIT_TEST(deadlineMarksSentRequest);
    CPPUNIT_TEST(refusedConnectionIsNotSent);
    CPPUNIT_TEST(closedIdleConnectionIsNotUsed);
    CPPUNIT_TEST(vanishedServerCountsAsSent);
    CPPUNIT_TEST(refusesOversizeAnswer);
    CPPUNIT_TEST(refusesBadArguments);
    CPPUNIT_TEST(closesSurplusIdleConnections);
    CPPUNIT_TEST(closeEndsOpenRequests);
    CPPUNIT_TEST(destructionDropsCompletions);
    CPPUNIT_TEST(readsAnswerToHead);
    CPPUNIT_TEST_SUITE_END();

    static HttpRequest post(std::string body) { return { .method = "POST", .body = std::move(body) }; }

    // Guards against a new connection for each request.
    void reusesOneConnection()
    {
        serve(echo);
        HttpClient client(io, {});
        for (int i = 0; i < 5; ++i) {
            const auto result = exchange(client, post(std::to_string(i)));
            CPPUNIT_ASSERT_EQUAL("POST " + std::to_string(i), result.response->body);
            CPPUNIT_ASSERT(result.wasSent);
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, server->connections());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, client.connections(endpoint()));
    }

    // Guards against more connections than granted, and against answers that reach the wrong request.
    void queuesBeyondTheConnectionLimit()
    {
        size_t mostConnections = 0;
        serve([&](HttpRequest request, HttpServer::Responder respond) {
            mostConnections = std::max(mostConnections, server->connections());
            echo(std::move(request), std::move(respond));
        });
        HttpClient client(io, { .maxConnectionsPerEndpoint = 2 });
        int answered = 0;
        for (int i = 0; i < 20; ++i) {
            client.send(endpoint(), post(std::to_string(i)), 10s, [&, i](HttpClientResult result) {
                CPPUNIT_ASSERT_EQUAL("POST " + std::to_string(i), result.response->body);
                ++answered;
            });
        }
        runUntil([&] { return answered == 20; });
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, mostConnections);
    }

    // Guards against requests that wait for a connection beyond their deadline, or are sent after it.
    void deadlineAppliesWhileWaiting()
    {
        std::vector<HttpServer::Responder> held;
        serve([&](HttpRequest, HttpServer::Responder respond) { held.push_back(std::move(respond)); });
        HttpClient client(io, { .maxConnectionsPerEndpoint = 1 });
        client.send(endpoint(), post("first"), 60s, [](const HttpClientResult&) {});
        const auto result = exchange(client, post("second"), 10ms);
        CPPUNIT_ASSERT(result.response.error().code == ErrorCode::Timeout && !result.wasSent);
        CPPUNIT_ASSERT(held.size() <= 1);
    }

    // Guards against a queue that grows without bound.
    void refusesBeyondTheWaitingLimit()
    {
        serve([](HttpRequest, const HttpServer::Responder&) {});
        HttpClient client(io, { .maxConnectionsPerEndpoint = 1, .maxWaitingPerEndpoint = 1 });
        client.send(endpoint(), post("first"), 60s, [](const HttpClientResult&) {});
        client.send(endpoint(), post("second"), 60s, [](const HttpClientResult&) {});
        const auto result = exchange(client, post("third"));
        CPPUNIT_ASSERT(result.response.error().code == ErrorCode::Overloaded && !result.wasSent);
    }

    // Guards against "not run" for a request that a slow server may still run.
    void deadlineMarksSentRequest()
    {
        std::vector<HttpServer::Responder> held;
        serve([&](HttpRequest, HttpServer::Responder respond) { held.push_back(std::move(respond)); });
        HttpClient client(io, {});
        const auto result = exchange(client, post("x"), 20ms);
        CPPUNIT_ASSERT(result.response.error().code == ErrorCode::Timeout);
        // The write may not have begun when the deadline passed; a request that arrived was sent.
        CPPUNIT_ASSERT(result.wasSent || held.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, client.connections(endpoint()));
    }

    // Guards against "unknown" for a request that surely never left.
    void refusedConnectionIsNotSent()
    {
        serve(echo);
        const auto gone = endpoint();
        server.reset();
        HttpClient client(io, {});
        std::optional<HttpClientResult> result;
        client.send(gone, post("x"), 10s, [&](HttpClientResult r) { result = std::move(r); });
        CPPUNIT_ASSERT_MESSAGE("the completion ran inside send()", !result);
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->response.error().code == ErrorCode::Unavailable && !result->wasSent);
    }

    // Guards against writing into a connection that the peer closed while it was idle. The loop does not turn between
    // the close and the second request, so only the check before the write can tell.
    void closedIdleConnectionIsNotUsed()
    {
        tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        const Endpoint peer { "127.0.0.1", acceptor.local_endpoint().port() };
        HttpClient client(io, {});
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        for (int i = 0; i < 2; ++i) {
            std::optional<HttpClientResult> result;
            client.send(peer, post("x"), 10s, [&](HttpClientResult r) { result = std::move(r); });
            auto accepted = acceptor.accept();
            boost::asio::write(accepted, boost::asio::buffer(answer));
            runUntil([&] { return result.has_value(); });
            CPPUNIT_ASSERT(result->response.has_value());
            std::array<char, 4096> received {};
            accepted.receive(boost::asio::buffer(received));
        }
    }

    // Guards against "not run" when a server vanishes after it got the request.
    void vanishedServerCountsAsSent()
    {
        serve([&](HttpRequest, const HttpServer::Responder&) { server.reset(); });
        const auto peer = endpoint();
        HttpClient client(io, {});
        std::optional<HttpClientResult> result;
        client.send(peer, post("x"), 10s, [&](HttpClientResult r) { result = std::move(r); });
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->response.error().code == ErrorCode::Unavailable && result->wasSent);
    }

    // Guards against an unbounded answer in memory.
    void refusesOversizeAnswer()
    {
        serve(echo);
        HttpClient client(io, { .maxBodyBytes = 10 });
        const auto result = exchange(client, post("0123456789"));
        CPPUNIT_ASSERT(result.response.error().code == ErrorCode::TooLarge && result.wasSent);
    }

    // Guards against smuggled headers and name lookups.
    void refusesBadArguments()
    {
        serve(echo);
        HttpClient client(io, {});
        const auto isRefused = [&](HttpRequest request) {
            const auto result = exchange(client, std::move(request));
            return !result.response && result.response.error().code == ErrorCode::InvalidArgument && !result.wasSent;
        };
        CPPUNIT_ASSERT(isRefused({ .target = "/ HTTP/1.1\r\nX: 1", .body = "" }));
        CPPUNIT_ASSERT(isRefused({ .headers = { { "X", "a\r\nY: 1" } }, .body = "" }));
        std::optional<HttpClientResult> result;
        client.send({ "localhost", 1 }, {}, 10s, [&](HttpClientResult r) { result = std::move(r); });
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->response.error().code == ErrorCode::InvalidArgument);
    }

    // Guards against idle connections that stay open for ever.
    void closesSurplusIdleConnections()
    {
        serve(echo);
        HttpClient client(io, { .idleTimeout = 10ms });
        exchange(client, post("x"));
        runUntil([&] { return client.connections(endpoint()) == 0 && server->connections() == 0; });
    }

    // Guards against completions that never run after a close.
    void closeEndsOpenRequests()
    {
        std::vector<HttpServer::Responder> held;
        serve([&](HttpRequest, HttpServer::Responder respond) { held.push_back(std::move(respond)); });
        HttpClient client(io, { .maxConnectionsPerEndpoint = 1 });
        std::vector<HttpClientResult> results;
        for (int i = 0; i < 2; ++i)
            client.send(endpoint(), post("x"), 60s, [&](HttpClientResult r) { results.push_back(std::move(r)); });
        runUntil([&] { return held.size() == 1; });
        client.close();
        client.send(endpoint(), post("x"), 60s, [&](HttpClientResult r) { results.push_back(std::move(r)); });
        runUntil([&] { return results.size() == 3; });
        int sent = 0;
        for (const auto& result : results) {
            CPPUNIT_ASSERT(result.response.error().code == ErrorCode::Unavailable);
            sent += result.wasSent ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, sent);
    }

    // Guards against completions that run into objects already destroyed.
    void destructionDropsCompletions()
    {
        std::vector<HttpServer::Responder> held;
        serve([&](HttpRequest, HttpServer::Responder respond) { held.push_back(std::move(respond)); });
        bool hasRun = false;
        {
            HttpClient client(io, {});
            client.send(endpoint(), post("x"), 60s, [&](const HttpClientResult&) { hasRun = true; });
            runUntil([&] { return held.size() == 1; });
        }
        io.poll();
        CPPUNIT_ASSERT(!hasRun);
    }

    // Guards against waiting for a body that HEAD never gets.
    void readsAnswerToHead()
    {
        serve(echo);
        HttpClient client(io, {});
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(200, exchange(client, { .method = "HEAD", .body = "" }).response->status);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, server->connections());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace hickoryknot

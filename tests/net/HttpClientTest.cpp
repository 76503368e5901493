#include <array>

#include "net/HttpFixture.h"

namespace hickoryknot {

class HttpClientTest : public CppUnit::TestFixture, HttpFixture {
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(reusesOneConnection);
    CPPUNIT_TEST(queuesBeyondTheConnectionLimit);
    CPPUNIT_TEST(deadlineAppliesWhileWaiting);
    CPPUNIT_TEST(rejectsBeyondTheQueueLimit);
    CPPUNIT_TEST(deadlineMarksSentRequest);
    CPPUNIT_TEST(refusedConnectionIsNotSent);
    CPPUNIT_TEST(closedIdleConnectionIsNotUsed);
    CPPUNIT_TEST(lostServerCountsAsSent);
    CPPUNIT_TEST(rejectsOversizeResponse);
    CPPUNIT_TEST(rejectsInvalidArguments);
    CPPUNIT_TEST(closesSurplusIdleConnections);
    CPPUNIT_TEST(closeFailsPendingRequests);
    CPPUNIT_TEST(destructionDropsCompletions);
    CPPUNIT_TEST(readsResponseToHead);
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

    // Guards against exceeding the connection limit, and against responses matched to the wrong request.
    void queuesBeyondTheConnectionLimit()
    {
        size_t maxConnections = 0;
        serve([&](HttpRequest request, HttpServer::Responder respond) {
            maxConnections = std::max(maxConnections, server->connections());
            echo(std::move(request), std::move(respond));
        });
        HttpClient client(io, { .maxConnectionsPerEndpoint = 2 });
        int completed = 0;
        for (int i = 0; i < 20; ++i) {
            client.send(endpoint(), post(std::to_string(i)), 10s, [&, i](HttpClientResult result) {
                CPPUNIT_ASSERT_EQUAL("POST " + std::to_string(i), result.response->body);
                ++completed;
            });
        }
        runUntil([&] { return completed == 20; });
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, maxConnections);
    }

    // Guards against requests that stay queued beyond their deadline, or are sent after it.
    void deadlineAppliesWhileWaiting()
    {
        std::vector<HttpServer::Responder> pendingResponders;
        serve([&](HttpRequest, HttpServer::Responder respond) { pendingResponders.push_back(std::move(respond)); });
        HttpClient client(io, { .maxConnectionsPerEndpoint = 1 });
        client.send(endpoint(), post("first"), 60s, [](const HttpClientResult&) {});
        const auto result = exchange(client, post("second"), 10ms);
        CPPUNIT_ASSERT(result.response.error().code == ErrorCode::Timeout && !result.wasSent);
        CPPUNIT_ASSERT(pendingResponders.size() <= 1);
    }

    // Guards against a queue that grows without bound.
    void rejectsBeyondTheQueueLimit()
    {
        serve([](HttpRequest, const HttpServer::Responder&) {});
        HttpClient client(io, { .maxConnectionsPerEndpoint = 1, .maxWaitingPerEndpoint = 1 });
        client.send(endpoint(), post("first"), 60s, [](const HttpClientResult&) {});
        client.send(endpoint(), post("second"), 60s, [](const HttpClientResult&) {});
        const auto result = exchange(client, post("third"));
        CPPUNIT_ASSERT(result.response.error().code == ErrorCode::Overloaded && !result.wasSent);
    }

    // Guards against reporting a request as not run when a slow server may still run it.
    void deadlineMarksSentRequest()
    {
        std::vector<HttpServer::Responder> pendingResponders;
        serve([&](HttpRequest, HttpServer::Responder respond) { pendingResponders.push_back(std::move(respond)); });
        HttpClient client(io, {});
        const auto result = exchange(client, post("x"), 20ms);
        CPPUNIT_ASSERT(result.response.error().code == ErrorCode::Timeout);
        // The write may not have started at the deadline; a request that the server received must count as sent.
        CPPUNIT_ASSERT(result.wasSent || pendingResponders.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, client.connections(endpoint()));
    }

    // Guards against reporting an unknown outcome for a request that was never sent.
    void refusedConnectionIsNotSent()
    {
        serve(echo);
        const auto closedEndpoint = endpoint();
        server.reset();
        HttpClient client(io, {});
        std::optional<HttpClientResult> result;
        client.send(closedEndpoint, post("x"), 10s, [&](HttpClientResult r) { result = std::move(r); });
        CPPUNIT_ASSERT_MESSAGE("the completion ran inside send()", !result);
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->response.error().code == ErrorCode::Unavailable && !result->wasSent);
    }

    // Guards against writing to a connection that the peer closed while it was idle. The event loop does not run
    // between the close and the second request, so only the check before the write can detect it.
    void closedIdleConnectionIsNotUsed()
    {
        tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        const Endpoint peer { "127.0.0.1", acceptor.local_endpoint().port() };
        HttpClient client(io, {});
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        for (int i = 0; i < 2; ++i) {
            std::optional<HttpClientResult> result;
            client.send(peer, post("x"), 10s, [&](HttpClientResult r) { result = std::move(r); });
            auto accepted = acceptor.accept();
            boost::asio::write(accepted, boost::asio::buffer(response));
            runUntil([&] { return result.has_value(); });
            CPPUNIT_ASSERT(result->response.has_value());
            std::array<char, 4096> received {};
            accepted.receive(boost::asio::buffer(received));
        }
    }

    // Guards against reporting a request as not run when the server goes away after receiving it.
    void lostServerCountsAsSent()
    {
        serve([&](HttpRequest, const HttpServer::Responder&) { server.reset(); });
        const auto peer = endpoint();
        HttpClient client(io, {});
        std::optional<HttpClientResult> result;
        client.send(peer, post("x"), 10s, [&](HttpClientResult r) { result = std::move(r); });
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->response.error().code == ErrorCode::Unavailable && result->wasSent);
    }

    // Guards against buffering a response without limit.
    void rejectsOversizeResponse()
    {
        serve(echo);
        HttpClient client(io, { .maxBodyBytes = 10 });
        const auto result = exchange(client, post("0123456789"));
        CPPUNIT_ASSERT(result.response.error().code == ErrorCode::TooLarge && result.wasSent);
    }

    // Guards against header injection and name lookups.
    void rejectsInvalidArguments()
    {
        serve(echo);
        HttpClient client(io, {});
        const auto isRejected = [&](HttpRequest request) {
            const auto result = exchange(client, std::move(request));
            return !result.response && result.response.error().code == ErrorCode::InvalidArgument && !result.wasSent;
        };
        CPPUNIT_ASSERT(isRejected({ .target = "/ HTTP/1.1\r\nX: 1", .body = "" }));
        CPPUNIT_ASSERT(isRejected({ .headers = { { "X", "a\r\nY: 1" } }, .body = "" }));
        std::optional<HttpClientResult> result;
        client.send({ "localhost", 1 }, {}, 10s, [&](HttpClientResult r) { result = std::move(r); });
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->response.error().code == ErrorCode::InvalidArgument);
    }

    // Guards against idle connections that stay open forever.
    void closesSurplusIdleConnections()
    {
        serve(echo);
        HttpClient client(io, { .idleTimeout = 10ms });
        exchange(client, post("x"));
        runUntil([&] { return client.connections(endpoint()) == 0 && server->connections() == 0; });
    }

    // Guards against completions that are never called after close().
    void closeFailsPendingRequests()
    {
        std::vector<HttpServer::Responder> pendingResponders;
        serve([&](HttpRequest, HttpServer::Responder respond) { pendingResponders.push_back(std::move(respond)); });
        HttpClient client(io, { .maxConnectionsPerEndpoint = 1 });
        std::vector<HttpClientResult> results;
        for (int i = 0; i < 2; ++i)
            client.send(endpoint(), post("x"), 60s, [&](HttpClientResult r) { results.push_back(std::move(r)); });
        runUntil([&] { return pendingResponders.size() == 1; });
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

    // Guards against completions that access destroyed objects.
    void destructionDropsCompletions()
    {
        std::vector<HttpServer::Responder> pendingResponders;
        serve([&](HttpRequest, HttpServer::Responder respond) { pendingResponders.push_back(std::move(respond)); });
        bool hasRun = false;
        {
            HttpClient client(io, {});
            client.send(endpoint(), post("x"), 60s, [&](const HttpClientResult&) { hasRun = true; });
            runUntil([&] { return pendingResponders.size() == 1; });
        }
        io.poll();
        CPPUNIT_ASSERT(!hasRun);
    }

    // Guards against waiting for the body of a HEAD response.
    void readsResponseToHead()
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

#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <string>
#include <vector>

#include "net/HttpClient.h"
#include "net/HttpServer.h"

namespace hickoryknot {

/// A server, a client and raw sockets on one event loop that the test runs.
struct HttpFixture {
    using tcp = boost::asio::ip::tcp;

    void serve(HttpServer::Handler handler, HttpServerSettings settings = {})
    {
        settings.listen = { "127.0.0.1", 0 };
        server.emplace(io, settings, std::move(handler));
        CPPUNIT_ASSERT(server->start().has_value());
    }

    Endpoint endpoint() const { return { "127.0.0.1", server->port() }; }

    /// Runs the event loop until the condition holds; fails after 20 s.
    template <typename Condition> void runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!condition()) {
            io.restart();
            // The server has periodic work, so a limit on the time without a handler would never be reached.
            if (io.run_one_until(end) == 0)
                CPPUNIT_FAIL("the condition does not come true");
        }
    }

    /// Sends through the client and waits for the result.
    HttpClientResult exchange(HttpClient& client, HttpRequest request, Duration deadline = 10s)
    {
        std::optional<HttpClientResult> result;
        client.send(endpoint(), std::move(request), deadline, [&](HttpClientResult r) { result = std::move(r); });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    tcp::socket connectRaw()
    {
        tcp::socket socket(io);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
        return socket;
    }

    /// Sends the bytes and returns everything the server sends until it closes the connection.
    std::string rawExchange(const std::string& bytes)
    {
        auto socket = connectRaw();
        boost::asio::write(socket, boost::asio::buffer(bytes));
        return readToEnd(socket);
    }

    std::string readToEnd(tcp::socket& socket)
    {
        std::string response;
        bool isDone = false;
        boost::asio::async_read(
            socket, boost::asio::dynamic_buffer(response), [&](boost::system::error_code, size_t) { isDone = true; });
        runUntil([&] { return isDone; });
        return response;
    }

    boost::asio::io_context io;
    std::optional<HttpServer> server;
};

inline void echo(HttpRequest request, HttpServer::Responder respond)
{
    respond({ .status = 200, .contentType = "text/plain", .body = request.method + " " + request.body });
}

} // namespace hickoryknot

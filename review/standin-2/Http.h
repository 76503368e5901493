#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// A request or a response. Header names are in lower case.
struct HttpMessage {
    std::string method;
    std::string target;
    int status { 0 };
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Sends one request on a new connection. Missing result: no whole response in time.
std::optional<HttpMessage> callHttp(
    const std::string& address, uint16_t port, const HttpMessage& request, Milliseconds timeout);

/// HTTP/1.1 server with one thread for each connection.
class HttpServer {
public:
    /// A missing result leaves the request without a response; the connection stays open.
    using Handler = std::function<std::optional<HttpMessage>(const HttpMessage&)>;

    HttpServer(std::string address, uint16_t port, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    void start();
    /// Closes all connections, like the end of the process.
    void stop();

private:
    void accept();
    void serve(int handle);

    const std::string m_address;
    const uint16_t m_port;
    const Handler m_handler;
    int m_listener { -1 };
    std::thread m_acceptThread;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::atomic<int> m_activeThreads { 0 };
    std::atomic<bool> m_isStopping { false };
};

} // namespace review

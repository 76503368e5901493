#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct HttpMessage {
    std::string method;
    std::string path;
    int status { 0 };
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
};

struct Address {
    std::string ip;
    uint16_t port { 0 };

    std::string text() const { return ip + ":" + std::to_string(port); }
};

Address parseAddress(const std::string& text);

/// HTTP/1.1 server with a thread for each connection.
class HttpListener {
public:
    /// No value: the connection is closed without a response.
    using Handler = std::function<std::optional<HttpMessage>(const HttpMessage&)>;

    HttpListener(const Address&, Handler);
    /// Closes the port and resets all connections.
    ~HttpListener();

    bool isOpen() const { return m_shared->fd >= 0; }

private:
    struct Shared {
        int fd { -1 };
        Handler handler;
        std::mutex mutex;
        std::set<int> connections;
        std::atomic<bool> isStopping { false };
        std::atomic<int> threads { 0 };
    };

    static void accept(const std::shared_ptr<Shared>&);
    static void serve(const std::shared_ptr<Shared>&, int connection);

    std::shared_ptr<Shared> m_shared;
};

/// An open connection to a server.
class HttpConnection {
public:
    HttpConnection(const Address&, int timeoutMs);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    bool isOpen() const { return m_fd >= 0; }
    bool send(const HttpMessage&);
    /// No value: no whole response before the time limit.
    std::optional<HttpMessage> receive();

private:
    int m_fd { -1 };
    std::string m_buffer;
};

/// One request on a connection of its own. No value: no whole response in time.
std::optional<HttpMessage> callOnce(const Address&, const HttpMessage&, int timeoutMs);

} // namespace review

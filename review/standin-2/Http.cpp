#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in socketAddress(const std::string& address, uint16_t port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

bool awaitEvent(int handle, short event, Clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    pollfd entry { .fd = handle, .events = event, .revents = 0 };
    return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

bool sendAll(int handle, const std::string& bytes, Clock::time_point deadline)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0)
            sent += static_cast<size_t>(count);
        else if ((errno != EAGAIN && errno != EWOULDBLOCK) || !awaitEvent(handle, POLLOUT, deadline))
            return false;
    }
    return true;
}

bool receiveMore(int handle, std::string& buffer, Clock::time_point deadline)
{
    char bytes[16384];
    if (!awaitEvent(handle, POLLIN, deadline))
        return false;
    const ssize_t count = ::recv(handle, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    buffer.append(bytes, static_cast<size_t>(count));
    return true;
}

std::optional<HttpMessage> receiveMessage(int handle, std::string& buffer, Clock::time_point deadline)
{
    size_t headerEnd = 0;
    while ((headerEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore(handle, buffer, deadline))
            return std::nullopt;
    }
    HttpMessage message;
    std::string header = buffer.substr(0, headerEnd);
    buffer.erase(0, headerEnd + 4);
    size_t begin = 0;
    for (bool isFirst = true; begin < header.size(); isFirst = false) {
        const size_t end = std::min(header.find("\r\n", begin), header.size());
        const std::string line = header.substr(begin, end - begin);
        begin = end + 2;
        if (isFirst) {
            const size_t first = line.find(' ');
            const size_t second = line.find(' ', first + 1);
            message.method = line.substr(0, first);
            message.target = line.substr(first + 1, second - first - 1);
            message.status = line.starts_with("HTTP/") ? std::atoi(message.target.c_str()) : 0;
            continue;
        }
        const size_t colon = std::min(line.find(':'), line.size());
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
    const size_t size = message.headers.contains("content-length")
        ? std::strtoull(message.headers["content-length"].c_str(), nullptr, 10)
        : 0;
    while (buffer.size() < size) {
        if (!receiveMore(handle, buffer, deadline))
            return std::nullopt;
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return message;
}

} // namespace

std::optional<HttpMessage> callHttp(
    const std::string& address, uint16_t port, const HttpMessage& request, Milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (handle < 0)
        return std::nullopt;
    const sockaddr_in peer = socketAddress(address, port);
    std::optional<HttpMessage> response;
    const bool isStarted
        = ::connect(handle, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0 || errno == EINPROGRESS;
    if (isStarted && awaitEvent(handle, POLLOUT, deadline)) {
        std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : request.headers)
            bytes += name + ": " + value + "\r\n";
        bytes += "Connection: close\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n\r\n"
            + request.body;
        std::string buffer;
        if (sendAll(handle, bytes, deadline))
            response = receiveMessage(handle, buffer, deadline);
    }
    ::close(handle);
    return response;
}

HttpServer::HttpServer(std::string address, uint16_t port, Handler handler)
    : m_address(std::move(address))
    , m_port(port)
    , m_handler(std::move(handler))
{
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::start()
{
    m_isStopping = false;
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in self = socketAddress(m_address, m_port);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&self), sizeof self) < 0 || ::listen(m_listener, 128) < 0)
        throw std::runtime_error("cannot listen on " + m_address + ":" + std::to_string(m_port));
    m_acceptThread = std::thread([this] { accept(); });
}

void HttpServer::stop()
{
    if (m_isStopping.exchange(true) || m_listener < 0)
        return;
    ::shutdown(m_listener, SHUT_RDWR);
    {
        const std::lock_guard lock(m_mutex);
        for (const int handle : m_connections)
            ::shutdown(handle, SHUT_RDWR);
    }
    m_acceptThread.join();
    ::close(m_listener);
    m_listener = -1;
    while (m_activeThreads)
        std::this_thread::sleep_for(Milliseconds(1));
}

void HttpServer::accept()
{
    while (!m_isStopping) {
        const int handle = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
            std::this_thread::sleep_for(Milliseconds(1));
            continue;
        }
        const int enabled = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        const std::lock_guard lock(m_mutex);
        if (m_isStopping) {
            ::close(handle);
            return;
        }
        m_connections.insert(handle);
        ++m_activeThreads;
        std::thread([this, handle] { serve(handle); }).detach();
    }
}

void HttpServer::serve(int handle)
{
    std::string buffer;
    while (!m_isStopping) {
        const auto request = receiveMessage(handle, buffer, Clock::now() + std::chrono::minutes(5));
        if (!request)
            break;
        const auto response = m_handler(*request);
        if (!response)
            continue;
        const std::string bytes = "HTTP/1.1 " + std::to_string(response->status)
            + " Reply\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response->body.size())
            + "\r\n\r\n" + response->body;
        if (!sendAll(handle, bytes, Clock::now() + std::chrono::seconds(2)))
            break;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(handle);
        ::close(handle);
    }
    --m_activeThreads;
}

} // namespace review

#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Sockets.h"

namespace review {

namespace {

const char* reasonOf(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 409:
        return "Conflict";
    case 421:
        return "Misdirected Request";
    default:
        return "Status";
    }
}

std::string render(const HttpMessage& message)
{
    std::string text = message.status
        ? "HTTP/1.1 " + std::to_string(message.status) + " " + reasonOf(message.status) + "\r\n"
        : message.method + " " + message.path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : message.headers)
        text += name + ": " + value + "\r\n";
    if (!message.body.empty())
        text += "content-type: application/json\r\n";
    return text + "content-length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body;
}

bool sendAll(int fd, const std::string& text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

/// Reads one message; `buffer` keeps what follows it.
std::optional<HttpMessage> readMessage(int fd, std::string& buffer)
{
    char chunk[16384];
    size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
        if (count <= 0)
            return std::nullopt;
        buffer.append(chunk, static_cast<size_t>(count));
    }
    HttpMessage message;
    const std::string head = buffer.substr(0, end);
    const size_t lineEnd = std::min(head.find("\r\n"), head.size());
    const std::string line = head.substr(0, lineEnd);
    const size_t first = line.find(' ');
    const size_t second = line.find(' ', first + 1);
    if (first == std::string::npos)
        return std::nullopt;
    if (line.starts_with("HTTP/")) {
        message.status = std::atoi(line.c_str() + first + 1);
    } else {
        message.method = line.substr(0, first);
        message.path = line.substr(first + 1, second - first - 1);
    }
    for (size_t at = lineEnd; at < head.size();) {
        const size_t begin = at + 2;
        at = std::min(head.find("\r\n", begin), head.size());
        const std::string field = head.substr(begin, at - begin);
        const size_t colon = field.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = field.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        const size_t value = field.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : field.substr(value);
    }
    buffer.erase(0, end + 4);
    const auto length = message.headers.find("content-length");
    const size_t bytes = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < bytes) {
        const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
        if (count <= 0)
            return std::nullopt;
        buffer.append(chunk, static_cast<size_t>(count));
    }
    message.body = buffer.substr(0, bytes);
    buffer.erase(0, bytes);
    return message;
}

void reset(int fd)
{
    const linger option { 1, 0 };
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    ::shutdown(fd, SHUT_RDWR);
}

} // namespace

Address parseAddress(const std::string& text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return {};
    return { text.substr(0, colon), static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)) };
}

HttpListener::HttpListener(const Address& address, Handler handler)
    : m_shared(std::make_shared<Shared>())
{
    m_shared->handler = std::move(handler);
    const int fd = listenOn(address);
    if (fd < 0)
        return;
    m_shared->fd = fd;
    ++m_shared->threads;
    std::thread([shared = m_shared] { accept(shared); }).detach();
}

HttpListener::~HttpListener()
{
    m_shared->isStopping = true;
    if (m_shared->fd >= 0)
        ::shutdown(m_shared->fd, SHUT_RDWR);
    {
        const std::lock_guard lock(m_shared->mutex);
        for (const int connection : m_shared->connections)
            reset(connection);
    }
    // The port must be free for the next start of the same stand-in.
    for (int i = 0; i < 300 && m_shared->threads; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
}

void HttpListener::accept(const std::shared_ptr<Shared>& shared)
{
    while (!shared->isStopping) {
        const int connection = ::accept4(shared->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            break;
        const int one = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const std::lock_guard lock(shared->mutex);
        shared->connections.insert(connection);
        ++shared->threads;
        std::thread([shared, connection] { serve(shared, connection); }).detach();
    }
    ::close(shared->fd);
    --shared->threads;
}

void HttpListener::serve(const std::shared_ptr<Shared>& shared, int connection)
{
    std::string buffer;
    while (!shared->isStopping) {
        const auto request = readMessage(connection, buffer);
        if (!request || shared->isStopping)
            break;
        const auto response = shared->handler(*request);
        if (!response || shared->isStopping || !sendAll(connection, render(*response)))
            break;
    }
    const std::lock_guard lock(shared->mutex);
    shared->connections.erase(connection);
    if (shared->isStopping)
        reset(connection);
    ::close(connection);
    --shared->threads;
}

HttpConnection::HttpConnection(const Address& address, int timeoutMs)
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto endpoint = socketAddress(address);
    if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint)) {
        pollfd waiting { m_fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        const bool isReady = errno == EINPROGRESS && ::poll(&waiting, 1, timeoutMs) == 1;
        if (!isReady || ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size) || error) {
            ::close(m_fd);
            m_fd = -1;
            return;
        }
    }
    ::fcntl(m_fd, F_SETFL, ::fcntl(m_fd, F_GETFL) & ~O_NONBLOCK);
    const timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

HttpConnection::~HttpConnection()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

bool HttpConnection::send(const HttpMessage& message) { return m_fd >= 0 && sendAll(m_fd, render(message)); }

std::optional<HttpMessage> HttpConnection::receive() { return m_fd >= 0 ? readMessage(m_fd, m_buffer) : std::nullopt; }

std::optional<HttpMessage> callOnce(const Address& address, const HttpMessage& request, int timeoutMs)
{
    HttpConnection connection(address, timeoutMs);
    if (!connection.isOpen() || !connection.send(request))
        return std::nullopt;
    return connection.receive();
}

} // namespace review

#include "Link.h"

#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "Sockets.h"

namespace review {

namespace {

constexpr int pollMs = 20;
constexpr size_t chunkBytes = 65536;

/// Moves what can be read from one socket to the other; false at the end or after an error.
bool move(int from, int to)
{
    char chunk[chunkBytes];
    const ssize_t count = ::recv(from, chunk, sizeof chunk, 0);
    if (count <= 0)
        return false;
    for (ssize_t sent = 0; sent < count;) {
        const ssize_t part = ::send(to, chunk + sent, static_cast<size_t>(count - sent), MSG_NOSIGNAL);
        if (part <= 0)
            return false;
        sent += part;
    }
    return true;
}

} // namespace

Link::Link(const Address& from, const Address& to)
    : m_shared(std::make_shared<Shared>())
{
    m_shared->to = to;
    m_shared->fd = listenOn(from);
    if (m_shared->fd >= 0)
        std::thread([shared = m_shared] { accept(shared); }).detach();
}

Link::~Link()
{
    m_shared->isStopping = true;
    if (m_shared->fd >= 0)
        ::shutdown(m_shared->fd, SHUT_RDWR);
}

void Link::accept(const std::shared_ptr<Shared>& shared)
{
    while (!shared->isStopping) {
        const int client = ::accept4(shared->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            break;
        std::thread([shared, client] { forward(shared, client); }).detach();
    }
    ::close(shared->fd);
}

void Link::forward(const std::shared_ptr<Shared>& shared, int client)
{
    const uint64_t generation = shared->generation;
    const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto endpoint = socketAddress(shared->to);
    if (::connect(server, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) == 0) {
        const int one = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        ::setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        while (!shared->isStopping) {
            if (generation != shared->generation) {
                std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
                continue;
            }
            pollfd waiting[] = { { client, POLLIN, 0 }, { server, POLLIN, 0 } };
            if (::poll(waiting, 2, pollMs) <= 0)
                continue;
            // What arrives while the connections become silent must not pass.
            if (generation != shared->generation)
                continue;
            if ((waiting[0].revents && !move(client, server)) || (waiting[1].revents && !move(server, client)))
                break;
        }
    }
    ::close(client);
    ::close(server);
}

} // namespace review

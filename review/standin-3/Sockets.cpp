#include "Sockets.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Http.h"

namespace review {

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int listenOn(const Address& address)
{
    constexpr int backlog = 128;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto endpoint = socketAddress(address);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) || ::listen(fd, backlog)) {
        ::close(fd);
        return -1;
    }
    return fd;
}

} // namespace review

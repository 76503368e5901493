#pragma once

#include <atomic>
#include <memory>

#include "Http.h"

namespace review {

/// Forwards connections from one loopback address to another one. Open ones can be made silent for good.
class Link {
public:
    Link(const Address& from, const Address& to);
    ~Link();
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    bool isOpen() const { return m_shared->fd >= 0; }
    /// From now on nothing is forwarded on the connections that are open, and they stay open. New ones work.
    void silenceOpenConnections() { ++m_shared->generation; }

private:
    struct Shared {
        int fd { -1 };
        Address to;
        std::atomic<uint64_t> generation { 0 };
        std::atomic<bool> isStopping { false };
    };

    static void accept(const std::shared_ptr<Shared>&);
    static void forward(const std::shared_ptr<Shared>&, int client);

    std::shared_ptr<Shared> m_shared;
};

} // namespace review

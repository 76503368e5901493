#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/HttpMessage.h"

namespace hickoryknot::overload {

/// Misbehaving clients, on a thread of their own. Each connects once, sends its bytes as fast as the server takes them,
/// reads nothing, and keeps the connection open until leave().
class Crowd {
public:
    /// What one kind of client sends: `head`, then `part` as many times as given.
    struct Script {
        std::string head;
        std::string part;
        size_t parts { 0 };
    };

    /// Client i plays script i modulo their number.
    Crowd(const Endpoint& target, size_t clients, std::vector<Script>);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Closes all connections and waits for the thread.
    void leave();

private:
    class Client;

    boost::asio::io_context m_io { 1 };
    std::vector<Script> m_scripts;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::thread m_thread;
};

} // namespace hickoryknot::overload

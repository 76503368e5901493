#include "overload/Crowd.h"

#include <boost/asio/write.hpp>

namespace hickoryknot::overload {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Small, so that responses that the client does not read stay at the server.
constexpr int receiveBufferBytes = 4096;

} // namespace

class Crowd::Client {
public:
    Client(asio::io_context& io, const Script& script)
        : m_script(script)
        , m_socket(io)
    {
    }

    void start(const tcp::endpoint& target)
    {
        error_code ignored;
        m_socket.open(target.protocol(), ignored);
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
        m_socket.async_connect(target, [this](error_code error) {
            if (!error)
                send(m_script.head);
        });
    }

    void close()
    {
        error_code ignored;
        // A reset, so that a server's port is not left with connections that it still has to write to.
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

private:
    void send(const std::string& bytes)
    {
        asio::async_write(m_socket, asio::buffer(bytes), [this](error_code error, size_t) {
            // A client whose connection the server has closed is done.
            if (!error && m_sentParts++ < m_script.parts)
                send(m_script.part);
        });
    }

    const Script& m_script;
    tcp::socket m_socket;
    size_t m_sentParts { 0 };
};

Crowd::Crowd(const Endpoint& target, size_t clients, std::vector<Script> scripts)
    : m_scripts(std::move(scripts))
{
    const tcp::endpoint endpoint(asio::ip::make_address(target.address), target.port);
    for (size_t i = 0; i < clients; ++i) {
        m_clients.push_back(std::make_unique<Client>(m_io, m_scripts[i % m_scripts.size()]));
        m_clients.back()->start(endpoint);
    }
    m_thread = std::thread([this] { m_io.run(); });
}

Crowd::~Crowd() { leave(); }

void Crowd::leave()
{
    if (!m_thread.joinable())
        return;
    m_io.stop();
    m_thread.join();
    for (const auto& client : m_clients)
        client->close();
    // Runs the handlers of the closed sockets.
    m_io.restart();
    m_io.poll();
}

} // namespace hickoryknot::overload

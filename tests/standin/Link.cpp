#include "Link.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <vector>

namespace hickoryknot {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

tcp::endpoint toTcp(const Endpoint& endpoint) { return { asio::ip::make_address(endpoint.address), endpoint.port }; }

} // namespace

/// A forwarded connection with a copy loop for each direction.
class Link::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(tcp::socket caller, Link& link)
        : m_caller(std::move(caller))
        , m_target(m_caller.get_executor())
        , m_link(link)
        , m_forward { m_caller, m_target, LinkDirection::Forward, asio::steady_timer(m_caller.get_executor()), {} }
        , m_backward { m_target, m_caller, LinkDirection::Backward, asio::steady_timer(m_caller.get_executor()), {} }
    {
    }

    void start()
    {
        m_target.async_connect(toTcp(m_link.m_target), [self = shared_from_this()](error_code error) {
            if (error)
                return self->close();
            self->m_caller.set_option(tcp::no_delay(true), error);
            self->m_target.set_option(tcp::no_delay(true), error);
            self->read(self->m_forward);
            self->read(self->m_backward);
        });
    }

    bool hasLostBytes() const { return m_hasLostBytes; }

    void close()
    {
        error_code ignored;
        m_caller.close(ignored);
        m_target.close(ignored);
        m_forward.timer.cancel();
        m_backward.timer.cancel();
        m_link.m_connections.erase(shared_from_this());
    }

    // Closes with RST, so that both ends detect it at once.
    void reset()
    {
        error_code ignored;
        m_caller.set_option(asio::socket_base::linger(true, 0), ignored);
        m_target.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    void silence() { m_isSilenced = true; }

private:
    struct Pump {
        tcp::socket& from;
        tcp::socket& to;
        const LinkDirection direction;
        asio::steady_timer timer;
        std::array<char, 16384> buffer;
    };

    void read(Pump& pump)
    {
        pump.from.async_read_some(
            asio::buffer(pump.buffer), [self = shared_from_this(), &pump](error_code error, size_t bytes) {
                // While the direction is cut, the end of the stream is not forwarded either.
                if (error && self->m_link.m_state.isCut(pump.direction)) {
                    self->m_hasLostBytes = true;
                    return;
                }
                if (error)
                    return self->close();
                self->delay(pump, bytes);
            });
    }

    void delay(Pump& pump, size_t bytes)
    {
        if (m_link.m_state.delay == 0s)
            return forward(pump, bytes);
        pump.timer.expires_after(m_link.m_state.delay);
        pump.timer.async_wait([self = shared_from_this(), &pump, bytes](error_code error) {
            if (!error)
                self->forward(pump, bytes);
        });
    }

    void forward(Pump& pump, size_t bytes)
    {
        if (m_isSilenced || m_link.m_state.isCut(pump.direction)) {
            m_hasLostBytes = true;
            return read(pump);
        }
        asio::async_write(pump.to, asio::buffer(pump.buffer.data(), bytes),
            [self = shared_from_this(), &pump](error_code error, size_t) {
                if (error)
                    return self->close();
                self->read(pump);
            });
    }

    tcp::socket m_caller;
    tcp::socket m_target;
    Link& m_link;
    Pump m_forward;
    Pump m_backward;
    bool m_hasLostBytes { false };
    bool m_isSilenced { false };
};

Link::Link(asio::io_context& io, Endpoint listen, Endpoint target)
    : m_listen(std::move(listen))
    , m_target(std::move(target))
    , m_acceptor(io)
{
}

Link::~Link() = default;

void Link::start()
{
    const auto endpoint = toTcp(m_listen);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

void Link::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!error) {
            const auto connection = std::make_shared<Connection>(std::move(socket), *this);
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

void Link::cut(bool forward, bool backward)
{
    m_state.isForwardCut = forward;
    m_state.isBackwardCut = backward;
    if (forward || backward)
        return;
    // reset() removes the connection from the set, so this iterates over a copy.
    const std::vector<std::shared_ptr<Connection>> open(m_connections.begin(), m_connections.end());
    for (const auto& connection : open) {
        if (connection->hasLostBytes())
            connection->reset();
    }
}

void Link::reset()
{
    const std::vector<std::shared_ptr<Connection>> open(m_connections.begin(), m_connections.end());
    for (const auto& connection : open)
        connection->reset();
}

void Link::silence()
{
    for (const auto& connection : m_connections)
        connection->silence();
}

void Link::setDelay(Duration delay) { m_state.delay = delay; }

} // namespace hickoryknot

#include "BackendServer.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cmath>

#include "protocol/ServerHeartbeatCodec.h"
#include "protocol/WorkRequestCodec.h"

namespace hickoryknot {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr Duration heartbeatInterval = 500ms;
constexpr Duration heartbeatTimeout = 400ms;

std::string makeResponse(int status, const std::string& extraHeader, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error")
        + "\r\nContent-Type: text/plain\r\n" + extraHeader + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

uint64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

/// A connection from an entry host; serves one request at a time.
class BackendServer::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(tcp::socket socket, BackendServer& server)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_server(server)
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(m_socket, m_buffer, m_request, [self = shared_from_this()](error_code error, size_t) {
            if (!error)
                self->handle();
        });
    }

private:
    void handle()
    {
        ++m_server.m_pendingResponses;
        const auto work = decodeWorkRequest(m_request.body());
        if (m_request.target() != "/work" || !work)
            return write(makeResponse(400, "", work ? "unknown target" : work.error().message));
        const auto& settings = m_server.m_settings;
        if (m_server.m_inFlight >= settings.slots || m_server.randomChance(settings.failRate))
            return write(makeResponse(503, "X-Not-Started: 1\r\n", "not started"));
        ++m_server.m_inFlight;
        m_name = work->request.value() + " " + settings.id.value();
        m_response = makeResponse(200, "", "answer " + work->request.value() + " " + work->body);
        m_server.m_log.write("start " + m_name);
        const bool disconnects = m_server.randomChance(settings.vanishRate);
        m_timer.expires_after(disconnects ? settings.work / 2 : settings.work);
        m_timer.async_wait([self = shared_from_this(), disconnects](error_code) {
            --self->m_server.m_inFlight;
            if (disconnects)
                return self->disconnect();
            self->m_server.m_log.write("finish " + self->m_name);
            self->finish();
        });
    }

    void finish()
    {
        if (m_server.m_settings.responseDelay == 0s)
            return write(m_response);
        m_timer.expires_after(m_server.m_settings.responseDelay);
        m_timer.async_wait([self = shared_from_this()](error_code) { self->write(self->m_response); });
    }

    void disconnect()
    {
        --m_server.m_pendingResponses;
        error_code ignored;
        m_socket.close(ignored);
        m_server.updateHasLeft();
    }

    void write(std::string response)
    {
        m_response = std::move(response);
        if (m_server.m_settings.duplicatesResponses)
            m_response += m_response;
        asio::async_write(m_socket, asio::buffer(m_response), [self = shared_from_this()](error_code error, size_t) {
            --self->m_server.m_pendingResponses;
            self->m_server.updateHasLeft();
            if (!error)
                self->read();
        });
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    BackendServer& m_server;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    std::string m_name;
    std::string m_response;
};

BackendServer::BackendServer(asio::io_context& io, BackendServerSettings settings, LineLog& log)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_log(log)
    , m_entries(io, m_settings.entries, m_settings.seed)
    , m_acceptor(io)
    , m_heartbeatTimer(io)
    , m_leaveTimer(io)
    , m_random(m_settings.seed)
    , m_incarnation(unixMicroseconds())
{
}

BackendServer::~BackendServer() = default;

void BackendServer::start()
{
    const tcp::endpoint endpoint(asio::ip::make_address(m_settings.listen.address), m_settings.listen.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_settings.listen.port = m_acceptor.local_endpoint().port();
    accept();
    sendPeriodicHeartbeats();
    if (m_settings.leaveAfter > 0s) {
        m_leaveTimer.expires_after(m_settings.leaveAfter);
        m_leaveTimer.async_wait([this](error_code error) {
            if (!error)
                leave();
        });
    }
}

void BackendServer::leave()
{
    if (std::exchange(m_isLeaving, true))
        return;
    m_log.write("leaving - " + m_settings.id.value());
    sendHeartbeat(false);
    m_leaveTimer.expires_after(m_settings.leaveGrace);
    m_leaveTimer.async_wait([this](error_code) {
        m_hasGraceEnded = true;
        updateHasLeft();
    });
}

void BackendServer::updateHasLeft() { m_hasLeft = m_hasLeft || (m_hasGraceEnded && m_pendingResponses == 0); }

void BackendServer::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!error) {
            socket.set_option(tcp::no_delay(true), error);
            std::make_shared<Connection>(std::move(socket), *this)->read();
        }
        accept();
    });
}

void BackendServer::sendPeriodicHeartbeats()
{
    sendHeartbeat(false);
    m_heartbeatTimer.expires_after(heartbeatInterval);
    m_heartbeatTimer.async_wait([this](error_code error) {
        if (!error && !m_hasLeft)
            sendPeriodicHeartbeats();
    });
}

void BackendServer::sendHeartbeat(bool isRetry)
{
    const ServerHeartbeat heartbeat { .server = m_settings.id,
        .incarnation = m_incarnation,
        .sequence = ++m_sequence,
        .zone = m_settings.zone,
        .rack = m_settings.rack,
        .address = m_settings.listen.address,
        .port = m_settings.listen.port,
        .slots = m_settings.slots,
        .connectionLimit = m_settings.connectionLimit,
        .inFlight = m_inFlight,
        .isLeaving = m_isLeaving };
    m_entries.post("/v1/servers/heartbeat", encodeServerHeartbeat(heartbeat), heartbeatTimeout,
        [this, isFirst = !isRetry](const std::optional<std::string>& response) {
            // Retries with the next entry host at once; a single retry per heartbeat limits the load when all hosts are
            // down.
            if (!response && isFirst)
                sendHeartbeat(true);
        });
}

bool BackendServer::randomChance(double rate) { return std::ldexp(m_random(), -32) < rate; }

} // namespace hickoryknot

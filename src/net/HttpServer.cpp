#include "net/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <malloc.h>
#include <vector>

#include "net/HttpRefusal.h"
#include "net/HttpServerConnection.h"
#include "net/MemoryBudget.h"

namespace hickoryknot {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Delay after a failed accept; prevents a busy loop when the process is out of file descriptors.
constexpr Duration acceptRetryDelay = 100ms;
constexpr int listenBacklog = 1024;
/// Period of the work that is not part of any request: checks of long requests, and the return of freed memory.
constexpr Duration maintenancePeriod = 500ms;

// Sends a 503 response with a single non-blocking write (best effort).
void rejectConnection(tcp::socket socket)
{
    const std::string response = refusalText("the host has too many connections");
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(response), ignored);
    socket.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
    Impl(asio::io_context& io, HttpServerSettings settings, Handler handler)
        : context(std::make_shared<HttpServerContext>())
        , acceptor(io)
        , timer(io)
        , maintenanceTimer(io)
    {
        context->settings = std::move(settings);
        if (!context->settings.memory)
            context->settings.memory = std::make_shared<MemoryBudget>();
        context->handler = std::move(handler);
    }

    Expected<void> listen();
    void accept();
    void serve(tcp::socket);
    void retryAccept();
    void closeConnections(bool idleOnly);
    /// Closes a connection for a new one. False: all are busy.
    bool evict();
    void maintain();

    std::shared_ptr<HttpServerContext> context;
    tcp::acceptor acceptor;
    /// Delays accept retries; once draining, runs for the drain grace period.
    asio::steady_timer timer;
    asio::steady_timer maintenanceTimer;
    uint16_t port { 0 };
};

Expected<void> HttpServer::Impl::listen()
{
    const auto& [address, wantedPort] = context->settings.listen;
    error_code error;
    const auto ip = asio::ip::make_address(address, error);
    const tcp::endpoint endpoint(ip, wantedPort);
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(listenBacklog, error);
    if (error) {
        return makeError(ErrorCode::Unavailable,
            "cannot listen on " + address + ":" + std::to_string(wantedPort) + ": " + error.message());
    }
    port = acceptor.local_endpoint(error).port();
    return {};
}

void HttpServer::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (error) {
            if (error == asio::error::no_descriptors)
                self->evict();
            return self->retryAccept();
        }
        self->serve(std::move(socket));
        self->accept();
    });
}

void HttpServer::Impl::serve(tcp::socket socket)
{
    if (context->connections.size() >= context->settings.maxConnections && !evict()) {
        ++context->counters.rejectedConnections;
        return rejectConnection(std::move(socket));
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<HttpServerConnection>(std::move(socket), context);
    context->connections.insert(connection);
    connection->start();
}

bool HttpServer::Impl::evict()
{
    const auto now
        = TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    const auto& connections = !context->idle.empty() ? context->idle
        : !context->unfinished.empty()               ? context->unfinished
                                                     : context->writing;
    if (connections.empty() || (&connections == &context->writing && !connections.front()->isSlowReader(now)))
        return false;
    ++context->counters.evictedConnections;
    connections.front()->drop();
    return true;
}

void HttpServer::Impl::maintain()
{
    maintenanceTimer.expires_after(maintenancePeriod);
    maintenanceTimer.async_wait([self = shared_from_this()](error_code error) {
        if (error)
            return;
        const auto now
            = TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
        // checkInput() may remove the connection from the set, so this iterates over a copy.
        const std::vector<std::shared_ptr<HttpServerConnection>> open(
            self->context->connections.begin(), self->context->connections.end());
        for (const auto& connection : open)
            connection->checkInput(now);
        // The allocator keeps freed memory, which counts as the process's. Returning it takes milliseconds.
        if (self->context->settings.memory->takeReleaseDue())
            malloc_trim(0);
        self->maintain();
    });
}

void HttpServer::Impl::retryAccept()
{
    timer.expires_after(acceptRetryDelay);
    timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && self->acceptor.is_open())
            self->accept();
    });
}

void HttpServer::Impl::closeConnections(bool idleOnly)
{
    // close() removes the connection from the set, so this iterates over a copy.
    const std::vector<std::shared_ptr<HttpServerConnection>> open(
        context->connections.begin(), context->connections.end());
    for (const auto& connection : open) {
        if (!idleOnly || connection->isIdle())
            connection->close();
    }
}

HttpServer::HttpServer(asio::io_context& io, HttpServerSettings settings, Handler handler)
    : m_impl(std::make_shared<Impl>(io, std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    error_code ignored;
    m_impl->acceptor.close(ignored);
    m_impl->timer.cancel();
    m_impl->maintenanceTimer.cancel();
    m_impl->closeConnections(false);
}

Expected<void> HttpServer::start()
{
    auto result = m_impl->listen();
    if (result) {
        m_impl->accept();
        m_impl->maintain();
    }
    return result;
}

uint16_t HttpServer::port() const { return m_impl->port; }

void HttpServer::drain()
{
    if (std::exchange(m_impl->context->isDraining, true))
        return;
    error_code ignored;
    m_impl->acceptor.close(ignored);
    m_impl->timer.expires_after(m_impl->context->settings.drainGrace);
    m_impl->timer.async_wait([impl = m_impl](error_code error) {
        if (!error)
            impl->closeConnections(true);
    });
}

size_t HttpServer::requestsInProgress() const { return m_impl->context->requestsInProgress; }

size_t HttpServer::connections() const { return m_impl->context->connections.size(); }

const ClientLimitCounters& HttpServer::counters() const { return m_impl->context->counters; }

} // namespace hickoryknot

#include "net/HttpClientConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "core/Assert.h"
#include "net/HttpClientCall.h"
#include "net/HttpClientPool.h"

namespace hickoryknot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Capacity of the read buffer beyond the header limit, so that large bodies need few reads.
constexpr size_t bodyBufferBytes = size_t { 64 } * 1024;

std::string hostHeader(const tcp::endpoint& endpoint)
{
    const auto text = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + text + "]:" + port : text + ":" + port;
}

HttpResponse extractResponse(http::response<http::string_body>& message)
{
    HttpResponse response { .status = static_cast<int>(message.result_int()),
        .contentType = std::string(message[http::field::content_type]),

        .body = std::move(message.body()) };
    for (const auto& field : message)
        response.headers.emplace_back(field.name_string(), field.value());
    return response;
}

} // namespace

struct HttpClientConnection::State {
    State(asio::io_context& io, std::weak_ptr<HttpClientPool> owner, const HttpClientSettings& limits,
        const tcp::endpoint& target)
        : settings(limits)
        , pool(std::move(owner))
        , peer(target)
        , name(hostHeader(target))
        , socket(io)
        , connectTimer(io)
        , buffer(limits.maxHeaderBytes + bodyBufferBytes)
    {
    }

    const HttpClientSettings settings;
    const std::weak_ptr<HttpClientPool> pool;
    const tcp::endpoint peer;
    /// Value of the Host header.
    const std::string name;

    tcp::socket socket;
    asio::steady_timer connectTimer;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    std::shared_ptr<HttpClientCall> call;
    bool wasSent { false };
    bool isClosed { false };
    /// Error passed to abort(); replaces the error caused by closing the socket.
    std::optional<Error> abortReason;
    std::chrono::steady_clock::time_point idleSince;
    /// Number of calls so far; lets watchIdle() ignore a wait from an earlier idle period.
    uint64_t calls { 0 };
};

HttpClientConnection::HttpClientConnection(asio::io_context& io, std::weak_ptr<HttpClientPool> pool,
    const HttpClientSettings& settings, const tcp::endpoint& peer)
    : m_state(std::make_unique<State>(io, std::move(pool), settings, peer))
{
}

HttpClientConnection::~HttpClientConnection() = default;

std::chrono::steady_clock::time_point HttpClientConnection::idleSince() const { return m_state->idleSince; }

void HttpClientConnection::run(std::shared_ptr<HttpClientCall> call)
{
    HICKORYKNOT_ASSERT(!m_state->call && !m_state->isClosed, "a connection carries one call at a time");
    ++m_state->calls;
    m_state->call = std::move(call);
    m_state->call->connection = weak_from_this();
    m_state->wasSent = false;
    if (m_state->socket.is_open())
        write();
    else
        connect();
}

void HttpClientConnection::connect()
{
    m_state->connectTimer.expires_after(m_state->settings.connectTimeout);
    m_state->connectTimer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && self->m_state->calls == 1 && !self->m_state->parser)
            self->abort({ ErrorCode::Unavailable, "no connection to " + self->m_state->name + " in time" });
    });
    m_state->socket.async_connect(m_state->peer, [self = shared_from_this()](error_code error) {
        self->m_state->connectTimer.cancel();
        if (error || self->m_state->isClosed)
            return self->fail(
                ErrorCode::Unavailable, "cannot connect to " + self->m_state->name + ": " + error.message());
        error_code ignored;
        self->m_state->socket.set_option(tcp::no_delay(true), ignored);
        // isUsable() requires a non-blocking socket.
        self->m_state->socket.non_blocking(true, ignored);
        self->write();
    });
}

void HttpClientConnection::write()
{
    auto& call = *m_state->call;
    auto& request = m_state->request;
    request = {};
    request.version(11);
    request.method_string(call.request.method);
    request.target(call.request.target);
    request.set(http::field::host, m_state->name);
    for (const auto& [name, value] : call.request.headers)
        request.set(name, value);
    request.body() = std::move(call.request.body);
    request.prepare_payload();

    m_state->parser.emplace();
    m_state->parser->header_limit(static_cast<uint32_t>(m_state->settings.maxHeaderBytes));
    m_state->parser->body_limit(m_state->settings.maxBodyBytes);
    m_state->parser->skip(request.method() == http::verb::head);

    http::async_write(m_state->socket, request, [self = shared_from_this()](error_code error, size_t bytes) {
        self->m_state->wasSent = bytes > 0;
        // A peer that rejects a large body may have sent a response before it closed the connection.
        if ((error && bytes == 0) || self->m_state->isClosed)
            return self->fail(ErrorCode::Unavailable, "cannot send to " + self->m_state->name + ": " + error.message());
        self->read();
    });
}

void HttpClientConnection::read()
{
    http::async_read(
        m_state->socket, m_state->buffer, *m_state->parser, [self = shared_from_this()](error_code error, size_t) {
            if (!error && !self->m_state->isClosed)
                return self->finishRead();
            const bool isTooLarge = error == http::error::body_limit || error == http::error::header_limit
                || error == http::error::buffer_overflow;
            self->fail(isTooLarge ? ErrorCode::TooLarge : ErrorCode::Unavailable,
                "no whole answer from " + self->m_state->name + ": " + error.message());
        });
}

void HttpClientConnection::finishRead()
{
    const bool isReusable = m_state->parser->keep_alive() && m_state->buffer.size() == 0;
    HttpClientResult result { .response = extractResponse(m_state->parser->get()), .wasSent = true };
    const auto call = std::exchange(m_state->call, nullptr);
    call->connection.reset();
    if (isReusable) {
        m_state->idleSince = std::chrono::steady_clock::now();
        watchIdle();
        if (const auto pool = m_state->pool.lock())
            pool->onConnectionReleased(shared_from_this());
    } else {
        close();
    }
    call->finish(std::move(result));
}

void HttpClientConnection::abort(Error reason)
{
    // Without a call there is no pending operation whose handler would close the connection.
    if (!m_state->call)
        return close();
    if (m_state->abortReason)
        return;
    m_state->abortReason = std::move(reason);
    m_state->isClosed = true;
    error_code ignored;
    // A reset discards the unsent part of the request, which its caller no longer waits for.
    m_state->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_state->socket.close(ignored);
}

void HttpClientConnection::dropCompletion()
{
    if (m_state->call)
        m_state->call->completion = nullptr;
}

void HttpClientConnection::fail(ErrorCode code, const std::string& message)
{
    Error error = m_state->abortReason.value_or(Error { code, message });
    const auto call = std::exchange(m_state->call, nullptr);
    const bool wasSent = m_state->wasSent;
    call->connection.reset();
    m_state->isClosed = false;
    close();
    call->finish({ .response = tl::unexpected(std::move(error)), .wasSent = wasSent });
}

void HttpClientConnection::close()
{
    if (std::exchange(m_state->isClosed, true))
        return;
    m_state->connectTimer.cancel();
    error_code ignored;
    m_state->socket.close(ignored);
    if (const auto pool = m_state->pool.lock())
        pool->onConnectionClosed(shared_from_this());
}

bool HttpClientConnection::isUsable()
{
    // Detects a close that the event loop has not delivered yet, before a request is written.
    char byte = 0;
    error_code error;
    m_state->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

void HttpClientConnection::watchIdle()
{
    m_state->socket.async_wait(
        tcp::socket::wait_read, [self = shared_from_this(), calls = m_state->calls](error_code error) {
            const bool isStillIdle = calls == self->m_state->calls && !self->m_state->isClosed;
            if (!error && isStillIdle)
                self->close();
        });
}

} // namespace hickoryknot

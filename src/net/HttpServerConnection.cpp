#include "net/HttpServerConnection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "core/Assert.h"
#include "net/HttpHeaderText.h"
#include "net/HttpRefusal.h"
#include "net/MemoryBudget.h"
#include "net/MemoryCharge.h"
#include "net/ReceivedBodyType.h"
#include "protocol/ErrorCodec.h"

namespace hickoryknot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Size of a read while waiting for a request: all that an idle connection holds besides its state.
constexpr size_t idleReadBytes = 1024;
/// Size of a read of an unfinished request, and capacity of the read buffer beyond the header limit.
constexpr size_t readChunkBytes = size_t { 16 } * 1024;
/// An idle connection gives up a larger read buffer.
constexpr size_t maxIdleBufferBytes = size_t { 4 } * 1024;
/// Memory of a header field besides its text: nodes and text objects in the parser and in the request.
constexpr size_t headerFieldBytes = 160;
/// Smaller responses need no reservation: even thousands of them fit the budget.
constexpr size_t minReservedResponseBytes = size_t { 64 } * 1024;
/// Targets with large responses are few: the table, lists and reports.
constexpr size_t maxReservedTargets = 32;
/// Input beyond this size, sent before the response to an earlier request, closes the connection.
constexpr size_t maxInputAheadBytes = size_t { 32 } * 1024;
/// From this time on, the input of a connection is read while its request is still handled.
constexpr Duration inputCheckDelay = 250ms;
constexpr std::string_view retryAfterSeconds = "1";
constexpr const char* refusedForMemory = "the host has no memory for the request; it has not been run";
/// Limits of the lingering close: how long, and how many bytes, are read and discarded after the last response.
constexpr Duration lingeringCloseTimeout = 1s;
constexpr size_t maxDiscardedBytes = size_t { 4 } * 1024 * 1024;
constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

bool isHttpError(const error_code& error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category();
}

/// Shared by the copies of a responder: sends only the first response, or 500 if all copies are destroyed without one.
class SharedResponder {
public:
    explicit SharedResponder(std::weak_ptr<HttpServerConnection> connection)
        : m_connection(std::move(connection))
    {
    }
    SharedResponder(const SharedResponder&) = delete;
    SharedResponder& operator=(const SharedResponder&) = delete;
    ~SharedResponder()
    {
        const Error error { ErrorCode::Internal, "the request was dropped without an answer" };
        respond({ .status = httpStatus(error.code), .body = encodeError(error) });
    }

    void respond(HttpResponse response)
    {
        if (auto connection = std::exchange(m_connection, {}).lock())
            connection->respond(std::move(response));
    }

private:
    std::weak_ptr<HttpServerConnection> m_connection;
};

TimePoint currentTime()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Source of the connection, without the port.
std::string peerOf(const tcp::socket& socket)
{
    error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

HttpRequest extractRequest(http::request<ReceivedBodyType>& message)
{
    HttpRequest request { .method = std::string(message.method_string()),
        .target = std::string(message.target()),
        .body = message.body().take() };
    for (const auto& field : message)
        request.headers.emplace_back(field.name_string(), field.value());
    return request;
}

} // namespace

struct HttpServerConnection::State {
    State(tcp::socket socket, size_t bufferBytes)
        : stream(std::move(socket))
        , buffer(bufferBytes)
    {
    }

    beast::basic_stream<tcp, asio::any_io_executor> stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<ReceivedBodyType>> parser;
    http::response<http::string_body> response;
    std::optional<MemoryCharge> charge;
    HttpServerContext::ConnectionList::iterator position;
    Phase phase { Phase::Handling };
    /// Beginning of the phase; of an unfinished request, its first byte.
    TimePoint phaseStart;
    std::string target;
    size_t discardedBytes { 0 };
    bool keepsAlive { false };
    bool isHead { false };
    bool hasSentRequest { false };
    bool isInProgress { false };
    bool isReadingAhead { false };
    bool hasInputEnded { false };
    bool resumesAfterRead { false };
    bool isClosed { false };
};

HttpServerConnection::HttpServerConnection(tcp::socket socket, std::shared_ptr<HttpServerContext> context)
    : m_context(std::move(context))
    , m_state(std::make_unique<State>(std::move(socket), m_context->settings.maxHeaderBytes + readChunkBytes))
{
}

HttpServerConnection::~HttpServerConnection() = default;

void HttpServerConnection::start()
{
    const auto& settings = m_context->settings;
    m_state->charge.emplace(settings.memory, settings.pool, peerOf(m_state->stream.socket()), [this] {
        ++m_context->counters.droppedConnections;
        drop();
    });
    waitForRequest();
}

bool HttpServerConnection::isIdle() const { return m_state->phase == Phase::Idle; }

bool HttpServerConnection::isSlowReader(TimePoint now) const
{
    return m_state->phase == Phase::Writing && now - m_state->phaseStart >= m_context->settings.slowReaderGrace;
}

void HttpServerConnection::enter(Phase phase)
{
    const auto listOf = [this](Phase of) -> HttpServerContext::ConnectionList* {
        switch (of) {
        case Phase::Idle:
            return &m_context->idle;
        case Phase::Reading:
            return &m_context->unfinished;
        case Phase::Writing:
            return &m_context->writing;
        case Phase::Handling:
        case Phase::Lingering:
            break;
        }
        return nullptr;
    };
    if (auto* list = listOf(m_state->phase))
        list->erase(m_state->position);
    if (m_state->phase == Phase::Lingering)
        --m_context->lingeringCloses;
    m_state->phase = phase;
    m_state->phaseStart = currentTime();
    if (auto* list = listOf(phase))
        m_state->position = list->insert(list->end(), this);
    if (phase == Phase::Lingering)
        ++m_context->lingeringCloses;
}

// Wraps a completion handler: keeps the connection object alive, and closes the connection on any error.
template <typename Next> auto HttpServerConnection::handleErrors(Next next)
{
    return [self = shared_from_this(), next](error_code error, size_t bytes) {
        if (self->m_state->isClosed)
            return;
        if (!error)
            next(*self, bytes);
        else
            self->close();
    };
}

void HttpServerConnection::handleError(const error_code& error)
{
    const auto& settings = m_context->settings;
    if (error == http::error::body_limit)
        reject(413, { ErrorCode::TooLarge, "the body exceeds " + std::to_string(settings.maxBodyBytes) + " bytes" });
    else if (error == http::error::header_limit || error == http::error::buffer_overflow)
        reject(
            431, { ErrorCode::TooLarge, "the header exceeds " + std::to_string(settings.maxHeaderBytes) + " bytes" });
    else if (isHttpError(error) && error != http::error::end_of_stream && error != http::error::partial_message)
        reject(400, { ErrorCode::InvalidArgument, "not an HTTP/1.1 request: " + error.message() });
    else
        close();
}

void HttpServerConnection::waitForRequest()
{
    // A pipelined request is already in the buffer.
    if (m_state->buffer.size() > 0) {
        beginRequest();
        return parseInput();
    }
    if (m_state->hasInputEnded)
        return close();
    enter(Phase::Idle);
    if (m_state->buffer.capacity() > maxIdleBufferBytes)
        m_state->buffer.shrink_to_fit();
    // The shorter timeout applies until the first request: peers behind a network partition leave such connections
    // behind.
    const auto& settings = m_context->settings;
    m_state->stream.expires_after(m_state->hasSentRequest ? settings.idleTimeout : settings.readTimeout);
    m_state->stream.async_read_some(
        m_state->buffer.prepare(idleReadBytes), handleErrors([](HttpServerConnection& self, size_t bytes) {
            self.m_state->hasSentRequest = true;
            self.m_state->buffer.commit(bytes);
            self.beginRequest();
            self.parseInput();
        }));
}

void HttpServerConnection::beginRequest()
{
    enter(Phase::Reading);
    m_state->charge->setPool(m_context->settings.pool);
    m_state->charge->setDroppableSince(m_state->phaseStart);
    m_state->parser.emplace();
    m_state->parser->header_limit(static_cast<uint32_t>(m_context->settings.maxHeaderBytes));
    m_state->parser->body_limit(m_context->settings.maxBodyBytes);
}

size_t HttpServerConnection::heldBytes() const
{
    size_t bytes = m_state->buffer.capacity();
    if (m_state->parser->is_header_done()) {
        const auto& fields = m_state->parser->get().base();
        bytes += static_cast<size_t>(std::distance(fields.begin(), fields.end())) * headerFieldBytes;
        bytes += m_state->parser->get().body().size();
    }
    return bytes;
}

void HttpServerConnection::readMore()
{
    const auto& settings = m_context->settings;
    const size_t room = m_state->buffer.max_size() - m_state->buffer.size();
    if (!room)
        return handleError(http::error::buffer_overflow);
    const auto toSteadyClock
        = [](TimePoint time) { return std::chrono::steady_clock::time_point(time.time_since_epoch()); };
    m_state->stream.expires_at(
        toSteadyClock(std::min(m_state->phaseStart + settings.readTimeout, currentTime() + settings.progressTimeout)));
    m_state->stream.async_read_some(m_state->buffer.prepare(std::min(room, readChunkBytes)),
        handleErrors([](HttpServerConnection& self, size_t bytes) {
            self.m_state->buffer.commit(bytes);
            self.parseInput();
        }));
}

void HttpServerConnection::parseInput()
{
    auto& parser = *m_state->parser;
    bool needsMore = false;
    while (!parser.is_done() && !needsMore && m_state->buffer.size() > 0) {
        const bool hadHeader = parser.is_header_done();
        error_code error;
        m_state->buffer.consume(parser.put(m_state->buffer.data(), error));
        needsMore = error == http::error::need_more;
        if (error && !needsMore)
            return handleError(error);
        if (!hadHeader && parser.is_header_done() && !handleHeader())
            return;
    }
    // The memory is charged after it has arrived, so each connection may exceed the budget by one read.
    if (!m_state->charge->resize(heldBytes(), currentTime())) {
        ++m_context->counters.refusedRequests;
        return reject(503, { ErrorCode::Overloaded, refusedForMemory }, true);
    }
    if (parser.is_done())
        dispatch();
    else
        readMore();
}

bool HttpServerConnection::handleHeader()
{
    auto& parser = *m_state->parser;
    parser.eager(true);
    const auto& message = parser.get();
    if (m_context->settings.classifier)
        m_state->charge->setPool(m_context->settings.classifier(message.method_string(), message.target()));
    if (parser.is_done() || !beast::iequals(message[http::field::expect], "100-continue"))
        return true;
    m_state->stream.expires_after(m_context->settings.writeTimeout);
    asio::async_write(m_state->stream, asio::buffer(continueLine),
        handleErrors([](HttpServerConnection& self, size_t) { self.parseInput(); }));
    return false;
}

void HttpServerConnection::dispatch()
{
    const TimePoint now = currentTime();
    auto& message = m_state->parser->get();
    m_state->target = std::string(message.target().substr(0, message.target().find('?')));
    // The response is in use as soon as the handler has made it, so its room is taken before the request is passed on.
    const auto expected = m_context->largeResponses.find(m_state->target);
    if (expected != m_context->largeResponses.end()
        && !m_state->charge->resize(m_state->charge->bytes() + expected->second, now)) {
        ++m_context->counters.refusedRequests;
        return reject(503, { ErrorCode::Overloaded, refusedForMemory }, true);
    }
    m_state->charge->setDroppableSince(std::nullopt);
    enter(Phase::Handling);
    m_state->stream.expires_never();
    m_state->isInProgress = true;
    ++m_context->requestsInProgress;
    m_state->keepsAlive = m_state->parser->keep_alive();
    m_state->isHead = message.method() == http::verb::head;
    auto request = extractRequest(message);
    m_state->parser.reset();
    auto responder = std::make_shared<SharedResponder>(weak_from_this());
    m_context->handler(std::move(request),
        [responder = std::move(responder)](HttpResponse response) { responder->respond(std::move(response)); });
}

void HttpServerConnection::finishRequest()
{
    if (std::exchange(m_state->isInProgress, false))
        --m_context->requestsInProgress;
}

void HttpServerConnection::respond(HttpResponse response)
{
    if (m_state->isClosed)
        return;
    HICKORYKNOT_ASSERT(m_state->isInProgress, "each request gets one response");
    const bool keepAlive = m_state->keepsAlive && !m_context->isDraining && !response.closesConnection;
    auto& large = m_context->largeResponses;
    if (response.body.size() < minReservedResponseBytes)
        large.erase(m_state->target);
    else if (large.contains(m_state->target) || large.size() < maxReservedTargets)
        large[m_state->target] = response.body.size();
    write(std::move(response), keepAlive);
}

void HttpServerConnection::reject(int status, const Error& error, bool isRetryable)
{
    m_state->isHead = m_state->parser && m_state->parser->get().method() == http::verb::head;
    m_state->parser.reset();
    m_state->buffer.clear();
    m_state->buffer.shrink_to_fit();
    HttpResponse response { .status = status, .headers = {}, .body = encodeError(error) };
    if (isRetryable)
        response.headers = { { "Retry-After", std::string(retryAfterSeconds) }, { "X-Not-Started", "1" } };
    write(std::move(response), false);
}

void HttpServerConnection::write(HttpResponse source, bool keepAlive)
{
    const TimePoint now = currentTime();
    enter(Phase::Writing);
    m_state->charge->resizeRegardless(source.body.size() + m_state->buffer.capacity(), now);
    m_state->charge->setDroppableSince(now + m_context->settings.slowReaderGrace);
    auto& response = m_state->response;
    response = {};
    response.version(11);
    response.result(static_cast<unsigned>(source.status));
    response.keep_alive(keepAlive);
    response.set(http::field::content_type, source.contentType);
    for (const auto& [name, value] : source.headers) {
        if (isHeaderToken(name) && isHeaderSafe(value))
            response.set(name, value);
    }
    response.body() = std::move(source.body);
    response.prepare_payload();
    // The response to HEAD has the content length of the body but no body.
    if (m_state->isHead)
        response.body().clear();

    m_state->stream.expires_after(m_context->settings.writeTimeout);
    http::async_write(m_state->stream, response, handleErrors([keepAlive](HttpServerConnection& self, size_t) {
        self.finishRequest();
        self.m_state->response = {};
        self.m_state->charge->release();
        // If draining started during the write, this is the last point at which the connection can be closed.
        self.m_state->keepsAlive = keepAlive && !self.m_context->isDraining;
        if (!self.m_state->isReadingAhead)
            return self.resume();
        self.m_state->resumesAfterRead = true;
        error_code ignored;
        self.m_state->stream.socket().cancel(ignored);
    }));
}

void HttpServerConnection::resume()
{
    if (m_state->keepsAlive)
        waitForRequest();
    else
        startLingeringClose();
}

void HttpServerConnection::checkInput(TimePoint now)
{
    const bool isBusy = m_state->phase == Phase::Handling || m_state->phase == Phase::Writing;
    if (isBusy && !m_state->isReadingAhead && !m_state->hasInputEnded && now - m_state->phaseStart >= inputCheckDelay)
        readAhead();
}

// Bypasses the timeouts of the stream, which belong to the response.
void HttpServerConnection::readAhead()
{
    const size_t limit = std::min(maxInputAheadBytes, m_state->buffer.max_size());
    if (m_state->buffer.size() >= limit) {
        ++m_context->counters.droppedConnections;
        return close();
    }
    m_state->isReadingAhead = true;
    m_state->stream.socket().async_read_some(
        m_state->buffer.prepare(std::min(limit - m_state->buffer.size(), idleReadBytes)),
        [self = shared_from_this()](error_code error, size_t bytes) {
            auto& state = *self->m_state;
            state.isReadingAhead = false;
            if (state.isClosed)
                return;
            state.buffer.commit(bytes);
            // A client may end its side of the connection and still wait for the response.
            state.hasInputEnded = error && error != asio::error::operation_aborted;
            if (std::exchange(state.resumesAfterRead, false))
                return self->resume();
            if (error)
                return;
            state.charge->resizeRegardless(state.charge->bytes() + bytes, currentTime());
            if (!state.isClosed)
                self->readAhead();
        });
}

void HttpServerConnection::startLingeringClose()
{
    if (m_state->hasInputEnded || m_context->lingeringCloses >= m_context->settings.maxLingeringCloses)
        return close();
    enter(Phase::Lingering);
    error_code ignored;
    m_state->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_state->buffer.clear();
    m_state->stream.expires_after(lingeringCloseTimeout);
    discardInput();
}

void HttpServerConnection::discardInput()
{
    m_state->stream.async_read_some(
        m_state->buffer.prepare(readChunkBytes), handleErrors([](HttpServerConnection& self, size_t bytes) {
            self.m_state->discardedBytes += bytes;
            if (self.m_state->discardedBytes > maxDiscardedBytes)
                self.close();
            else
                self.discardInput();
        }));
}

void HttpServerConnection::drop()
{
    if (m_state->phase == Phase::Reading) {
        // The connection is reset, so the response may be lost; the client then sees that it got none.
        const std::string response = refusalText(refusedForMemory);
        error_code ignored;
        m_state->stream.socket().non_blocking(true, ignored);
        m_state->stream.socket().write_some(asio::buffer(response), ignored);
        m_state->parser->get().body().clear();
    }
    close();
}

void HttpServerConnection::close()
{
    if (std::exchange(m_state->isClosed, true))
        return;
    finishRequest();
    enter(Phase::Handling);
    m_state->charge->release();
    error_code ignored;
    m_state->stream.socket().close(ignored);
    m_context->connections.erase(shared_from_this());
}

} // namespace hickoryknot

#include "net/HttpServerConnection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "core/Assert.h"
#include "net/HttpHeaderText.h"
#include "protocol/ErrorCodec.h"

namespace hickoryknot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Size of a read while waiting for a request.
constexpr size_t readChunkBytes = size_t { 4 } * 1024;
/// Capacity of the read buffer beyond the header limit, so that large bodies need few reads.
constexpr size_t bodyBufferBytes = size_t { 64 } * 1024;
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

HttpRequest extractRequest(http::request<http::string_body>& message)
{
    HttpRequest request { .method = std::string(message.method_string()),
        .target = std::string(message.target()),

        .body = std::move(message.body()) };
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
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    size_t discardedBytes { 0 };
    bool isIdle { false };
    bool hasSentRequest { false };
    bool isInProgress { false };
    bool isClosed { false };
};

HttpServerConnection::HttpServerConnection(tcp::socket socket, std::shared_ptr<HttpServerContext> context)
    : m_context(std::move(context))
    , m_state(std::make_unique<State>(std::move(socket), m_context->settings.maxHeaderBytes + bodyBufferBytes))
{
}

HttpServerConnection::~HttpServerConnection() = default;

void HttpServerConnection::start() { waitForRequest(); }

bool HttpServerConnection::isIdle() const { return m_state->isIdle; }

// Wraps a completion handler: keeps the connection object alive, responds to invalid requests with an error status,
// and closes the connection on any other error.
template <typename Next> auto HttpServerConnection::handleErrors(Next next)
{
    return [self = shared_from_this(), next](error_code error, size_t bytes) {
        if (self->m_state->isClosed)
            return;
        if (!error)
            next(*self, bytes);
        else if (error == http::error::body_limit)
            self->reject(413,
                { ErrorCode::TooLarge,
                    "the body exceeds " + std::to_string(self->m_context->settings.maxBodyBytes) + " bytes" });
        else if (error == http::error::header_limit || error == http::error::buffer_overflow)
            self->reject(431,
                { ErrorCode::TooLarge,
                    "the header exceeds " + std::to_string(self->m_context->settings.maxHeaderBytes) + " bytes" });
        else if (isHttpError(error) && error != http::error::end_of_stream && error != http::error::partial_message)
            self->reject(400, { ErrorCode::InvalidArgument, "not an HTTP/1.1 request: " + error.message() });
        else
            self->close();
    };
}

void HttpServerConnection::waitForRequest()
{
    // A pipelined request is already in the buffer.
    if (m_state->buffer.size() > 0)
        return readHeader();
    m_state->isIdle = true;
    // The shorter timeout applies until the first request: peers behind a network partition leave such connections
    // behind.
    const auto& settings = m_context->settings;
    m_state->stream.expires_after(m_state->hasSentRequest ? settings.idleTimeout : settings.readTimeout);
    m_state->stream.async_read_some(
        m_state->buffer.prepare(readChunkBytes), handleErrors([](HttpServerConnection& self, size_t bytes) {
            self.m_state->isIdle = false;
            self.m_state->hasSentRequest = true;
            self.m_state->buffer.commit(bytes);
            self.readHeader();
        }));
}

void HttpServerConnection::readHeader()
{
    m_state->parser.emplace();
    m_state->parser->header_limit(static_cast<uint32_t>(m_context->settings.maxHeaderBytes));
    m_state->parser->body_limit(m_context->settings.maxBodyBytes);
    m_state->stream.expires_after(m_context->settings.readTimeout);
    http::async_read_header(
        m_state->stream, m_state->buffer, *m_state->parser, handleErrors([](HttpServerConnection& self, size_t) {
            if (!beast::iequals(self.m_state->parser->get()[http::field::expect], "100-continue"))
                return self.readBody();
            asio::async_write(self.m_state->stream, asio::buffer(continueLine),
                self.handleErrors([](HttpServerConnection& connection, size_t) { connection.readBody(); }));
        }));
}

void HttpServerConnection::readBody()
{
    if (m_state->parser->is_done())
        return dispatch();
    http::async_read(m_state->stream, m_state->buffer, *m_state->parser,
        handleErrors([](HttpServerConnection& self, size_t) { self.dispatch(); }));
}

void HttpServerConnection::dispatch()
{
    m_state->stream.expires_never();
    m_state->isInProgress = true;
    ++m_context->requestsInProgress;
    auto responder = std::make_shared<SharedResponder>(weak_from_this());
    m_context->handler(extractRequest(m_state->parser->get()),
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
    const bool keepAlive = m_state->parser->get().keep_alive() && !m_context->isDraining && !response.closesConnection;
    write(std::move(response), keepAlive);
}

void HttpServerConnection::reject(int status, const Error& error)
{
    write({ .status = status, .body = encodeError(error) }, false);
}

void HttpServerConnection::write(HttpResponse source, bool keepAlive)
{
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
    if (m_state->parser && m_state->parser->get().method() == http::verb::head)
        response.body().clear();

    m_state->stream.expires_after(m_context->settings.writeTimeout);
    http::async_write(m_state->stream, response, handleErrors([keepAlive](HttpServerConnection& self, size_t) {
        self.finishRequest();
        // If draining started during the write, this is the last point at which the connection can be closed.
        if (keepAlive && !self.m_context->isDraining)
            self.waitForRequest();
        else
            self.startLingeringClose();
    }));
}

void HttpServerConnection::startLingeringClose()
{
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

void HttpServerConnection::close()
{
    if (std::exchange(m_state->isClosed, true))
        return;
    finishRequest();
    m_state->isIdle = false;
    error_code ignored;
    m_state->stream.socket().close(ignored);
    m_context->connections.erase(shared_from_this());
}

} // namespace hickoryknot

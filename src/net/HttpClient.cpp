#include "net/HttpClient.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

#include "net/HttpClientCall.h"
#include "net/HttpClientPool.h"
#include "net/HttpHeaderText.h"

namespace hickoryknot {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

struct HttpClient::Impl : std::enable_shared_from_this<Impl> {
    Impl(asio::io_context& context, HttpClientSettings clientSettings)
        : io(context)
        , settings(clientSettings)
        , sweepTimer(context)
    {
    }

    Expected<std::shared_ptr<HttpClientPool>> poolFor(const Endpoint&);
    void scheduleSweep();
    void sweep();
    void close(bool dropCompletions);

    asio::io_context& io;
    const HttpClientSettings settings;
    std::map<std::pair<std::string, uint16_t>, std::shared_ptr<HttpClientPool>> pools;
    asio::steady_timer sweepTimer;
    bool isSweepScheduled { false };
    bool isClosed { false };
};

namespace {

Expected<void> checkRequest(const HttpRequest& request)
{
    if (!isHeaderToken(request.method) || !isHeaderToken(request.target))
        return makeError(ErrorCode::InvalidArgument, "method and target must be free of spaces and control characters");
    for (const auto& [name, value] : request.headers) {
        if (!isHeaderToken(name) || !isHeaderSafe(value))
            return makeError(ErrorCode::InvalidArgument, "headers must be free of control characters");
    }
    return {};
}

} // namespace

Expected<std::shared_ptr<HttpClientPool>> HttpClient::Impl::poolFor(const Endpoint& endpoint)
{
    if (isClosed)
        return makeError(ErrorCode::Unavailable, "the client is closed");
    auto& pool = pools[{ endpoint.address, endpoint.port }];
    if (pool)
        return pool;
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        pools.erase({ endpoint.address, endpoint.port });
        return makeError(ErrorCode::InvalidArgument, "the address must be a numeric IP address");
    }
    pool = std::make_shared<HttpClientPool>(io, settings, tcp::endpoint(address, endpoint.port));
    scheduleSweep();
    return pool;
}

void HttpClient::Impl::scheduleSweep()
{
    if (std::exchange(isSweepScheduled, true))
        return;
    sweepTimer.expires_after(settings.idleTimeout / 2);
    sweepTimer.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->isClosed)
            self->sweep();
    });
}

void HttpClient::Impl::sweep()
{
    isSweepScheduled = false;
    const auto limit = std::chrono::steady_clock::now() - settings.idleTimeout;
    for (const auto& [endpoint, pool] : pools)
        pool->closeIdle(limit);
    std::erase_if(pools, [](const auto& entry) { return entry.second->isEmpty(); });
    if (!pools.empty())
        scheduleSweep();
}

void HttpClient::Impl::close(bool dropCompletions)
{
    if (std::exchange(isClosed, true))
        return;
    sweepTimer.cancel();
    // Completions may call back into this client, so the map is moved out before they run.
    const auto closing = std::exchange(pools, {});
    for (const auto& [endpoint, pool] : closing)
        pool->close(dropCompletions);
}

HttpClient::HttpClient(asio::io_context& io, HttpClientSettings settings)
    : m_impl(std::make_shared<Impl>(io, settings))
{
}

HttpClient::~HttpClient() { m_impl->close(true); }

void HttpClient::send(const Endpoint& endpoint, HttpRequest request, Duration deadline, Completion completion)
{
    auto call = std::make_shared<HttpClientCall>(m_impl->io, std::move(request), std::move(completion));
    const auto failUnsent = [&](Error error) {
        asio::post(m_impl->io, [call, error = std::move(error)]() mutable {
            call->finish({ .response = tl::unexpected(std::move(error)), .wasSent = false });
        });
    };
    if (auto valid = checkRequest(call->request); !valid)
        return failUnsent(std::move(valid.error()));
    auto pool = m_impl->poolFor(endpoint);
    if (!pool)
        return failUnsent(std::move(pool.error()));

    call->deadline.expires_after(deadline);
    call->deadline.async_wait([weakCall = std::weak_ptr(call), weakPool = std::weak_ptr(*pool)](error_code error) {
        const auto expired = weakCall.lock();
        const auto owner = weakPool.lock();
        if (!error && expired && owner)
            owner->expire(expired);
    });
    if (auto submitted = (*pool)->submit(call); !submitted)
        failUnsent(std::move(submitted.error()));
}

void HttpClient::close() { m_impl->close(false); }

void HttpClient::closeIdle(const Endpoint& endpoint)
{
    const auto found = m_impl->pools.find({ endpoint.address, endpoint.port });
    if (found != m_impl->pools.end())
        found->second->closeIdle(std::chrono::steady_clock::time_point::max());
}

size_t HttpClient::connections(const Endpoint& endpoint) const
{
    const auto found = m_impl->pools.find({ endpoint.address, endpoint.port });
    return found == m_impl->pools.end() ? 0 : found->second->connections();
}

} // namespace hickoryknot

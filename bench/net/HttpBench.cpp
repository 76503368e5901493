#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "core/LatencyHistogram.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

namespace {

using namespace hickoryknot;

/// Keeps a fixed number of requests in flight until all are completed; server and client share one thread.
class EchoBenchmark {
public:
    EchoBenchmark(uint64_t total, size_t open, size_t bodyBytes)
        : m_total(total)
        , m_body(bodyBytes, 'x')
        , m_server(m_io, { .listen = { "127.0.0.1", 0 } },
              [](HttpRequest request, const HttpServer::Responder& respond) {
                  respond({ .body = std::move(request.body) });
              })
        , m_client(m_io, { .maxConnectionsPerEndpoint = open })
    {
        if (!m_server.start())
            std::abort();
        for (size_t i = 0; i < open; ++i)
            send();
    }

    void run()
    {
        const auto start = Clock::now();
        while (m_completed < m_total)
            m_io.run_one();
        const std::chrono::duration<double> elapsed = Clock::now() - start;
        std::printf("requests %llu body_bytes %zu per_second %.0f p50_us %lld p99_us %lld failed %llu\n",
            static_cast<unsigned long long>(m_total), m_body.size(), static_cast<double>(m_total) / elapsed.count(),
            static_cast<long long>(m_latency.quantile(0.5).count()),
            static_cast<long long>(m_latency.quantile(0.99).count()), static_cast<unsigned long long>(m_failed));
    }

private:
    using Clock = std::chrono::steady_clock;

    void send()
    {
        if (m_sent++ >= m_total)
            return;
        m_client.send({ "127.0.0.1", m_server.port() }, { .method = "POST", .body = m_body }, 10s,
            [this, start = Clock::now()](const HttpClientResult& result) {
                m_latency.add(std::chrono::duration_cast<Duration>(Clock::now() - start));
                m_failed += result.response ? 0 : 1;
                ++m_completed;
                send();
            });
    }

    const uint64_t m_total;
    const std::string m_body;
    boost::asio::io_context m_io;
    HttpServer m_server;
    HttpClient m_client;
    LatencyHistogram m_latency;
    uint64_t m_sent { 0 };
    uint64_t m_completed { 0 };
    uint64_t m_failed { 0 };
};

} // namespace

// Measures throughput and latency of HttpClient and HttpServer over loopback, both on one thread.
int main()
{
    EchoBenchmark(50'000, 1, 64).run();
    EchoBenchmark(100'000, 32, 64).run();
    EchoBenchmark(20'000, 32, size_t { 16 } * 1024).run();
    return 0;
}

#include <map>

#include "app/ApiResponses.h"
#include "app/ApiServer.h"
#include "app/ControlPlane.h"
#include "app/ReportThread.h"
#include "app/RequestDispatcher.h"

namespace hickoryknot {

namespace {

constexpr Duration gatherDeadline = 3s;

} // namespace

void ApiServer::updateCounters()
{
    struct Counter {
        const char* outcome;
        uint64_t RouterCounts::*count;
    };
    static constexpr Counter counters[] = {
        { "submitted", &RouterCounts::submitted },
        { "done", &RouterCounts::done },
        { "not_run", &RouterCounts::notRun },
        { "refused", &RouterCounts::refused },
        { "cancelled", &RouterCounts::cancelled },
        { "unknown", &RouterCounts::unknown },
        { "retries", &RouterCounts::retries },
        { "retries_denied", &RouterCounts::retriesDenied },
        { "probes", &RouterCounts::probes },
        { "forwarded", &RouterCounts::forwarded },
        { "late_answers", &RouterCounts::lateResponsesDropped },
    };
    m_report.update([counts = m_requests.counts(), inProgress = m_requests.requestsInProgress(),
                        limits = m_clientLimits.figures()](Metrics& metrics) {
        limits.addTo(metrics);
        for (const auto& counter : counters) {
            const auto id = metrics.counter("hickoryknot_requests_total", "Short requests by what became of them.",
                { { "event", counter.outcome } });
            metrics.add(id, counts.*counter.count - metrics.value(id));
        }
        metrics.set(metrics.gauge("hickoryknot_requests_in_progress", "Short requests without an answer yet."),
            static_cast<double>(inProgress));
    });
}

void ApiServer::handleMetrics(Call& call)
{
    updateCounters();
    const bool isPosted = m_report.metricsText([this, respond = call.respond](std::string text) {
        reply(respond,
            { .status = 200, .contentType = "text/plain; version=0.0.4", .headers = {}, .body = std::move(text) });
    });
    if (!isPosted)
        call.respond(errorResponse({ ErrorCode::Overloaded, "the reporting thread is too busy" }));
}

void ApiServer::handleBurnBuckets(Call& call)
{
    const bool isPosted = m_report.encodedBuckets([this, respond = call.respond](std::string bytes) {
        reply(respond,
            { .status = 200, .contentType = "application/octet-stream", .headers = {}, .body = std::move(bytes) });
    });
    if (!isPosted)
        call.respond(errorResponse({ ErrorCode::Overloaded, "the reporting thread is too busy" }));
}

/// Collects the buckets of the other hosts for a report.
struct ApiServer::BurnReportGather {
    std::vector<std::pair<HostId, std::string>> received;
    std::vector<HostId> missing;
    size_t pendingResponses { 1 };
};

void ApiServer::handleBurn(Call& call)
{
    static const std::map<std::string, const char*> contentTypes { { "text", "text/plain" },
        { "json", "application/json" }, { "html", "text/html" } };
    const std::string requestedFormat = queryValue(call.query, "format");
    const std::string format = requestedFormat.empty() ? "json" : requestedFormat;
    const auto contentType = contentTypes.find(format);
    if (contentType == contentTypes.end()) {
        call.respond(
            errorResponse({ ErrorCode::InvalidArgument, "query parameter format must be text, json or html" }));
        return;
    }
    auto gather = std::make_shared<BurnReportGather>();
    const auto onResponse = [this, gather, format, type = contentType->second, respond = call.respond] {
        if (--gather->pendingResponses)
            return;
        const bool isPosted = m_report.burnReport(format, m_settings.host, std::move(gather->received),
            std::move(gather->missing), [this, respond, type](std::string body) {
                reply(respond, { .status = 200, .contentType = type, .headers = {}, .body = std::move(body) });
            });
        if (!isPosted)
            respond(errorResponse({ ErrorCode::Overloaded, "the reporting thread is too busy" }));
    };
    for (const auto& [host, address] : m_hostClient.state().hosts) {
        if (host == m_settings.host)
            continue;
        ++gather->pendingResponses;
        m_hostClient.send(host, { .method = "GET", .target = "/internal/burn", .headers = {}, .body = {} },
            gatherDeadline, [gather, onResponse, host = host](const HttpClientResult& result) {
                if (result.response && result.response->status == 200)
                    gather->received.emplace_back(host, result.response->body);
                else
                    gather->missing.push_back(host);
                onResponse();
            });
    }
    onResponse();
}

} // namespace hickoryknot

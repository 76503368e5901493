#include "app/LoadReport.h"

#include <nlohmann/json.hpp>

namespace hickoryknot {

using nlohmann::ordered_json;

namespace {

ordered_json describeLatency(const LatencyHistogram& latency)
{
    ordered_json quantiles = ordered_json::object();
    quantiles["p50"] = latency.quantile(0.5).count();
    quantiles["p90"] = latency.quantile(0.9).count();
    quantiles["p99"] = latency.quantile(0.99).count();
    quantiles["p999"] = latency.quantile(0.999).count();
    quantiles["max"] = latency.quantile(1).count();
    return quantiles;
}

ordered_json describe(const LoadReport& report)
{
    ordered_json document = ordered_json::object();
    document["requests_sent"] = report.requestsSent;
    document["jobs_sent"] = report.jobsSent;
    document["resends"] = report.resends;
    document["wrong_answers"] = report.wrongAnswers;
    document["elapsed_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(report.elapsed).count();
    document["request_outcomes"] = report.requestOutcomes;
    document["request_latency_us"] = describeLatency(report.requestLatency);
    document["job_outcomes"] = report.jobOutcomes;
    document["job_latency_us"] = describeLatency(report.jobLatency);
    return document;
}

} // namespace

std::string LoadReport::toText() const
{
    std::string text;
    const ordered_json document = describe(*this);
    for (const auto& [name, value] : document.items()) {
        if (!value.is_object()) {
            text.append(name).append(" ").append(value.dump()).append("\n");
            continue;
        }
        for (const auto& [part, figure] : value.items())
            text.append(name).append(".").append(part).append(" ").append(figure.dump()).append("\n");
    }
    return text;
}

std::string LoadReport::toJson() const { return describe(*this).dump(); }

} // namespace hickoryknot

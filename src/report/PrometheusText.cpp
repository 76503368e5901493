#include "report/PrometheusText.h"

#include <cmath>
#include <fmt/format.h>

#include "report/Metrics.h"

namespace hickoryknot {

namespace {

// Escapes text as the exposition format requires; quotation marks only in label values.
std::string escape(const std::string& text, bool isLabelValue)
{
    std::string result;
    for (const char c : text) {
        if (c == '\\')
            result += "\\\\";
        else if (c == '\n')
            result += "\\n";
        else if (c == '"' && isLabelValue)
            result += "\\\"";
        else
            result += c;
    }
    return result;
}

// Labels in braces, with `le` last if `bound` is given; empty without labels.
std::string formatLabels(const MetricLabels& labels, const std::string& bound = {})
{
    std::string text;
    for (const auto& [name, value] : labels)
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escape(value, true));
    if (!bound.empty())
        text += fmt::format("{}le=\"{}\"", text.empty() ? "" : ",", bound);
    return text.empty() ? text : "{" + text + "}";
}

std::string formatValue(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    return fmt::format("{}", value);
}

const char* typeName(MetricKind kind)
{
    switch (kind) {
    case MetricKind::Counter:
        return "counter";
    case MetricKind::Gauge:
        return "gauge";
    case MetricKind::Latency:
        return "histogram";
    }
    return "untyped";
}

void renderLatency(const std::string& name, const MetricSample& sample, std::string& text)
{
    for (const auto& [bound, count] : sample.cumulative) {
        const std::string le = std::isinf(bound) ? "+Inf" : fmt::format("{:.4g}", bound);
        text += fmt::format("{}_bucket{} {}\n", name, formatLabels(sample.labels, le), count);
    }
    text += fmt::format("{}_sum{} {}\n", name, formatLabels(sample.labels), formatValue(sample.value));
    text += fmt::format("{}_count{} {}\n", name, formatLabels(sample.labels), sample.count);
}

} // namespace

std::string renderPrometheus(const Metrics& metrics)
{
    std::string text;
    for (const MetricFamily& family : metrics.families()) {
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", family.name, escape(family.help, false), family.name,
            typeName(family.kind));
        for (const MetricSample& sample : family.samples) {
            if (family.kind == MetricKind::Latency)
                renderLatency(family.name, sample, text);
            else
                text += fmt::format("{}{} {}\n", family.name, formatLabels(sample.labels), formatValue(sample.value));
        }
    }
    return text;
}

} // namespace hickoryknot

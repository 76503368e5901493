#include "report/Metrics.h"

// With sanitizers enabled, gcc 12 reports false positives about uninitialized arrays in Boost.Histogram.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wuninitialized"
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/histogram.hpp>
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic pop
#endif

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<uint64_t>>;

// Seven decades with four buckets each.
constexpr int latencyBuckets = 28;
constexpr double shortestSeconds = 1e-5;
constexpr double longestSeconds = 1e2;

struct Latency {
    LatencyHistogram histogram { LogAxis(latencyBuckets, shortestSeconds, longestSeconds) };
    double sumSeconds { 0 };
    uint64_t count { 0 };
};

const char* overflowName(MetricKind kind)
{
    switch (kind) {
    case MetricKind::Counter:
        return "hickoryknot_overflow_total";
    case MetricKind::Gauge:
        return "hickoryknot_overflow";
    case MetricKind::Latency:
        return "hickoryknot_overflow_seconds";
    }
    return "hickoryknot_overflow";
}

bool isValidName(const std::string& name)
{
    const auto isAllowed
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_'; };
    return !name.empty() && !(name[0] >= '0' && name[0] <= '9') && std::ranges::all_of(name, isAllowed);
}

// Cumulative number of records up to the upper bound of each bucket, including the underflow bucket below 10 us.
std::vector<std::pair<double, uint64_t>> cumulativeBuckets(const Latency& latency)
{
    std::vector<std::pair<double, uint64_t>> buckets;
    uint64_t sum = 0;
    for (int i = -1; i < latencyBuckets; ++i) {
        sum += latency.histogram.at(i);
        buckets.emplace_back(latency.histogram.axis().value(i + 1), sum);
    }
    buckets.emplace_back(std::numeric_limits<double>::infinity(), latency.count);
    return buckets;
}

} // namespace

struct Metrics::Impl {
    struct Family {
        MetricKind kind { MetricKind::Counter };
        std::string help;
        std::map<MetricLabels, uint32_t> series; // index into the vector of its kind
    };

    uint32_t addSeries(MetricKind kind)
    {
        ++seriesCount;
        switch (kind) {
        case MetricKind::Counter:
            counters.push_back(0);
            return static_cast<uint32_t>(counters.size() - 1);
        case MetricKind::Gauge:
            gauges.push_back(0);
            return static_cast<uint32_t>(gauges.size() - 1);
        case MetricKind::Latency:
            latencies.emplace_back();
            return static_cast<uint32_t>(latencies.size() - 1);
        }
        return 0;
    }

    uint32_t registerSeries(
        MetricKind kind, const std::string& name, const std::string& help, const MetricLabels& labels)
    {
        HICKORYKNOT_ASSERT(isValidName(name), "metric names have letters, digits and underscores");
        const auto known = families.find(name);
        HICKORYKNOT_ASSERT(known == families.end() || known->second.kind == kind, "a metric name has one kind");
        if (known != families.end()) {
            const auto found = known->second.series.find(labels);
            if (found != known->second.series.end())
                return found->second;
        }
        // The overflow series is always registered, once for each kind.
        if (seriesCount >= settings.maxSeries && name != overflowName(kind)) {
            ++droppedCount;
            return registerSeries(kind, overflowName(kind), "Series beyond the limit, counted together.", {});
        }
        Family& family = families[name];
        family.kind = kind;
        family.help = help;
        return family.series[labels] = addSeries(kind);
    }

    MetricSample sample(MetricKind kind, const MetricLabels& labels, uint32_t index) const
    {
        MetricSample sample { .labels = labels };
        if (kind == MetricKind::Counter) {
            sample.value = static_cast<double>(counters[index]);
        } else if (kind == MetricKind::Gauge) {
            sample.value = gauges[index];
        } else {
            sample.value = latencies[index].sumSeconds;
            sample.count = latencies[index].count;
            sample.cumulative = cumulativeBuckets(latencies[index]);
        }
        return sample;
    }

    void mergeSeries(const Impl& other, MetricKind kind, uint32_t to, uint32_t from)
    {
        if (kind == MetricKind::Counter) {
            counters[to] += other.counters[from];
        } else if (kind == MetricKind::Gauge) {
            gauges[to] = other.gauges[from];
        } else {
            latencies[to].histogram += other.latencies[from].histogram;
            latencies[to].sumSeconds += other.latencies[from].sumSeconds;
            latencies[to].count += other.latencies[from].count;
        }
    }

    MetricsSettings settings;
    std::map<std::string, Family> families;
    std::vector<uint64_t> counters;
    std::vector<double> gauges;
    std::vector<Latency> latencies;
    size_t seriesCount { 0 };
    uint64_t droppedCount { 0 };
};

Metrics::Metrics(MetricsSettings settings)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->settings = settings;
}

Metrics::~Metrics() = default;

Metrics::Metrics(const Metrics& other)
    : m_impl(std::make_unique<Impl>(*other.m_impl))
{
}

Metrics& Metrics::operator=(const Metrics& other)
{
    if (this != &other)
        *m_impl = *other.m_impl;
    return *this;
}

CounterId Metrics::counter(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return static_cast<CounterId>(m_impl->registerSeries(MetricKind::Counter, name, help, labels));
}

GaugeId Metrics::gauge(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return static_cast<GaugeId>(m_impl->registerSeries(MetricKind::Gauge, name, help, labels));
}

LatencyId Metrics::latency(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return static_cast<LatencyId>(m_impl->registerSeries(MetricKind::Latency, name, help, labels));
}

void Metrics::add(CounterId id, uint64_t count) { m_impl->counters[static_cast<uint32_t>(id)] += count; }

void Metrics::set(GaugeId id, double value) { m_impl->gauges[static_cast<uint32_t>(id)] = value; }

void Metrics::record(LatencyId id, Duration duration)
{
    Latency& latency = m_impl->latencies[static_cast<uint32_t>(id)];
    // The logarithmic axis needs a positive value; anything below 10 us goes into the lowest bucket.
    const double seconds = std::max(std::chrono::duration<double>(duration).count(), 1e-9);
    latency.histogram(seconds);
    latency.sumSeconds += seconds;
    ++latency.count;
}

uint64_t Metrics::value(CounterId id) const { return m_impl->counters[static_cast<uint32_t>(id)]; }

double Metrics::value(GaugeId id) const { return m_impl->gauges[static_cast<uint32_t>(id)]; }

uint64_t Metrics::count(LatencyId id) const { return m_impl->latencies[static_cast<uint32_t>(id)].count; }

Duration Metrics::quantile(LatencyId id, double q) const
{
    const Latency& latency = m_impl->latencies[static_cast<uint32_t>(id)];
    if (!latency.count)
        return Duration(0);
    const auto rank = static_cast<uint64_t>(std::ceil(std::clamp(q, 0.0, 1.0) * static_cast<double>(latency.count)));
    for (const auto& [bound, count] : cumulativeBuckets(latency)) {
        if (count >= std::max<uint64_t>(rank, 1) && std::isfinite(bound))
            return Duration(std::llround(bound * 1e6));
    }
    return Duration::max();
}

void Metrics::merge(const Metrics& other)
{
    for (const auto& [name, family] : other.m_impl->families) {
        for (const auto& [labels, index] : family.series) {
            const uint32_t target = m_impl->registerSeries(family.kind, name, family.help, labels);
            m_impl->mergeSeries(*other.m_impl, family.kind, target, index);
        }
    }
    m_impl->droppedCount += other.m_impl->droppedCount;
}

uint64_t Metrics::droppedSeries() const { return m_impl->droppedCount; }

std::vector<MetricFamily> Metrics::families() const
{
    std::vector<MetricFamily> families;
    for (const auto& [name, family] : m_impl->families) {
        MetricFamily listed { .name = name, .help = family.help, .kind = family.kind, .samples = {} };
        for (const auto& [labels, index] : family.series)
            listed.samples.push_back(m_impl->sample(family.kind, labels, index));
        families.push_back(std::move(listed));
    }
    return families;
}

} // namespace hickoryknot

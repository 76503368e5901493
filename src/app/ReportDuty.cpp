#include "app/ReportDuty.h"

#include "app/SteadyTime.h"
#include "report/BurnReport.h"
#include "report/PrometheusText.h"

namespace hickoryknot {

ReportDuty::ReportDuty()
    : m_thread({ .name = "report", .ringCapacity = 1024, .period = 1s }, [] {})
{
}

void ReportDuty::record(std::vector<StartSample> samples)
{
    const size_t count = samples.size();
    const bool isTaken = m_thread.tryPost([this, samples = std::move(samples)] {
        for (const auto& sample : samples)
            this->count(sample);
    });
    if (!isTaken)
        m_dropped += count;
}

void ReportDuty::count(const StartSample& sample)
{
    m_buckets.record(sample.row, sample.targetWait, sample.waited, sample.hasStarted, wallNow());
    const auto wait = m_metrics.latency(
        "hickoryknot_wait_seconds", "Waiting time before start.", { { "row", sample.row.value() } });
    m_metrics.record(wait, sample.waited);
    const auto started = m_metrics.counter("hickoryknot_starts_total", "Requests and tasks by whether they started.",
        { { "row", sample.row.value() }, { "started", sample.hasStarted ? "yes" : "no" } });
    m_metrics.add(started);
}

void ReportDuty::update(std::function<void(Metrics&)> update)
{
    m_thread.tryPost([this, update = std::move(update)] { update(m_metrics); });
}

bool ReportDuty::metricsText(std::function<void(std::string)> completion)
{
    return m_thread.tryPost([this, completion = std::move(completion)] {
        m_metrics.set(
            m_metrics.gauge("hickoryknot_dropped_samples", "Waiting times that were not counted since the start."),
            static_cast<double>(m_dropped.load()));
        completion(renderPrometheus(m_metrics));
    });
}

bool ReportDuty::encodedBuckets(std::function<void(std::string)> completion)
{
    return m_thread.tryPost([this, completion = std::move(completion)] { completion(m_buckets.encode(wallNow())); });
}

bool ReportDuty::burnReport(std::string format, HostId self, std::vector<std::pair<HostId, std::string>> others,
    std::vector<HostId> missing, std::function<void(std::string)> completion)
{
    return m_thread.tryPost([this, format = std::move(format), self = std::move(self), others = std::move(others),
                                missing = std::move(missing), completion = std::move(completion)]() mutable {
        const WallTime now = wallNow();
        WaitTimeHistory sum;
        sum.merge(m_buckets, now);
        std::vector<HostId> answered { std::move(self) };
        for (auto& [host, encoded] : others) {
            const auto buckets = WaitTimeHistory::decode(encoded);
            if (buckets)
                sum.merge(*buckets, now);
            (buckets ? answered : missing).push_back(std::move(host));
        }
        const auto report = BurnReport::make(sum, {}, std::move(answered), std::move(missing), now);
        completion(format == "json" ? report.json() : format == "html" ? report.html() : report.text());
    });
}

} // namespace hickoryknot

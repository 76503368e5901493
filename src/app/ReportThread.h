#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/StartSample.h"
#include "app/WorkQueueThread.h"
#include "core/Ids.h"
#include "report/Metrics.h"
#include "report/WaitTimeHistory.h"

namespace hickoryknot {

/// Records waiting times and builds reports on a thread of its own, so that reports never delay requests.
class ReportThread {
public:
    ReportThread();

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }

    /// Records samples; if the queue is full, they are dropped and the drops are counted. Thread-safe.
    void record(std::vector<StartSample>);

    /// Calls `update` with the metrics, for counters maintained by other threads. Thread-safe.
    void update(std::function<void(Metrics&)> update);

    /// Completions run on the report thread. False: the queue is full.
    bool metricsText(std::function<void(std::string)> completion);
    bool encodedBuckets(std::function<void(std::string)> completion);

    /// Builds a burn report from this host's buckets and those of other hosts. `format` is text, json or html.
    bool burnReport(std::string format, HostId self, std::vector<std::pair<HostId, std::string>> others,
        std::vector<HostId> missing, std::function<void(std::string)> completion);

private:
    void count(const StartSample&);

    WaitTimeHistory m_buckets;
    Metrics m_metrics;
    std::atomic<uint64_t> m_dropped { 0 };
    WorkQueueThread m_thread;
};

} // namespace hickoryknot

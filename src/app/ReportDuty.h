#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/DutyThread.h"
#include "app/StartSample.h"
#include "core/Ids.h"
#include "report/Metrics.h"
#include "report/WaitTimeHistory.h"

namespace hickoryknot {

/// The reporting thread: counts waiting times and answers questions about them, so that reports never delay requests.
class ReportDuty {
public:
    ReportDuty();

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }

    /// Counts samples; drops them with a count if the thread is too far behind. Thread safe.
    void record(std::vector<StartSample>);

    /// Runs `update` on the metrics, for counters that other threads keep. Thread safe.
    void update(std::function<void(Metrics&)> update);

    /// Completions run on the reporting thread. False: the thread is too busy.
    bool metricsText(std::function<void(std::string)> completion);
    bool encodedBuckets(std::function<void(std::string)> completion);

    /// One report over this host's buckets and those of other hosts. `format` is text, json or html.
    bool burnReport(std::string format, HostId self, std::vector<std::pair<HostId, std::string>> others,
        std::vector<HostId> missing, std::function<void(std::string)> completion);

private:
    void count(const StartSample&);

    WaitTimeHistory m_buckets;
    Metrics m_metrics;
    std::atomic<uint64_t> m_dropped { 0 };
    DutyThread m_thread;
};

} // namespace hickoryknot

#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/Quantity.h"
#include "core/Time.h"
#include "workflow/Queue.h"
#include "workflow/WorkflowSpec.h"

namespace hickoryknot::workflow {

struct AdmissionSettings {
    /// Fraction of a workflow's slack that the estimated wait may use. Below 1 because estimates are imprecise and more
    /// urgent work may still arrive.
    double usableSlackFraction { 0.9 };
    /// Bounds of the retry delay that is returned to a rejected caller.
    Duration minRetryDelay { 1s };
    Duration maxRetryDelay { 8s };
    /// Fraction of the processors available to queued work; the rest is lost to fragmentation and to gaps between
    /// tasks.
    double usableCapacityFraction { 0.9 };
};

/// Rejects workflows that cannot meet their deadline, so that callers learn it immediately instead of waiting for a
/// late result. Intended for bursts that exceed the capacity for longer than the work can wait.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionSettings settings)
        : m_settings(settings)
    {
    }

    /// Estimated work that is ready but not started, in millicore-microseconds. Excludes running tasks, because a new
    /// workflow does not have to wait for all of their remaining work.
    struct Load {
        /// Work of this priority and of more urgent ones.
        double workAtOrAbove(uint32_t priority) const;

        std::map<uint32_t, double> workByPriority;
    };

    /// Returns nullopt if the workflow is admitted, otherwise the delay after which the caller should retry. `jitter`
    /// in 0..1 spreads that delay, so that rejected callers do not retry at the same time.
    std::optional<Duration> checkAdmission(
        const Queue&, const WorkflowSpec&, const Load&, Millicores capacity, double jitter) const;

private:
    AdmissionSettings m_settings;
};

} // namespace hickoryknot::workflow

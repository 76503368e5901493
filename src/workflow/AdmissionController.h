#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/Quantity.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "workflow/OrganisationIndex.h"
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

    /// A step that is ready but not started. Running tasks do not count, because a new workflow does not have to wait
    /// for all of their remaining work.
    struct WaitingWork {
        uint32_t level { 0 }; // See StepOrder.
        bool isLate { false };
        TimePoint latestStart;
        double work { 0 }; // Estimate in millicore-microseconds.
        // For limits of organisations:
        uint32_t organisation { OrganisationIndex::none }; // Position in the table.
        Resources demand {}; // All waiting tasks by their full size.
        Duration runTime { 0 }; // Estimate for each task.
    };
    using Load = std::vector<WaitingWork>;

    enum class Cause : uint8_t {
        Overload, // More work is waiting than can end in time.
        OrganisationLimit, // The workflow exceeds its organisation's limit even when nothing else runs.
        OrganisationBacklog, // More work of the organisation is waiting than can end in time within its limit.
        OrganisationRate, // Capacity is short, and the organisation submits more than its weight entitles it to.
    };
    struct Rejection {
        Duration retryAfter { 0 }; // When the caller should come back.
        Duration expectedWait { 0 };
        Duration slack { 0 }; // Longest wait with which the workflow meets its deadline.
        Cause cause { Cause::Overload };
        std::string message { "more work is waiting than can end in time" }; // For the caller.
    };
    /// Returns nullopt if the workflow is admitted. `jitter`
    /// in 0..1 spreads that delay, so that rejected callers do not retry at the same time.
    std::optional<Rejection> checkAdmission(
        const Queue&, const WorkflowSpec&, const Load&, Millicores capacity, double jitter, TimePoint now) const;

    /// True for work without a latency objective, which is admitted at any load: scheduled and long-running work.
    static bool isAlwaysAdmitted(const WorkflowSpec&);
    /// Longest wait with which a new workflow meets its deadline.
    static Duration slackOf(const Queue&, const WorkflowSpec&);
    /// True if the work starts before a new workflow of this priority with this latest start.
    static bool isAhead(const WaitingWork&, uint32_t priority, TimePoint latestStart);
    /// Part of a slack that the estimated wait may use.
    Duration usableSlack(Duration slack) const;
    /// Processors that are available to queued work, out of `capacity`.
    double usableCapacity(Millicores capacity) const
    {
        return static_cast<double>(capacity.count()) * m_settings.usableCapacityFraction;
    }
    /// Rejects a workflow that would wait for longer than usableSlack().
    std::optional<Rejection> checkWait(Duration wait, Duration slack, double jitter) const;
    /// Delay for a rejected caller within the bounds of the settings.
    Duration retryDelay(Duration wanted, double jitter) const;

private:
    /// Work that starts before a new workflow of this priority with this latest start.
    static double workAhead(const Load&, uint32_t priority, TimePoint latestStart);

    AdmissionSettings m_settings;
};

} // namespace hickoryknot::workflow

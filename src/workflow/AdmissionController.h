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
    /// Part of the time a workflow may lose by waiting that the expected wait may use up. Below 1, because estimates
    /// are off and more urgent work may still come.
    double usableSlack { 0.9 };
    /// Shortest and longest time after which a refused caller is asked to return.
    Duration shortestReturn { 1s };
    Duration longestReturn { 8s };
    /// Part of the processors that waiting work of all kinds can count on; the rest is lost to fragmentation and to the
    /// time between two tasks.
    double usableCapacity { 0.9 };
};

/// Refuses at once what cannot end in time, so that its caller need not wait for a late answer. Serves bursts that
/// exceed the capacity for longer than the work can wait.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionSettings settings)
        : m_settings(settings)
    {
    }

    /// Estimated work that is ready and has not started, in thousandths of a core times microseconds. Work that runs is
    /// left out: it holds processors that a newcomer does not wait for in full.
    struct Load {
        /// Work of this and more urgent priorities.
        double workUpTo(uint32_t priority) const;

        std::map<uint32_t, double> byPriority;
    };

    /// Empty: let it in. Otherwise the time after which the caller should return. `spread` in 0..1 varies that time
    /// from caller to caller, so that they do not return together.
    std::optional<Duration> refusal(
        const Queue&, const WorkflowSpec&, const Load&, Millicores capacity, double spread) const;

private:
    AdmissionSettings m_settings;
};

} // namespace hickoryknot::workflow

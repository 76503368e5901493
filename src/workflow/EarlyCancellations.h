#pragma once

#include <deque>
#include <unordered_map>

#include "core/Time.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Cancellations of workflows that are not known. A submission can be overtaken by the cancellation of its caller, who
/// has given it up; it must then not be accepted. Remembered for a limited time, and a limited number.
class EarlyCancellations {
public:
    void clear();
    void add(const WorkflowId&, TimePoint now);
    bool contains(const WorkflowId&, TimePoint now) const;
    /// Forgets what is no longer needed.
    void advance(TimePoint now);

private:
    void removeOldest();

    std::unordered_map<WorkflowId, TimePoint> m_cancelledAt;
    std::deque<std::pair<TimePoint, WorkflowId>> m_order; // Oldest first; may name ids that were cancelled again later.
};

} // namespace hickoryknot::workflow

#pragma once

#include <deque>
#include <map>
#include <utility>

#include "core/Time.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Cancellations of workflows that are not known. A submission can be overtaken by the cancellation of its caller, who
/// has given it up; it must then not be accepted. A cancellation holds for submissions of the same organisation only.
/// Remembered for a limited time, and a limited number.
class EarlyCancellations {
public:
    void clear();
    void add(const WorkflowId&, const OrganisationName& caller, TimePoint now);
    bool contains(const WorkflowId&, const OrganisationName& caller, TimePoint now) const;
    /// Forgets what is no longer needed.
    void advance(TimePoint now);

private:
    using Key = std::pair<WorkflowId, OrganisationName>;

    void removeOldest();

    std::map<Key, TimePoint> m_cancelledAt;
    std::deque<std::pair<TimePoint, Key>> m_order; // Oldest first; may name ids that were cancelled again later.
};

} // namespace hickoryknot::workflow

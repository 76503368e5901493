#pragma once

#include <cstdint>
#include <tuple>

#include "core/Time.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

struct ReadyStep;

/// Place of a step in the scheduling order, for times at which more work is ready than fits. Steps that can no longer
/// meet their deadline are worth less and lose one level of priority: they do not delay work of their own priority, but
/// a late urgent step does not starve behind less urgent work either. Steps whose result has no value left come last.
/// Within a level, steps of organisations over their share come last, if capacity is short. Among the others on-time
/// steps come first, then those with the earliest latest start.
class StepOrder {
public:
    /// `isBehindForShare`: capacity is short, and the step's organisation uses clearly more than its share.
    StepOrder(const ReadyStep&, TimePoint now, bool isBehindForShare = false);

    /// Priority that the step competes with: work of a lower level starts first.
    uint32_t level() const { return m_level; }
    bool isLate() const { return m_isLate; }

    friend bool operator<(const StepOrder& a, const StepOrder& b)
    {
        return std::tie(a.m_isExpired, a.m_level, a.m_isBehindForShare, a.m_isLate, a.m_latestStart, *a.m_ref)
            < std::tie(b.m_isExpired, b.m_level, b.m_isBehindForShare, b.m_isLate, b.m_latestStart, *b.m_ref);
    }

private:
    bool m_isExpired;
    uint32_t m_level;
    bool m_isBehindForShare;
    bool m_isLate;
    TimePoint m_latestStart;
    const StepRef* m_ref; // Of the step, which must outlive this object.
};

} // namespace hickoryknot::workflow

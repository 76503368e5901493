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
///
/// What has begun is finished. A workflow of many tasks takes longer to get room for all of them, so that it is more
/// often late before the last one has started; if it then waited behind new ones, it would never end under lasting
/// overload, and the capacity that it has used would be lost. Therefore begun work is not late as long as its result
/// has a value. Among the tasks of a level those of begun workflows come first; gangs start as a whole, so that one
/// that has time left does not delay others.
class StepOrder {
public:
    /// `isBehindForShare`: capacity is short, and the step's organisation uses clearly more than its share.
    StepOrder(const ReadyStep&, TimePoint now, bool isBehindForShare = false);

    /// Priority that the step competes with: work of a lower level starts first.
    uint32_t level() const { return m_level; }
    /// True if the step has not begun and can no longer meet its deadline.
    bool isLate() const { return m_isLate; }

    friend bool operator<(const StepOrder& a, const StepOrder& b)
    {
        const auto key = [](const StepOrder& order) {
            return std::tie(order.m_isExpired, order.m_level, order.m_isBehindForShare, order.m_isLate,
                order.m_comesAfterBegun, order.m_latestStart, *order.m_ref);
        };
        return key(a) < key(b);
    }

private:
    bool m_isExpired;
    uint32_t m_level;
    bool m_isBehindForShare;
    bool m_isLate;
    bool m_comesAfterBegun;
    TimePoint m_latestStart;
    const StepRef* m_ref; // Of the step, which must outlive this object.
};

} // namespace hickoryknot::workflow

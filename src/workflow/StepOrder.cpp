#include "workflow/StepOrder.h"

#include "workflow/ReadyStep.h"

namespace hickoryknot::workflow {

StepOrder::StepOrder(const ReadyStep& step, TimePoint now, bool isBehindForShare)
    : m_isExpired(now > step.expiresAt - step.criticalPath)
    , m_level(step.queue.priority)
    , m_isBehindForShare(isBehindForShare)
    , m_isLate(!step.isBegun && now > step.latestStart())
    , m_comesAfterBegun(!step.isBegun || step.spec->isGang)
    , m_latestStart(step.latestStart())
    , m_ref(&step.ref)
{
    if (m_isLate)
        ++m_level;
}

} // namespace hickoryknot::workflow

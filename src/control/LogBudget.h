#pragma once

#include <cstdint>
#include <map>

#include "app/EventLog.h"
#include "core/Time.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot {

/// Bounds the lines that decisions write under load, so that what remains still tells the story of a failed request.
/// Refusals, failures and stops are written before anything else; of the ordinary course of a workflow either all lines
/// are written or none. Not thread safe.
class LogBudget {
public:
    LogBudget();

    /// Refills the budget. Call it periodically.
    void refill(TimePoint now);

    /// A workflow was accepted; decides whether its ordinary lines are written.
    void begin(const workflow::WorkflowId&);
    /// The workflow has reached its final state; call it after its last line.
    void end(const workflow::WorkflowId&);

    /// The workflows that are written continue at another host.
    void clear();

    /// True if a line about the ordinary course of this workflow is to be written; counts it as left out otherwise.
    bool takeOrdinary(Event, const workflow::WorkflowId&);
    /// The same for a line about a refusal, a failure or a stop.
    bool takeEssential(Event);

    /// Returns and clears the number of lines left out by event.
    std::map<Event, uint64_t> drainLeftOut();
    bool hasLeftOut() const { return !m_leftOut.empty(); }

private:
    double m_lines;
    TimePoint m_lastRefill;
    /// Lines that are already paid for, by workflow whose lines are written.
    std::map<workflow::WorkflowId, double> m_prepaid;
    std::map<Event, uint64_t> m_leftOut;
};

} // namespace hickoryknot

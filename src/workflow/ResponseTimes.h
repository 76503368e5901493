#pragma once

#include <cstdint>

#include "core/LatencyHistogram.h"
#include "core/Time.h"

namespace hickoryknot::workflow {

/// How long workers take to respond and how many requests they leave unanswered, over the last seconds. Answers the
/// load in which some requests are lost or executed late while the others are answered as usual: waiting for the
/// timeout of each lost one would take many times as long as sending it again.
class ResponseTimes {
public:
    /// A response arrived `duration` after its request was sent.
    void addResponse(Duration, TimePoint now);
    /// A worker that was running left a request unanswered.
    void addUnanswered(TimePoint now);

    /// Time after which a response is overdue.
    Duration overdueAfter(TimePoint now);
    /// True if a share of the requests that matters is left unanswered by running workers.
    bool isLossy(TimePoint now);

private:
    struct Window {
        LatencyHistogram durations;
        uint64_t unanswered { 0 };
    };
    void advance(TimePoint now);

    Window m_current;
    TimePoint m_currentSince;
    /// From the last complete window.
    Duration m_overdueAfter;
    bool m_isLossy { false };
};

} // namespace hickoryknot::workflow

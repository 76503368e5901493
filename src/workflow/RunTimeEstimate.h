#pragma once

#include "core/Time.h"

namespace hickoryknot::workflow {

/// Distribution of the run time of one kind of work, in the figures that decisions use.
struct RunTimeEstimate {
    /// For the order of work and expected ends.
    Duration median { 0 };
    /// Exceeded by few runs; for promises and for what counts as a straggler.
    Duration high { 0 };
};

} // namespace hickoryknot::workflow

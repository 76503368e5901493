#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "core/Time.h"
#include "workflow/FinishedRun.h"
#include "workflow/RunTimeEstimate.h"

namespace hickoryknot::workflow {

/// Learns from finished runs how long work takes and how fast workers are. Without samples it returns the declared
/// estimate and speed 1. Deterministic and not thread-safe.
class RunTimeModel {
public:
    void recordEnd(const FinishedRun&, TimePoint now);

    /// Expected run time on a worker of speed 1.
    RunTimeEstimate expectedRunTime(const WorkKind&, Duration declared) const;

    /// Work that the worker does per unit of time; 1 is usual. 1 if it is not known.
    double speedOf(const WorkerIncarnation&) const;

    /// Summary for the replicated record, from which restore() continues.
    std::string summary() const;
    /// Corrupt: not a summary; the model is then empty.
    Expected<void> restore(std::string_view summary, TimePoint now);
};

} // namespace hickoryknot::workflow

#include "workflow/RunTimeModel.h"

namespace hickoryknot::workflow {

void RunTimeModel::recordEnd(const FinishedRun&, TimePoint) { }

RunTimeEstimate RunTimeModel::expectedRunTime(const WorkKind&, Duration declared) const
{
    return { .median = declared, .high = declared };
}

double RunTimeModel::speedOf(const WorkerIncarnation&) const { return 1; }

std::string RunTimeModel::summary() const { return {}; }

Expected<void> RunTimeModel::restore(std::string_view, TimePoint) { return {}; }

} // namespace hickoryknot::workflow

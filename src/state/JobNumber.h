#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/Ids.h"

namespace hickoryknot {

/// Key of a job within one replicated state. The job id on the wire, `<home>:<number>`, names the state that holds the
/// record; the home of cell jobs is `cell`, so no zone may have that name.
struct JobNumber {
    uint32_t number { 0 };
    bool isCellJob { false };

    friend auto operator<=>(const JobNumber&, const JobNumber&) = default; // NOLINT(modernize-use-nullptr)
};

/// `<home>:<number>`.
JobId makeJobId(JobNumber, const ZoneId& zone);

/// `<home>:<number>.<task>`.
TaskId makeTaskId(JobNumber, uint32_t taskIndex, const ZoneId& zone);

/// Empty if the job id is malformed or belongs to another zone than `zone`.
std::optional<JobNumber> parseJobId(const JobId&, const ZoneId& zone);

/// Empty if the task id is malformed or belongs to another zone than `zone`.
std::optional<std::pair<JobNumber, uint32_t>> parseTaskId(const TaskId&, const ZoneId& zone);

/// The home part of a job id: a zone, or empty for the cell. The outer optional is empty if the job id is malformed.
std::optional<std::optional<ZoneId>> homeOfJob(const JobId&);

} // namespace hickoryknot

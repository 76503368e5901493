#pragma once

#include <cstdint>
#include <string>

#include "core/Ids.h"

namespace hickoryknot::workflow {

/// One life of a worker: from its start until its end. A worker that starts again under the same id, or another that
/// starts at the same address, is a new life that knows nothing of the old one.
struct WorkerIncarnation {
    WorkerId worker;
    /// Start of this life by the worker's own calendar, milliseconds since 1970.
    int64_t startTimeMs { 0 };
    /// Where the worker takes orders, ip:port.
    std::string address;

    friend auto operator<=>(const WorkerIncarnation&, const WorkerIncarnation&)
        = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const WorkerIncarnation&, const WorkerIncarnation&) = default;
};

} // namespace hickoryknot::workflow

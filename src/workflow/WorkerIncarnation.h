#pragma once

#include <cstdint>
#include <string>

#include "core/Ids.h"

namespace hickoryknot::workflow {

/// One incarnation of a worker, from its start to its end. A worker that restarts with the same id, or another one that
/// starts at the same address, is a new incarnation without any state of the old one.
struct WorkerIncarnation {
    WorkerId worker;
    /// Start time by the worker's wall clock, milliseconds since 1970.
    int64_t startTimeMs { 0 };
    /// Address for requests, ip:port.
    std::string address;

    friend auto operator<=>(const WorkerIncarnation&, const WorkerIncarnation&)
        = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const WorkerIncarnation&, const WorkerIncarnation&) = default;
};

} // namespace hickoryknot::workflow

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

struct LoadSettings {
    std::vector<Endpoint> entries;
    RowName row;
    TeamId team;
    std::optional<ZoneId> homeZone;
    /// Requests per second over all entry hosts.
    double rate { 100 };
    double jobsPerSecond { 0 };
    Duration length { 10s };
    /// Connections over all entry hosts.
    size_t connections { 64 };
    uint32_t notRepeatablePercent { 0 };
    Duration deadline { 5s };
    size_t bodyBytes { 64 };
    /// Command of each task of each job.
    std::string jobCommand { "run:1000" };
    uint32_t tasksPerJob { 1 };
    uint64_t seed { 1 };
    /// Maximum number of resends after a failure, each to the next entry host.
    uint32_t resends { 0 };
    /// Counts responses that do not contain the id of their request.
    bool checksAnswers { false };
    /// File for one line per request; empty means none.
    std::string logFile;
};

} // namespace hickoryknot

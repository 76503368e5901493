#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

/// One host of the cell as the settings name it.
struct HostAddress {
    HostId host;
    ZoneId zone;
    Endpoint endpoint;
    bool hasDisk { false };
};

/// Settings of `hickoryknot serve`.
struct HostSettings {
    HostId host;
    ZoneId zone;
    Endpoint listen;
    /// Folder for durable state; empty for a host without a disk.
    std::string dataFolder;
    std::string cell { "cell" };
    /// All hosts of the cell at its first start, this one included. Later hosts are learnt from them.
    std::vector<HostAddress> hosts;
    std::string logLevel { "info" };
    /// Seed of every random choice; 0 takes one from the system.
    uint64_t seed { 0 };
    /// Grows with each start of the process: milliseconds since 1970 at the start. Not a setting.
    uint64_t incarnation { 0 };
    size_t maxConnections { 2048 };
    /// Longest a planned stop waits for requests in progress; callers' deadlines are at most this.
    Duration drainBound { 60s };
};

/// Parses `id@zone=ip:port` with `+disk` behind it for a host with a data folder.
Expected<HostAddress> parseHostAddress(const std::string&);

/// Reads flags, then `HICKORYKNOT_...` variables for what no flag gave, and checks all ranges.
/// Returns no settings when only help was asked for, which has then been printed.
Expected<std::optional<HostSettings>> parseHostSettings(int argc, const char* const* argv);

} // namespace hickoryknot

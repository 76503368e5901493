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

/// A host of the cell as configured in the settings.
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
    /// All hosts of the cell at its first start, including this one. Hosts added later are discovered through them.
    std::vector<HostAddress> hosts;
    std::string logLevel { "info" };
    /// Seed of all random number generators; 0 uses a seed from the system.
    uint64_t seed { 0 };
    /// Grows with each start of the process: milliseconds since 1970 at the start. Not a setting.
    uint64_t incarnation { 0 };
    size_t maxConnections { 2048 };
    /// Memory of the machine that this process may use, in MB. The budget for requests is derived from it.
    size_t memoryMb { 512 };
    /// Maximum time a graceful shutdown waits for requests in progress; upper bound of callers' deadlines.
    Duration drainBound { 60s };
};

/// Parses `id@zone=ip:port`, followed by `+disk` for a host with a data folder.
Expected<HostAddress> parseHostAddress(const std::string&);

/// Reads flags and, for flags that are not given, `HICKORYKNOT_...` environment variables, and validates the values.
/// For --help, prints the help and returns no settings.
Expected<std::optional<HostSettings>> parseHostSettings(int argc, const char* const* argv);

} // namespace hickoryknot

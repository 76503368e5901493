#pragma once

#include <cstddef>

namespace hickoryknot {

/// How the descriptors of a process are divided among its ports, so that no port can use up those of another. What is
/// left is for connections that the process opens itself, and for files.
struct DescriptorShares {
    size_t clients { 0 };
    size_t readiness { 0 };
    size_t hostCalls { 0 };
    size_t messages { 0 };
};

/// Kind of process by what it connects to.
enum class DescriptorUse {
    Entry, // A few hosts.
    Control, // All workers.
    Serve, // Hosts and backend servers; all clients use one port.
};

DescriptorShares shareDescriptors(size_t maxDescriptors, DescriptorUse);

/// The lower of the configured limit and that of the process (RLIMIT_NOFILE). 0: only the latter counts.
size_t descriptorLimit(size_t configured);

} // namespace hickoryknot

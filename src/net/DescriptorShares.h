#pragma once

#include <cstddef>

#include "net/DescriptorUse.h"

namespace hickoryknot {

/// How the descriptors of a process are divided among its ports, so that no port can use up those of another. What is
/// left is for connections that the process opens itself, and for files.
struct DescriptorShares {
    size_t clients { 0 };
    size_t readiness { 0 };
    size_t hostCalls { 0 };
    size_t messages { 0 };
};

DescriptorShares shareDescriptors(size_t maxDescriptors, DescriptorUse);

/// The lower of the configured limit and that of the process (RLIMIT_NOFILE). 0: only the latter counts.
size_t descriptorLimit(size_t configured);

} // namespace hickoryknot

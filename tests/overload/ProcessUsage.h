#pragma once

#include <cstddef>
#include <sys/types.h>

namespace hickoryknot::overload {

/// What the kernel reports about a running process.
struct ProcessUsage {
    size_t residentBytes { 0 };
    size_t openDescriptors { 0 };
    size_t openSockets { 0 };
};

/// All zero if the process has ended.
ProcessUsage readUsage(pid_t);

} // namespace hickoryknot::overload

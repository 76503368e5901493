#pragma once

#include <cstdint>

namespace hickoryknot {

/// Number of tasks of a job per state. The four counts add up to the job's tasks unless the job was cancelled or
/// refused.
struct JobProgress {
    uint32_t queued { 0 };
    uint32_t running { 0 };
    uint32_t finished { 0 };
    /// Tasks that are not retried.
    uint32_t failed { 0 };
    bool isCancelled { false };
    bool isRefused { false };

    /// True if no task is running and none will start.
    bool isOver() const { return !queued && !running; }
};

} // namespace hickoryknot

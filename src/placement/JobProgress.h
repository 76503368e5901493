#pragma once

#include <cstdint>

namespace hickoryknot {

/// How many tasks of a job are in which state; the four counts sum to the job's tasks unless it was cancelled or
/// refused.
struct JobProgress {
    uint32_t queued { 0 };
    uint32_t running { 0 };
    uint32_t finished { 0 };
    /// Tasks that will not be tried again.
    uint32_t failed { 0 };
    bool isCancelled { false };
    bool isRefused { false };

    /// True if no task runs and none will start.
    bool isOver() const { return !queued && !running; }
};

} // namespace hickoryknot

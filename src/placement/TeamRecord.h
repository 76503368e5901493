#pragma once

#include "core/Resources.h"

namespace hickoryknot {

/// Quota and usage of one team.
struct TeamRecord {
    /// 0 in a dimension means no limit.
    Resources quota;
    /// Declared sizes of its running tasks.
    Resources used;
    uint32_t running { 0 };
    /// Jobs are blocked on this quota, so that releasing capacity may unblock them.
    bool hasBlockedJobs { false };
};

} // namespace hickoryknot

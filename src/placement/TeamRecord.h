#pragma once

#include "core/Resources.h"

namespace hickoryknot {

/// Quota and use of one team.
struct TeamRecord {
    /// 0 in a dimension means no limit there.
    Resources quota;
    /// Declared sizes of its running tasks.
    Resources used;
    uint32_t running { 0 };
    /// A job waits for this quota, so that a release is progress.
    bool isAwaited { false };
};

} // namespace hickoryknot

#pragma once

#include <cstdint>
#include <vector>

#include "core/Resources.h"
#include "workflow/KeyDigest.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// A customer whose callers identify themselves by keys. Shares capacity with the others by weight.
struct Organisation {
    OrganisationName name;
    std::vector<KeyDigest> keys;
    /// Share of the capacity when all is full, and the submissions per second that the organisation is entitled to.
    double weight { 1 };
    /// What its runs may use at the same time on all workers together; zero in a dimension: no limit.
    Resources limit;

    friend bool operator==(const Organisation&, const Organisation&) = default;
};

} // namespace hickoryknot::workflow

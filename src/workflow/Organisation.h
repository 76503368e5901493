#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/Resources.h"
#include "workflow/KeyDigest.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

constexpr size_t maxOrganisations = 1024;
constexpr size_t maxKeysOfOrganisation = 64;
/// Longer keys are rejected in tables and belong to nobody in calls.
constexpr size_t maxKeyBytes = 256;
/// Names appear in log lines, metrics and explanations.
constexpr size_t maxOrganisationNameBytes = 128;
/// Far above any number of jobs per second; the weight is recorded in thousandths as an integer.
constexpr double maxWeight = 1e9;
/// In any dimension; JSON numbers are exact up to it.
constexpr int64_t maxOrganisationLimit = int64_t { 1 } << 53;

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

#pragma once

#include <vector>

#include "report/Metrics.h"
#include "workflow/OrganisationStatus.h"

namespace hickoryknot {

/// Adds the figures of the organisations as gauges with the label `organisation`. The number of series is bounded; with
/// more organisations, those with the largest use have series of their own.
void addOrganisationMetrics(Metrics&, std::vector<workflow::OrganisationStatus>);

} // namespace hickoryknot

#pragma once

#include <string>

#include "Cluster.h"

namespace review {

/// Runs one case. Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int runCase(const std::string& name, const ClusterOptions&, bool isTroubled, Record&);

} // namespace review

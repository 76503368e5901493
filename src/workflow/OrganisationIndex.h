#pragma once

#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "workflow/Organisation.h"

namespace hickoryknot::workflow {

/// Positions of the organisations in a table by name. A decision looks up thousands of steps, for which a search
/// through the table would be too slow.
class OrganisationIndex {
public:
    /// Position of work without an organisation, or of one that the table does not have.
    static constexpr uint32_t none = std::numeric_limits<uint32_t>::max();

    OrganisationIndex() = default;
    explicit OrganisationIndex(const std::vector<Organisation>&);

    uint32_t find(const OrganisationName&) const;

private:
    std::unordered_map<OrganisationName, uint32_t> m_positions;
};

} // namespace hickoryknot::workflow

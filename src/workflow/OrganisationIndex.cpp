#include "workflow/OrganisationIndex.h"

namespace hickoryknot::workflow {

OrganisationIndex::OrganisationIndex(const std::vector<Organisation>& organisations)
{
    m_positions.reserve(organisations.size());
    for (uint32_t i = 0; i < organisations.size(); ++i)
        m_positions.emplace(organisations[i].name, i);
}

uint32_t OrganisationIndex::find(const OrganisationName& name) const
{
    if (name.isEmpty() || m_positions.empty())
        return none;
    const auto found = m_positions.find(name);
    return found == m_positions.end() ? none : found->second;
}

} // namespace hickoryknot::workflow

#include "workflow/OrganisationUsage.h"

namespace hickoryknot::workflow {

void OrganisationUsage::add(const OrganisationName& name, const Resources& perTask)
{
    if (name.isEmpty())
        return;
    Entry& entry = m_entries[name];
    entry.used += perTask;
    ++entry.runs;
}

void OrganisationUsage::remove(const OrganisationName& name, const Resources& perTask)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end())
        return;
    found->second.used -= perTask;
    if (!--found->second.runs)
        m_entries.erase(found);
}

const Resources& OrganisationUsage::usedBy(const OrganisationName& name) const
{
    static const Resources none;
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? none : found->second.used;
}

} // namespace hickoryknot::workflow

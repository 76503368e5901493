#include "workflow/EarlyCancellations.h"

#include <algorithm>

#include "workflow/OrganisationIndex.h"
#include "workflow/QueueTable.h"

namespace hickoryknot::workflow {

// Organisations of the table count whether or not they use their part, and those that were removed from it count while
// they have entries. Callers without a key count as one organisation.
size_t EarlyCancellations::shareOf(const OrganisationName& organisation, const QueueTable& table) const
{
    const OrganisationIndex index(table.organisations);
    const auto isInTable = [&](const OrganisationName& name) { return index.find(name) != OrganisationIndex::none; };
    size_t organisations = table.organisations.size() + (isInTable(organisation) ? 0 : 1);
    for (const auto& [name, count] : m_countByOrganisation)
        organisations += name != organisation && !isInTable(name) ? 1 : 0;
    return std::max<size_t>(1, capacity / organisations);
}

bool EarlyCancellations::add(const EarlyCancellation& entry, const QueueTable& table)
{
    if (contains(entry.key))
        return true;
    const auto known = m_countByOrganisation.find(entry.key.organisation);
    const size_t count = known == m_countByOrganisation.end() ? 0 : known->second;
    // Far below its part, the number of organisations needs no exact count.
    const size_t mostOrganisations = table.organisations.size() + m_countByOrganisation.size() + 1;
    if (count >= capacity / mostOrganisations && count >= shareOf(entry.key.organisation, table))
        return false;
    m_entries.insert(entry);
    ++m_countByOrganisation[entry.key.organisation];
    return true;
}

void EarlyCancellations::remove(const std::vector<Key>& keys)
{
    for (const auto& key : keys) {
        const auto entry = m_entries.find(key);
        if (entry == m_entries.end())
            continue;
        m_entries.erase(entry);
        const auto count = m_countByOrganisation.find(key.organisation);
        if (!--count->second)
            m_countByOrganisation.erase(count);
    }
}

bool EarlyCancellations::covers(
    const WorkflowId& id, const OrganisationName& organisation, const QueueName& queue, const QueueTable& table) const
{
    const bool needsNoKey = table.organisations.empty() || organisation.isEmpty();
    for (auto entry = m_entries.lower_bound(Key { id, {} }); entry != m_entries.end() && entry->key.id == id; ++entry) {
        const auto& canceller = entry->key.organisation;
        const bool neededNoKey = entry->isWithoutOrganisations || (canceller.isEmpty() && entry->queue == queue);
        if (canceller == organisation || neededNoKey || needsNoKey)
            return true;
    }
    return false;
}

void EarlyCancellations::restore(std::vector<EarlyCancellation> entries)
{
    m_entries.clear();
    m_countByOrganisation.clear();
    for (auto& entry : entries) {
        const auto [added, isNew] = m_entries.insert(std::move(entry));
        if (isNew)
            ++m_countByOrganisation[added->key.organisation];
    }
}

} // namespace hickoryknot::workflow

#include "workflow/KeyIndex.h"

#include "workflow/Organisation.h"

namespace hickoryknot::workflow {

KeyIndex::KeyIndex(const std::vector<Organisation>& organisations)
{
    for (const auto& organisation : organisations) {
        for (const auto& key : organisation.keys)
            m_owners.emplace(key.prefix(), Entry { key, static_cast<uint32_t>(m_names.size()) });
        m_names.push_back(organisation.name);
    }
}

const OrganisationName* KeyIndex::find(const KeyDigest& key) const
{
    const OrganisationName* owner = nullptr;
    const auto [begin, end] = m_owners.equal_range(key.prefix());
    for (auto entry = begin; entry != end; ++entry) {
        if (entry->second.key.matches(key))
            owner = &m_names[entry->second.name];
    }
    return owner;
}

} // namespace hickoryknot::workflow

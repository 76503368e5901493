#pragma once

#include "WorkflowSamples.h"

namespace hickoryknot::workflow::samples {

struct NameAndKeys {
    std::string name;
    std::vector<std::string> keys;
};

/// The sample table with a public queue "open" and with organisations.
inline QueueTable tableWith(uint64_t version, const std::vector<NameAndKeys>& organisations)
{
    QueueTable result = table(version);
    result.queues.push_back(queue("open"));
    result.queues.back().isPublic = true;
    for (const auto& [name, keys] : organisations) {
        Organisation& added = result.organisations.emplace_back();
        added.name = OrganisationName(name);
        for (const auto& key : keys)
            added.keys.push_back(KeyDigest::of(key));
    }
    return result;
}

} // namespace hickoryknot::workflow::samples

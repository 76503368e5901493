#pragma once

#include <cstddef>
#include <unordered_map>

#include "core/Resources.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// What each organisation may have running on all workers together, by the full size of its tasks (StepSpec::perTask):
/// tasks that use spare processors count like any other. Runs without an organisation are not counted. Not thread-safe.
class OrganisationUsage {
public:
    /// A run of this size may be running from now on.
    void add(const OrganisationName&, const Resources& perTask);
    /// A run that was added with this size has certainly ended.
    void remove(const OrganisationName&, const Resources& perTask);
    void clear() { m_entries.clear(); }

    /// Zero for organisations without runs.
    const Resources& usedBy(const OrganisationName&) const;
    /// Number of organisations with runs.
    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        Resources used;
        size_t runs { 0 };
    };
    std::unordered_map<OrganisationName, Entry> m_entries;
};

} // namespace hickoryknot::workflow

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Resources.h"
#include "workflow/Organisation.h"
#include "workflow/OrganisationIndex.h"

namespace hickoryknot::workflow {

class OrganisationUsage;
struct StepSpec;

/// What each organisation may still start within its limit during one planning pass. Guards the capacity that other
/// organisations rely on against one that submits more than its limit lets run.
class OrganisationHeadroom {
public:
    /// Begins a pass with the table in force and with what may be running.
    void reset(const std::vector<Organisation>&, const OrganisationUsage&);

    /// True if some organisation has a limit.
    bool hasLimits() const { return m_hasLimits; }
    /// Position for the other functions; OrganisationIndex::none: no limit.
    uint32_t find(const OrganisationName& name) const { return m_index.find(name); }

    /// Number of tasks of this size, at most `tasks`, that may start. None may while any limit is exceeded, also by a
    /// resource that the tasks do not need.
    uint32_t startableTasks(uint32_t organisation, const Resources& perTask, uint32_t tasks) const;
    /// A task is placed in this pass.
    void take(uint32_t organisation, const Resources& perTask);

    /// Keeps this amount for an earlier step that waits, unless it exceeds the limit even when nothing else runs.
    void claim(uint32_t organisation, const Resources&);

    /// The same as startableTasks() for one organisation that uses `used`.
    static uint32_t startableTasks(
        const Resources& limit, const Resources& used, const Resources& perTask, uint32_t tasks);

private:
    struct Entry {
        Resources limit;
        Resources used;
    };
    OrganisationIndex m_index;
    std::vector<Entry> m_entries;
    bool m_hasLimits { false };
};

/// Says in words for a person why the organisation's limit lets no waiting task of the step start, as the rest of a
/// sentence ("because your organisation uses 40 of its 40 processors"). Empty if the limit lets one start.
std::string explainLimit(const Organisation&, const Resources& used, const StepSpec&, uint32_t waitingTasks);

/// Names the resource and the amounts if a task of the step, or all tasks of a gang, exceed the organisation's limit
/// even when nothing else runs; otherwise empty.
std::string describeLimitViolation(const Organisation&, const StepSpec&);

} // namespace hickoryknot::workflow

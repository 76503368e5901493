#include "workflow/OrganisationHeadroom.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

#include "workflow/OrganisationUsage.h"
#include "workflow/StepSpec.h"

namespace hickoryknot::workflow {

namespace {

std::string formatProcessors(Millicores amount)
{
    constexpr int64_t perProcessor = 1000;
    return amount.count() % perProcessor ? fmt::format("{}", static_cast<double>(amount.count()) / perProcessor)
                                         : std::to_string(amount.count() / perProcessor);
}

/// One dimension of a limit in words.
struct Dimension {
    int64_t limit;
    int64_t used;
    int64_t demand;
    std::string limitText;
    std::string usedText;
    std::string demandText;
    const char* unit;
};

std::array<Dimension, 3> dimensionsOf(const Resources& limit, const Resources& used, const Resources& demand)
{
    const auto plain = [](int64_t have, int64_t in, int64_t want, const char* unit) {
        return Dimension { have, in, want, std::to_string(have), std::to_string(in), std::to_string(want), unit };
    };
    return { Dimension { limit.millicores.count(), used.millicores.count(), demand.millicores.count(),
                 formatProcessors(limit.millicores), formatProcessors(used.millicores),
                 formatProcessors(demand.millicores), "processors" },
        plain(limit.mebibytes.count(), used.mebibytes.count(), demand.mebibytes.count(), "MiB of memory"),
        plain(limit.accelerators.count(), used.accelerators.count(), demand.accelerators.count(), "accelerators") };
}

Resources smallestStart(const StepSpec& spec, uint32_t waitingTasks)
{
    return spec.isGang ? spec.perTask * static_cast<int64_t>(waitingTasks) : spec.perTask;
}

} // namespace

void OrganisationHeadroom::reset(const std::vector<Organisation>& organisations, const OrganisationUsage& usage)
{
    m_hasLimits = std::any_of(organisations.begin(), organisations.end(),
        [](const Organisation& organisation) { return organisation.limit != Resources {}; });
    m_index = OrganisationIndex(organisations);
    m_entries.clear();
    for (const auto& organisation : organisations)
        m_entries.push_back({ .limit = organisation.limit, .used = usage.usedBy(organisation.name) });
}

uint32_t OrganisationHeadroom::startableTasks(
    const Resources& limit, const Resources& used, const Resources& perTask, uint32_t tasks)
{
    uint32_t startable = tasks;
    const auto apply = [&](int64_t most, int64_t present, int64_t demand) {
        if (most <= 0)
            return;
        if (present > most)
            startable = 0;
        else if (demand > 0)
            startable = static_cast<uint32_t>(std::clamp<int64_t>((most - present) / demand, 0, startable));
    };
    apply(limit.millicores.count(), used.millicores.count(), perTask.millicores.count());
    apply(limit.mebibytes.count(), used.mebibytes.count(), perTask.mebibytes.count());
    apply(limit.accelerators.count(), used.accelerators.count(), perTask.accelerators.count());
    return startable;
}

uint32_t OrganisationHeadroom::startableTasks(uint32_t organisation, const Resources& perTask, uint32_t tasks) const
{
    if (organisation >= m_entries.size())
        return tasks;
    const Entry& entry = m_entries[organisation];
    return startableTasks(entry.limit, entry.used, perTask, tasks);
}

void OrganisationHeadroom::take(uint32_t organisation, const Resources& perTask)
{
    if (organisation < m_entries.size())
        m_entries[organisation].used += perTask;
}

void OrganisationHeadroom::claim(uint32_t organisation, const Resources& amount)
{
    if (organisation < m_entries.size() && startableTasks(m_entries[organisation].limit, {}, amount, 1))
        m_entries[organisation].used += amount;
}

std::string explainLimit(
    const Organisation& organisation, const Resources& used, const StepSpec& spec, uint32_t waitingTasks)
{
    if (const auto violation = describeLimitViolation(organisation, spec); !violation.empty())
        return "because " + violation;
    const Resources demand = smallestStart(spec, waitingTasks);
    for (const auto& dimension : dimensionsOf(organisation.limit, used, demand)) {
        if (dimension.limit <= 0 || dimension.used + dimension.demand <= dimension.limit)
            continue;
        const auto uses = fmt::format(
            "because your organisation uses {} of its {} {}", dimension.usedText, dimension.limitText, dimension.unit);
        return dimension.used >= dimension.limit
            ? uses
            : fmt::format("{}, and {} needs {}", uses, spec.isGang ? "the gang" : "a task", dimension.demandText);
    }
    return {};
}

std::string describeLimitViolation(const Organisation& organisation, const StepSpec& spec)
{
    for (const auto& dimension : dimensionsOf(organisation.limit, {}, smallestStart(spec, spec.count))) {
        if (dimension.limit > 0 && dimension.demand > dimension.limit)
            return fmt::format("{} needs {} {}, and the limit of organisation {} is {}",
                spec.isGang ? "its gang" : "one of its tasks", dimension.demandText, dimension.unit,
                organisation.name.value(), dimension.limitText);
    }
    return {};
}

} // namespace hickoryknot::workflow

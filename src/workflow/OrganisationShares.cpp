#include "workflow/OrganisationShares.h"

#include <algorithm>

#include "workflow/OrganisationUsage.h"

namespace hickoryknot::workflow {

namespace {

/// An organisation is over its share from this multiple of it on. Closer to it, one task more or less would decide.
constexpr double enterFactor = 1.5;
/// It stays over its share down to this multiple.
constexpr double leaveFactor = 1.2;
/// Weight in place of zero: such an organisation gets what the others leave.
constexpr double minWeight = 1e-6;

} // namespace

double OrganisationShares::dominantFraction(const Resources& used, const Resources& capacity)
{
    const auto fraction = [](int64_t part, int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    };
    return std::max({ fraction(used.millicores.count(), capacity.millicores.count()),
        fraction(used.mebibytes.count(), capacity.mebibytes.count()),
        fraction(used.accelerators.count(), capacity.accelerators.count()) });
}

// The entitlement of an organisation is its weight's part of what all of them use: part of the capacity may be used by
// nobody, or by work without an organisation.
void OrganisationShares::update(const std::vector<Organisation>& organisations, const OrganisationUsage& usage,
    const std::vector<bool>& hasWaitingWork, const Resources& capacity)
{
    m_uses.assign(organisations.size(), {});
    double totalUsed = 0;
    double totalWeight = 0;
    for (size_t i = 0; i < organisations.size(); ++i) {
        Use& use = m_uses[i];
        use.used = dominantFraction(usage.usedBy(organisations[i].name), capacity);
        const bool hasWork = use.used > 0 || (i < hasWaitingWork.size() && hasWaitingWork[i]);
        use.share = hasWork ? std::max(organisations[i].weight, minWeight) : 0;
        totalUsed += use.used;
        totalWeight += use.share;
    }
    std::unordered_set<OrganisationName> over;
    for (size_t i = 0; i < organisations.size(); ++i) {
        Use& use = m_uses[i];
        use.share = totalWeight > 0 ? use.share / totalWeight : 0;
        const double factor = m_over.contains(organisations[i].name) ? leaveFactor : enterFactor;
        use.isOver = use.used > use.share * totalUsed * factor;
        if (use.isOver)
            over.insert(organisations[i].name);
    }
    m_over = std::move(over);
}

void OrganisationShares::clear()
{
    m_uses.clear();
    m_over.clear();
}

} // namespace hickoryknot::workflow

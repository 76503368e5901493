#pragma once

#include <unordered_set>
#include <vector>

#include "core/Resources.h"
#include "workflow/Organisation.h"

namespace hickoryknot::workflow {

class OrganisationUsage;

/// Decides which organisations are over their share of the capacity, for times at which more work waits than fits: an
/// organisation with many times its usual load would otherwise take the capacity of the others. The share of an
/// organisation is its part of the weights of all organisations with work; what it uses is the largest of its fractions
/// of the processors, memory and accelerators.
class OrganisationShares {
public:
    /// Work of one organisation, in the order of the table.
    struct Use {
        double used { 0 }; // Dominant fraction of the capacity.
        double share { 0 }; // Fraction that it is entitled to; zero without work.
        bool isOver { false };
    };
    /// `hasWaitingWork` has one entry for each organisation. Organisations that were over their share stay so until
    /// they are back close to it, since a single end of a run would otherwise change the order in every pass.
    void update(const std::vector<Organisation>&, const OrganisationUsage&, const std::vector<bool>& hasWaitingWork,
        const Resources& capacity);
    void clear();

    /// `organisation` is a position in the table; false for others.
    bool isOver(size_t organisation) const { return organisation < m_uses.size() && m_uses[organisation].isOver; }
    /// As of the last update, in the order of its table.
    const std::vector<Use>& uses() const { return m_uses; }

    /// Largest fraction of the capacity in any dimension; dimensions without capacity do not count.
    static double dominantFraction(const Resources& used, const Resources& capacity);

private:
    std::vector<Use> m_uses;
    std::unordered_set<OrganisationName> m_over;
};

} // namespace hickoryknot::workflow

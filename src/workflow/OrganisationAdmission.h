#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "workflow/AdmissionController.h"
#include "workflow/Organisation.h"
#include "workflow/SubmissionRates.h"

namespace hickoryknot::workflow {

class OrganisationUsage;

/// Admission by organisation, for an organisation that submits many times its usual load: its own workflows are
/// refused, and those of others are admitted as without it. Without organisations, and with one without a limit, every
/// decision is that of AdmissionController. Soft state of one leadership. Not thread-safe.
class OrganisationAdmission {
public:
    explicit OrganisationAdmission(const AdmissionController& admissionController)
        : m_admissionController(admissionController)
    {
    }

    struct Request {
        const Queue& queue;
        const WorkflowSpec& spec;
        const OrganisationName& organisation; // Empty: none.
        const std::vector<Organisation>& organisations; // Of the table in force.
        const OrganisationUsage& usage;
        const AdmissionController::Load& load;
        Millicores capacity; // Of the queue's pool.
        double jitter { 0 }; // 0..1, as for AdmissionController.
    };
    /// Returns nullopt if the workflow is admitted, which counts for the rate of its organisation.
    std::optional<AdmissionController::Rejection> check(const Request&, TimePoint now);

    /// Workflows of the organisation that were refused, for any cause.
    uint64_t refusals(const OrganisationName&) const;
    /// Forgets the submission rates, but not the number of refusals.
    void clear() { m_rates.clear(); }

private:
    using Rejection = AdmissionController::Rejection;
    using Cause = AdmissionController::Cause;
    std::optional<Rejection> decide(const Request&, const Organisation*, TimePoint now) const;
    Rejection rejectForLimit(const std::string& violation, double jitter) const;
    /// Rejects if the organisation's own waiting work takes too long within its limit.
    std::optional<Rejection> checkBacklog(const Request&, const Organisation&, uint32_t position, TimePoint now) const;
    std::optional<Rejection> checkShares(const Request&, const Organisation*, uint32_t position, TimePoint now) const;
    void forgetRemoved(const std::vector<Organisation>&);

    const AdmissionController& m_admissionController;
    SubmissionRates m_rates;
    std::unordered_map<OrganisationName, uint64_t> m_refusals;
};

} // namespace hickoryknot::workflow

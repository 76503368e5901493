#include "control/OrganisationMetrics.h"

#include <algorithm>

namespace hickoryknot {

using namespace workflow;

namespace {

/// Organisations with series of their own: more than the 140 of the size to design for. A table may have 1,024, of
/// which five series each would exceed what Metrics holds.
constexpr size_t maxOrganisations = 200;

double processors(Millicores amount)
{
    constexpr double millicoresPerProcessor = 1000;
    return static_cast<double>(amount.count()) / millicoresPerProcessor;
}

} // namespace

void addOrganisationMetrics(Metrics& metrics, std::vector<OrganisationStatus> organisations)
{
    metrics.set(metrics.gauge("hickoryknot_organisations", "Organisations of the table"),
        static_cast<double>(organisations.size()));
    if (organisations.size() > maxOrganisations) {
        std::stable_sort(organisations.begin(), organisations.end(),
            [](const auto& a, const auto& b) { return a.dominantFraction > b.dominantFraction; });
        organisations.resize(maxOrganisations);
    }
    for (const auto& status : organisations) {
        const auto set = [&](const char* name, const char* help, double value) {
            metrics.set(metrics.gauge(name, help, { { "organisation", status.name.value() } }), value);
        };
        set("hickoryknot_organisation_processors", "Processors of the runs that may be running",
            processors(status.used.millicores));
        set("hickoryknot_organisation_processor_limit", "Most processors that may run at the same time; 0: no limit",
            processors(status.limit.millicores));
        set("hickoryknot_organisation_used_fraction", "Used fraction of the capacity, of the scarcest resource",
            status.dominantFraction);
        set("hickoryknot_organisation_share", "Part of the used capacity that the weight entitles to", status.share);
        set("hickoryknot_organisation_refusals", "Workflows refused since the host started",
            static_cast<double>(status.refusals));
    }
}

} // namespace hickoryknot

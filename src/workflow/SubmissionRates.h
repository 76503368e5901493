#pragma once

#include <unordered_map>

#include "core/Time.h"
#include "workflow/Organisation.h"

namespace hickoryknot::workflow {

/// Compares the workflows accepted from each organisation with the rate that it is entitled to: `weight` per second,
/// and a short burst. For full load, at which an organisation above its rate is refused before others.
class SubmissionRates {
public:
    /// True if the organisation has accepted fewer workflows lately than its rate allows.
    bool isWithinRate(const Organisation&, TimePoint now) const;
    /// Time until isWithinRate(), if nothing is accepted meanwhile; at most an hour.
    Duration timeUntilWithinRate(const Organisation&, TimePoint now) const;
    /// A workflow of the organisation is accepted.
    void onAccepted(const Organisation&, TimePoint now);
    void clear() { m_buckets.clear(); }
    /// Forgets the organisations that are not in this table.
    void retain(const std::vector<Organisation>&);
    size_t size() const { return m_buckets.size(); }

private:
    struct Bucket {
        double tokens { 0 };
        TimePoint updatedAt;
    };
    double tokens(const Organisation&, TimePoint now) const;

    std::unordered_map<OrganisationName, Bucket> m_buckets; // An organisation without one has a full one.
};

} // namespace hickoryknot::workflow

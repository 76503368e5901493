#include "workflow/SubmissionRates.h"

#include <algorithm>

namespace hickoryknot::workflow {

namespace {

/// Seconds of the rate that may be submitted at once: callers send in bursts, and one of a few seconds is still work
/// that the organisation is entitled to.
constexpr double burstSeconds = 2;
/// Smallest burst, for organisations with less than one workflow per second.
constexpr double minBurst = 2;
constexpr Duration maxWait = 3600s;

double burst(const Organisation& organisation) { return std::max(minBurst, organisation.weight * burstSeconds); }

} // namespace

double SubmissionRates::tokens(const Organisation& organisation, TimePoint now) const
{
    const auto known = m_buckets.find(organisation.name);
    if (known == m_buckets.end())
        return burst(organisation);
    const double seconds = std::chrono::duration<double>(now - known->second.updatedAt).count();
    return std::min(burst(organisation), known->second.tokens + std::max(seconds, 0.0) * organisation.weight);
}

bool SubmissionRates::isWithinRate(const Organisation& organisation, TimePoint now) const
{
    return tokens(organisation, now) >= 1;
}

Duration SubmissionRates::timeUntilWithinRate(const Organisation& organisation, TimePoint now) const
{
    const double missing = 1 - tokens(organisation, now);
    if (missing <= 0)
        return Duration(0);
    const double maxSeconds = std::chrono::duration<double>(maxWait).count();
    const double seconds = organisation.weight > 0 ? std::min(missing / organisation.weight, maxSeconds) : maxSeconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Never below zero: what was accepted while capacity was plentiful is no debt.
void SubmissionRates::onAccepted(const Organisation& organisation, TimePoint now)
{
    const double left = std::max(0.0, tokens(organisation, now) - 1);
    m_buckets[organisation.name] = { .tokens = left, .updatedAt = now };
}

void SubmissionRates::retain(const std::vector<Organisation>& organisations)
{
    std::erase_if(m_buckets, [&](const auto& item) {
        return std::none_of(organisations.begin(), organisations.end(),
            [&](const Organisation& organisation) { return organisation.name == item.first; });
    });
}

} // namespace hickoryknot::workflow

#include "workflow/OrganisationAdmission.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

#include "workflow/OrganisationHeadroom.h"
#include "workflow/OrganisationUsage.h"

namespace hickoryknot::workflow {

namespace {

/// Weight in place of zero, so that shares are defined.
constexpr double minWeight = 1e-6;

double weightOf(const Organisation& organisation) { return std::max(organisation.weight, minWeight); }

/// The longest time that waiting tasks need within a limit, over its dimensions.
Duration timeWithin(const Resources& limit, const std::array<double, 3>& work)
{
    double longest = 0;
    const auto consider = [&](int64_t most, double amount) {
        if (most > 0)
            longest = std::max(longest, amount / static_cast<double>(most));
    };
    consider(limit.millicores.count(), work[0]);
    consider(limit.mebibytes.count(), work[1]);
    consider(limit.accelerators.count(), work[2]);
    return Duration(static_cast<int64_t>(longest));
}

} // namespace

std::optional<AdmissionController::Rejection> OrganisationAdmission::check(const Request& request, TimePoint now)
{
    forgetRemoved(request.organisations);
    const auto found = std::find_if(
        request.organisations.begin(), request.organisations.end(), [&](const Organisation& organisation) {
            return !request.organisation.isEmpty() && organisation.name == request.organisation;
        });
    const Organisation* organisation = found == request.organisations.end() ? nullptr : &*found;
    auto rejection = decide(request, organisation, now);
    if (organisation && rejection)
        ++m_refusals[organisation->name];
    else if (organisation)
        m_rates.onAccepted(*organisation, now);
    return rejection;
}

std::optional<AdmissionController::Rejection> OrganisationAdmission::decide(
    const Request& request, const Organisation* organisation, TimePoint now) const
{
    // Also for work that is admitted at any load: it could never start.
    if (organisation) {
        for (const auto& step : request.spec.steps) {
            if (const auto violation = describeLimitViolation(*organisation, step); !violation.empty())
                return rejectForLimit(violation, request.jitter);
        }
    }
    const bool hasLimits = std::any_of(request.organisations.begin(), request.organisations.end(),
        [](const Organisation& other) { return other.limit != Resources {}; });
    if (AdmissionController::isAlwaysAdmitted(request.spec) || request.capacity.count() <= 0)
        return std::nullopt;
    if (request.organisations.size() < 2 && !hasLimits)
        return m_admissionController.checkAdmission(
            request.queue, request.spec, request.load, request.capacity, request.jitter, now);
    const uint32_t position
        = organisation ? static_cast<uint32_t>(organisation - request.organisations.data()) : OrganisationIndex::none;
    if (organisation) {
        if (auto rejection = checkBacklog(request, *organisation, position, now))
            return rejection;
    }
    return checkShares(request, organisation, position, now);
}

// The limit of a table does not change by waiting, so the caller gets the longest delay.
AdmissionController::Rejection OrganisationAdmission::rejectForLimit(const std::string& violation, double jitter) const
{
    return { .retryAfter = m_admissionController.retryDelay(Duration::max() / 4, jitter),
        .cause = Cause::OrganisationLimit,
        .message = "the workflow exceeds the limit of its organisation: " + violation };
}

std::optional<AdmissionController::Rejection> OrganisationAdmission::checkBacklog(
    const Request& request, const Organisation& organisation, uint32_t position, TimePoint now) const
{
    const Duration slack = AdmissionController::slackOf(request.queue, request.spec);
    std::array<double, 3> work {};
    for (const auto& waiting : request.load) {
        if (waiting.organisation != position
            || !AdmissionController::isAhead(waiting, request.queue.priority, now + slack))
            continue;
        const auto runTime = static_cast<double>(waiting.runTime.count());
        work[0] += static_cast<double>(waiting.demand.millicores.count()) * runTime;
        work[1] += static_cast<double>(waiting.demand.mebibytes.count()) * runTime;
        work[2] += static_cast<double>(waiting.demand.accelerators.count()) * runTime;
    }
    auto rejection = m_admissionController.checkWait(timeWithin(organisation.limit, work), slack, request.jitter);
    if (rejection) {
        rejection->cause = Cause::OrganisationBacklog;
        rejection->message = fmt::format(
            "more work of organisation {} is waiting than can end in time within its limit", organisation.name.value());
    }
    return rejection;
}

// Capacity is short if the work ahead takes longer than the workflow can wait; of each organisation counts only what
// its limit lets run in that time. Only then rates and shares decide. The load of another organisation counts up to its
// share of the capacity in that time, so that an organisation with little waiting work is never refused for others.
std::optional<AdmissionController::Rejection> OrganisationAdmission::checkShares(
    const Request& request, const Organisation* organisation, uint32_t position, TimePoint now) const
{
    const auto& organisations = request.organisations;
    const Duration slack = AdmissionController::slackOf(request.queue, request.spec);
    const auto window = static_cast<double>(std::max(m_admissionController.usableSlack(slack), Duration(0)).count());
    const double usable = m_admissionController.usableCapacity(request.capacity);
    const size_t none = organisations.size(); // Work without an organisation comes last.
    std::vector<double> ahead(organisations.size() + 1);
    for (const auto& waiting : request.load) {
        if (AdmissionController::isAhead(waiting, request.queue.priority, now + slack))
            ahead[std::min<size_t>(waiting.organisation, none)] += waiting.work;
    }
    double total = 0;
    for (size_t i = 0; i < ahead.size(); ++i) {
        const int64_t limit = i < none ? organisations[i].limit.millicores.count() : 0;
        if (limit > 0)
            ahead[i] = std::min(ahead[i], static_cast<double>(limit) * window);
        total += ahead[i];
    }
    const auto waitFor = [&](double work) { return Duration(static_cast<int64_t>(work / usable)); };
    auto overload = m_admissionController.checkWait(waitFor(total), slack, request.jitter);
    if (!overload || organisations.size() < 2)
        return overload;
    if (organisation && !m_rates.isWithinRate(*organisation, now)) {
        overload->retryAfter
            = m_admissionController.retryDelay(m_rates.timeUntilWithinRate(*organisation, now), request.jitter);
        overload->cause = Cause::OrganisationRate;
        overload->message
            = fmt::format("capacity is short, and organisation {} submits more than the {:g} workflows per second "
                          "that its weight entitles it to",
                organisation->name.value(), organisation->weight);
        return overload;
    }
    const size_t own = std::min<size_t>(position, none);
    double weights = 0;
    double tableWeights = 0;
    std::vector<double> activeWeights(ahead.size());
    for (size_t i = 0; i < none; ++i) {
        tableWeights += weightOf(organisations[i]);
        const bool isActive = i == own || ahead[i] > 0 || request.usage.usedBy(organisations[i].name) != Resources {};
        activeWeights[i] = isActive ? weightOf(organisations[i]) : 0;
    }
    // All work without an organisation shares like one of average weight.
    activeWeights[none] = own == none || ahead[none] > 0 ? tableWeights / static_cast<double>(none) : 0;
    for (const double weight : activeWeights)
        weights += weight;
    double entitled = 0;
    for (size_t i = 0; i < ahead.size(); ++i) {
        const double share = usable * window * activeWeights[i] / weights;
        entitled += i == own ? ahead[i] : std::min(ahead[i], share);
    }
    return m_admissionController.checkWait(waitFor(entitled), slack, request.jitter);
}

uint64_t OrganisationAdmission::refusals(const OrganisationName& name) const
{
    const auto found = m_refusals.find(name);
    return found == m_refusals.end() ? 0 : found->second;
}

// The state is bounded by the size of a table.
void OrganisationAdmission::forgetRemoved(const std::vector<Organisation>& organisations)
{
    if (m_rates.size() > organisations.size())
        m_rates.retain(organisations);
    if (m_refusals.size() <= organisations.size())
        return;
    std::erase_if(m_refusals, [&](const auto& item) {
        return std::none_of(organisations.begin(), organisations.end(),
            [&](const Organisation& organisation) { return organisation.name == item.first; });
    });
}

} // namespace hickoryknot::workflow

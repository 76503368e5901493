#include "report/BurnReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>

#include "core/Assert.h"
#include "report/ReportText.h"

namespace hickoryknot {

namespace {

struct WindowDefinition {
    const char* name;
    uint32_t minutes;
};

constexpr std::array<WindowDefinition, 4> windowDefinitions { {
    { "5 min", 5 },
    { "1 h", 60 },
    { "6 h", 6 * 60 },
    { "24 h", 24 * 60 },
} };

constexpr size_t hourWindow = 1;
constexpr size_t dayWindow = 3;

// Late share divided by the allowed share.
double burnRateOf(const StartCounts& sum, double allowedShare)
{
    return sum.total ? static_cast<double>(sum.late) / static_cast<double>(sum.total) / allowedShare : 0;
}

// Time until the budget is used up at the burn rate of the last hour.
std::optional<Duration> timeToExhaustion(const BurnRow& row)
{
    const double left = 1 - row.windows[dayWindow].budgetBurnt;
    const double rate = row.windows[hourWindow].burnRate;
    if (row.windows[dayWindow].total && left <= 0)
        return Duration(0);
    // At a rate of 1 or less, late starts leave the 24 hour window as fast as new ones are added.
    if (rate <= 1)
        return std::nullopt;
    const std::chrono::duration<double> day = std::chrono::hours(24);
    return std::chrono::duration_cast<Duration>(day * left / rate);
}

std::string budgetSentence(const BurnRow& row, double objective)
{
    const BurnWindow& day = row.windows[dayWindow];
    const std::string objectiveText = formatPercent(objective);
    if (!row.budgetExhaustedIn)
        return fmt::format("{} of the budget for late starts is used; at the last hour's rate it lasts.",
            formatPercent(day.budgetBurnt));
    if (*row.budgetExhaustedIn == 0us)
        return fmt::format("The budget is used up: {} starts were late or given up, more than the objective of {} "
                           "allows.",
            day.late, objectiveText);
    return fmt::format("{} of the budget for late starts is used; the last hour burnt {:.1f} times what the objective "
                       "of {} allows, so the budget ends in {}.",
        formatPercent(day.budgetBurnt), row.windows[hourWindow].burnRate, objectiveText,
        formatDuration(*row.budgetExhaustedIn));
}

std::string summarize(const BurnRow& row, double objective)
{
    const BurnWindow& day = row.windows[dayWindow];
    const std::string& name = row.row.value();
    if (!day.total)
        return fmt::format("{}: nothing was started in the last 24 hours.", name);
    const double inTime = static_cast<double>(day.total - day.late) / static_cast<double>(day.total);
    return fmt::format("{}: {} of {} starts in the last 24 hours came within the target of {}. {}", name,
        formatPercent(inTime), day.total, formatDuration(row.targetWait), budgetSentence(row, objective));
}

BurnRow makeRow(const WaitTimeHistory& buckets, const RowName& name, double objective, WallTime now)
{
    BurnRow row { .row = name, .targetWait = buckets.targetWait(name) };
    const double allowedShare = 1 - objective;
    const StartCounts day = buckets.sum(name, WaitTimeHistory::minutes, 0, now);
    const double budget = static_cast<double>(day.total) * allowedShare;
    for (size_t i = 0; i < windowDefinitions.size(); ++i) {
        const StartCounts sum = buckets.sum(name, windowDefinitions[i].minutes, 0, now);
        row.windows[i] = { .name = windowDefinitions[i].name,
            .minutes = windowDefinitions[i].minutes,
            .total = sum.total,
            .late = sum.late,
            .burnRate = burnRateOf(sum, allowedShare),
            .budgetBurnt = day.total ? static_cast<double>(sum.late) / budget : 0 };
    }
    row.budgetExhaustedIn = timeToExhaustion(row);
    row.waits = buckets.waits(name, now);
    for (size_t hour = 0; hour < row.hourlyBurn.size(); ++hour) {
        const size_t ago = (row.hourlyBurn.size() - 1 - hour) * 60;
        row.hourlyBurn[hour] = burnRateOf(buckets.sum(name, 60, ago, now), allowedShare);
    }
    row.summary = summarize(row, objective);
    return row;
}

} // namespace

BurnReport BurnReport::make(const WaitTimeHistory& buckets, const BurnSettings& settings, std::vector<HostId> answered,
    std::vector<HostId> missing, WallTime now)
{
    HICKORYKNOT_ASSERT(settings.objective >= 0 && settings.objective < 1, "an objective of 1 leaves no budget");
    BurnReport report { .at = now,
        .objective = settings.objective,
        .hostsAnswered = std::move(answered),
        .hostsMissing = std::move(missing),
        .rows = {} };
    for (const RowName& name : buckets.rows())
        report.rows.push_back(makeRow(buckets, name, settings.objective, now));
    std::ranges::stable_sort(
        report.rows, std::greater<> {}, [](const BurnRow& row) { return row.windows[hourWindow].burnRate; });
    return report;
}

std::string BurnReport::coverage() const
{
    if (hostsMissing.empty())
        return fmt::format("{} of {} hosts answered.", hostsAnswered.size(), hostsAnswered.size());
    std::string names;
    for (const HostId& host : hostsMissing)
        names += (names.empty() ? "" : ", ") + host.value();
    return fmt::format("{} of {} hosts answered; the sums leave out {}.", hostsAnswered.size(),
        hostsAnswered.size() + hostsMissing.size(), names);
}

} // namespace hickoryknot

#include <nlohmann/json.hpp>

#include "report/BurnReport.h"

namespace hickoryknot {

namespace {

using Json = nlohmann::ordered_json;

Json hostNamesToJson(const std::vector<HostId>& hosts)
{
    Json names = Json::array();
    for (const HostId& host : hosts)
        names.push_back(host.value());
    return names;
}

Json windowsToJson(const BurnRow& row)
{
    Json windows = Json::array();
    for (const BurnWindow& window : row.windows) {
        windows.push_back({ { "minutes", window.minutes }, { "total", window.total }, { "late", window.late },
            { "burnRate", window.burnRate }, { "budgetBurnt", window.budgetBurnt } });
    }
    return windows;
}

// Histogram buckets with upper bounds in milliseconds; the last bucket has none.
Json waitsToJson(const BurnRow& row)
{
    Json waits = Json::array();
    for (size_t i = 0; i < row.waits.size(); ++i) {
        const Duration end = WaitTimeHistory::waitBucketUpperBound(i);
        waits.push_back({ { "upToMs", end == Duration::max() ? Json(nullptr) : Json(end.count() / 1000) },
            { "count", row.waits[i] } });
    }
    return waits;
}

Json rowToJson(const BurnRow& row)
{
    return { { "row", row.row.value() }, { "targetWaitMs", static_cast<double>(row.targetWait.count()) / 1000 },
        { "windows", windowsToJson(row) },
        { "budgetEndsInMs", row.budgetExhaustedIn ? Json(row.budgetExhaustedIn->count() / 1000) : Json(nullptr) },
        { "hourlyBurn", row.hourlyBurn }, { "waits", waitsToJson(row) }, { "summary", row.summary } };
}

} // namespace

std::string BurnReport::json() const
{
    Json report { { "atUnixMs", at.time_since_epoch().count() / 1000 }, { "objective", objective },
        { "hostsAnswered", hostNamesToJson(hostsAnswered) }, { "hostsMissing", hostNamesToJson(hostsMissing) },
        { "coverage", coverage() }, { "rows", Json::array() } };
    for (const BurnRow& row : rows)
        report["rows"].push_back(rowToJson(row));
    // Invalid UTF-8 is replaced instead of throwing an exception.
    return report.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace hickoryknot

#include <nlohmann/json.hpp>

#include "report/BurnReport.h"

namespace hickoryknot {

namespace {

using Json = nlohmann::ordered_json;

Json namesOf(const std::vector<HostId>& hosts)
{
    Json names = Json::array();
    for (const HostId& host : hosts)
        names.push_back(host.value());
    return names;
}

Json windowsOf(const BurnRow& row)
{
    Json windows = Json::array();
    for (const BurnWindow& window : row.windows) {
        windows.push_back({ { "minutes", window.minutes }, { "total", window.total }, { "late", window.late },
            { "burnRate", window.burnRate }, { "budgetBurnt", window.budgetBurnt } });
    }
    return windows;
}

// Waiting times as upper ends in milliseconds with counts; the last bucket has no end.
Json waitsOf(const BurnRow& row)
{
    Json waits = Json::array();
    for (size_t i = 0; i < row.waits.size(); ++i) {
        const Duration end = WaitTimeHistory::waitBucketEnd(i);
        waits.push_back({ { "upToMs", end == Duration::max() ? Json(nullptr) : Json(end.count() / 1000) },
            { "count", row.waits[i] } });
    }
    return waits;
}

Json rowOf(const BurnRow& row)
{
    return { { "row", row.row.value() }, { "targetWaitMs", static_cast<double>(row.targetWait.count()) / 1000 },
        { "windows", windowsOf(row) },
        { "budgetEndsInMs", row.exhaustedIn ? Json(row.exhaustedIn->count() / 1000) : Json(nullptr) },
        { "hourlyBurn", row.hourlyBurn }, { "waits", waitsOf(row) }, { "summary", row.summary } };
}

} // namespace

std::string BurnReport::json() const
{
    Json report { { "atUnixMs", at.time_since_epoch().count() / 1000 }, { "objective", objective },
        { "hostsAnswered", namesOf(hostsAnswered) }, { "hostsMissing", namesOf(hostsMissing) },
        { "coverage", coverage() }, { "rows", Json::array() } };
    for (const BurnRow& row : rows)
        report["rows"].push_back(rowOf(row));
    // Bytes that are not UTF-8 are replaced instead of throwing.
    return report.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace hickoryknot

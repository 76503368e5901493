#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "report/WaitTimeHistory.h"

namespace hickoryknot {

struct BurnSettings {
    /// Share of starts that must keep the row's targetWait; below 1. The rest is the budget of late starts.
    double objective { 0.99 };
};

/// One row over one window that ends now.
struct BurnWindow {
    const char* name { "" };
    uint32_t minutes { 0 };
    uint64_t total { 0 };
    uint64_t late { 0 };
    /// Late share over allowed share; 1 uses up the budget exactly.
    double burnRate { 0 };
    /// Late starts of this window as a share of the 24 hour budget.
    double budgetBurnt { 0 };
};

/// One row of the report.
struct BurnRow {
    RowName row;
    Duration targetWait { 0 };
    /// 5 min, 1 h, 6 h, 24 h.
    std::array<BurnWindow, 4> windows {};
    /// Time until the 24 hour budget is used up at the last hour's rate; zero when it already is, empty when it lasts.
    std::optional<Duration> exhaustedIn {};
    std::array<uint64_t, WaitTimeHistory::waitBuckets> waits {};
    /// Burn rate of each of the last 24 hours, oldest first.
    std::array<double, 24> hourlyBurn {};
    /// Plain words for people.
    std::string summary {};
};

/// How the waiting times before start compare with the targets of the table, for one host or a whole cell. Text, JSON
/// and HTML say the same.
struct BurnReport {
    WallTime at;
    double objective { 0.99 };
    std::vector<HostId> hostsAnswered;
    /// Hosts whose buckets are not in the sums.
    std::vector<HostId> hostsMissing;
    std::vector<BurnRow> rows; // worst burn over the last hour first

    static BurnReport make(const WaitTimeHistory&, const BurnSettings&, std::vector<HostId> answered,
        std::vector<HostId> missing, WallTime now);

    /// Which hosts the sums cover, as a sentence.
    std::string coverage() const;

    std::string text() const;
    std::string json() const;
    /// One page without external references.
    std::string html() const;
};

} // namespace hickoryknot

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
    /// Service level objective: share of starts that must be within the row's targetWait; below 1. The rest is the
    /// error budget, the share of starts that may be late.
    double objective { 0.99 };
};

/// Burn rate of one row over a window that ends now.
struct BurnWindow {
    const char* name { "" };
    uint32_t minutes { 0 };
    uint64_t total { 0 };
    uint64_t late { 0 };
    /// Late share divided by the allowed share; at 1 the budget is used up exactly.
    double burnRate { 0 };
    /// Late starts in this window as a share of the 24 hour budget.
    double budgetBurnt { 0 };
};

/// Report of one table row.
struct BurnRow {
    RowName row;
    Duration targetWait { 0 };
    /// 5 min, 1 h, 6 h, 24 h.
    std::array<BurnWindow, 4> windows {};
    /// Time until the 24 hour budget is used up at the burn rate of the last hour. Zero if it is already used up, empty
    /// if it is not going to be.
    std::optional<Duration> budgetExhaustedIn {};
    std::array<uint64_t, WaitTimeHistory::waitBuckets> waits {};
    /// Burn rate of each of the last 24 hours, oldest first.
    std::array<double, 24> hourlyBurn {};
    /// Summary sentences for people.
    std::string summary {};
};

/// Error budget report: compares the waiting times before start with the targets of the table, for one host or a whole
/// cell. Text, JSON and HTML have the same content.
struct BurnReport {
    WallTime at;
    double objective { 0.99 };
    std::vector<HostId> hostsAnswered;
    /// Hosts whose buckets are missing from the sums.
    std::vector<HostId> hostsMissing;
    std::vector<BurnRow> rows; // highest burn rate over the last hour first

    static BurnReport make(const WaitTimeHistory&, const BurnSettings&, std::vector<HostId> answered,
        std::vector<HostId> missing, WallTime now);

    /// A sentence that names the hosts in the sums.
    std::string coverage() const;

    std::string text() const;
    std::string json() const;
    /// A single page without external references.
    std::string html() const;
};

} // namespace hickoryknot

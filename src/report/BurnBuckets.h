#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// Minutes since 1970-01-01 UTC; the same on all hosts, so that buckets can be merged.
using WallMinute = int64_t;

/// Starts of one row in one minute.
struct BurnBucket {
    uint32_t total { 0 };
    /// Started later than the row's targetWait, or given up.
    uint32_t late { 0 };
};

/// Waiting times before start of every row over the last 24 hours. Takes about 14 KB per row, at most `maxRows` rows.
/// Not thread safe.
class BurnBuckets {
public:
    static constexpr size_t minutes = 24 * 60;
    /// Waiting times are counted by powers of two of a millisecond; the last bucket takes everything longer.
    static constexpr size_t waitBuckets = 20;
    static constexpr size_t maxRows = 512;

    struct RowBuckets {
        std::array<BurnBucket, minutes> perMinute {}; // index: minute modulo `minutes`
        std::array<std::array<uint32_t, waitBuckets>, 24> waits {}; // index: hour modulo 24
        WallMinute newest { 0 };
        Duration targetWait { 0 };
    };

    /// Counts one request or task that waited `waited`, measured against `targetWait`. `hasStarted` is false for one
    /// that was given up. Silently counts nothing for rows beyond maxRows.
    void record(const RowName&, Duration targetWait, Duration waited, bool hasStarted, WallTime now);

    /// Adds the buckets of another host.
    void merge(const BurnBuckets&, WallTime now);

    /// Raw buckets up to `now` as bytes; minutes older than 72 are summed to five minutes. Under 300 KB for 150 rows.
    std::string encode(WallTime now) const;
    /// Corrupt: not a result of encode().
    static Expected<BurnBuckets> decode(std::string_view);

    /// Sum over the `window` that ends with the minute of `now`.
    BurnBucket sum(const RowName&, size_t windowMinutes, WallTime now) const;
    /// Waiting times over the last 24 hours.
    std::array<uint64_t, waitBuckets> waits(const RowName&, WallTime now) const;
    /// Upper end of a waiting time bucket; the last one has none and gives Duration::max().
    static Duration waitBucketEnd(size_t index);

    Duration targetWait(const RowName&) const;
    std::vector<RowName> rows() const;

private:
    RowBuckets* rowFor(const RowName&);
    const RowBuckets* find(const RowName&) const;
    static void advance(RowBuckets&, WallMinute);

    std::map<RowName, std::unique_ptr<RowBuckets>> m_rows;
};

} // namespace hickoryknot

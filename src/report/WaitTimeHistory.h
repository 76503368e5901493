#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// Minutes since 1970-01-01 UTC; the same on all hosts, so that buckets can be merged.
using WallMinute = int64_t;

/// Starts of one row in one span of time.
struct BurnBucket {
    uint64_t total { 0 };
    /// Started later than the row's targetWait, or given up.
    uint64_t late { 0 };
};

/// Waiting times before start of every row over the last 24 hours, in buckets of a minute. Takes about 14 KB per row.
/// Not thread safe.
class WaitTimeHistory {
public:
    static constexpr size_t minutes = 1440;
    static constexpr size_t hours = 24;
    /// Waiting times are counted by powers of two of a millisecond; the last bucket takes everything longer.
    static constexpr size_t waitBuckets = 20;
    /// Bounds memory to 7 MB; further rows are not counted.
    static constexpr size_t maxRows = 512;

    /// Counts one request or task that waited `waited`, measured against `targetWait`. `hasStarted` is false for one
    /// that was given up.
    void record(const RowName&, Duration targetWait, Duration waited, bool hasStarted, WallTime now);

    /// Adds the buckets of another host. Buckets outside the 24 hours that end a few minutes after `now` are left out,
    /// so that a host with a wrong calendar cannot displace the others.
    void merge(const WaitTimeHistory&, WallTime now);

    /// Raw buckets as bytes; minutes more than 72 ago are summed to five minutes and waiting times to one hour.
    std::string encode(WallTime now) const;
    /// Corrupt: not a result of encode().
    static Expected<WaitTimeHistory> decode(std::string_view);

    /// Sum over `length` minutes, the last of which began `ago` minutes before the minute of `now`.
    BurnBucket sum(const RowName&, size_t length, size_t ago, WallTime now) const;
    /// Waiting times over the last 24 hours.
    std::array<uint64_t, waitBuckets> waits(const RowName&, WallTime now) const;

    /// Upper end of a waiting time bucket; Duration::max() for the last one.
    static Duration waitBucketEnd(size_t index);

    /// Target of the newest record; zero for rows not known.
    Duration targetWait(const RowName&) const;
    std::vector<RowName> rows() const;

private:
    using WaitCounts = std::array<uint32_t, waitBuckets>;

    struct Minute {
        uint32_t total { 0 };
        uint32_t late { 0 };
    };

    // Rings: a minute or hour is kept at its number modulo the size, as long as it is not older than the newest minute
    // less the size.
    struct RowBuckets {
        std::vector<Minute> perMinute;
        std::vector<WaitCounts> perHour;
        WallMinute newest { 0 };
        Duration targetWait { 0 };
    };

    RowBuckets* rowFor(const RowName&);
    const RowBuckets* find(const RowName&) const;
    static bool advance(RowBuckets&, WallMinute);
    static bool isHeld(const RowBuckets&, WallMinute);
    static Minute at(const RowBuckets&, WallMinute);
    static void add(RowBuckets&, WallMinute, Minute);
    static void addWaits(RowBuckets&, WallMinute, const WaitCounts&);
    static WaitCounts waitsOf(const RowBuckets&, WallMinute now);

    std::map<RowName, RowBuckets> m_rows;
};

} // namespace hickoryknot

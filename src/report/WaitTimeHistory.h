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

/// Minutes since 1970-01-01 UTC. Bucket boundaries are equal on all hosts, so that buckets can be merged.
using WallMinute = int64_t;

/// Starts of one row in one time span.
struct StartCounts {
    uint64_t total { 0 };
    /// Started later than the row's targetWait, or ended without a start.
    uint64_t late { 0 };
};

/// Waiting times before start of each row over the last 24 hours, in buckets of one minute. Uses about 14 KB per row.
/// Not thread safe.
class WaitTimeHistory {
public:
    static constexpr size_t minutes = 1440;
    static constexpr size_t hours = 24;
    /// Histogram buckets of waiting times: powers of two of a millisecond; the last bucket has no upper bound.
    static constexpr size_t waitBuckets = 20;
    /// Bounds memory to 7 MB; further rows are not recorded.
    static constexpr size_t maxRows = 512;

    /// Records a request or task that waited for `waited`. It is late if that exceeds `targetWait`, or if it ended
    /// without a start (`hasStarted` is false).
    void record(const RowName&, Duration targetWait, Duration waited, bool hasStarted, WallTime now);

    /// Adds the buckets of another host. Buckets outside the 24 hours that end a few minutes after `now` are ignored,
    /// so that a host with a wrong wall clock cannot evict the buckets of the others.
    void merge(const WaitTimeHistory&, WallTime now);

    /// Serializes the buckets. Minutes more than 72 minutes ago are summed to buckets of five minutes, waiting times
    /// are summed over all hours.
    std::string encode(WallTime now) const;
    /// Fails with Corrupt if the bytes are not a result of encode().
    static Expected<WaitTimeHistory> decode(std::string_view);

    /// Sum over `length` minutes; the last of them is `ago` minutes before the minute of `now`.
    StartCounts sum(const RowName&, size_t length, size_t ago, WallTime now) const;
    /// Histogram of the waiting times over the last 24 hours.
    std::array<uint64_t, waitBuckets> waits(const RowName&, WallTime now) const;

    /// Upper bound of a waiting time bucket; Duration::max() for the last one.
    static Duration waitBucketUpperBound(size_t index);

    /// Target of the newest record; zero for unknown rows.
    Duration targetWait(const RowName&) const;
    std::vector<RowName> rows() const;

private:
    using WaitCounts = std::array<uint32_t, waitBuckets>;

    struct Minute {
        uint32_t total { 0 };
        uint32_t late { 0 };
    };

    // Ring buffers, indexed by the minute or hour number modulo the size. A bucket is valid if it is less than the size
    // older than the newest minute.
    struct RowBuckets {
        std::vector<Minute> perMinute;
        std::vector<WaitCounts> perHour;
        WallMinute newest { 0 };
        Duration targetWait { 0 };
    };

    RowBuckets* rowFor(const RowName&);
    const RowBuckets* find(const RowName&) const;
    static bool advance(RowBuckets&, WallMinute);
    static bool isRetained(const RowBuckets&, WallMinute);
    static Minute at(const RowBuckets&, WallMinute);
    static void add(RowBuckets&, WallMinute, Minute);
    static void addWaits(RowBuckets&, WallMinute, const WaitCounts&);
    static WaitCounts waitsOf(const RowBuckets&, WallMinute now);

    std::map<RowName, RowBuckets> m_rows;
};

} // namespace hickoryknot

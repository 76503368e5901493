#include "report/WaitTimeHistory.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

#include "report/ByteCodec.h"

namespace hickoryknot {

namespace {

constexpr std::string_view magic = "HKBURN1";
// Minutes that are encoded one by one: the windows of 5 minutes and 1 hour, and some reserve for slow answers.
constexpr WallMinute fineMinutes = 72;
constexpr WallMinute coarseSpan = 5;
// How far ahead another host's calendar may be.
constexpr WallMinute tolerance = 5;
constexpr uint64_t largestMinute = uint64_t(1) << 40;
constexpr uint64_t largestDuration = uint64_t(1) << 50;
constexpr size_t checksumBytes = 8;

WallMinute minuteOf(WallTime time) { return std::chrono::floor<std::chrono::minutes>(time).time_since_epoch().count(); }

WallMinute hourOf(WallMinute minute) { return minute / 60; }

size_t waitBucketOf(Duration waited)
{
    size_t index = 0;
    while (index + 1 < WaitTimeHistory::waitBuckets && waited > WaitTimeHistory::waitBucketEnd(index))
        ++index;
    return index;
}

// Counts stop at the largest number instead of starting again at zero.
void increase(uint32_t& count, uint64_t by)
{
    count = static_cast<uint32_t>(std::min<uint64_t>(count + by, std::numeric_limits<uint32_t>::max()));
}

std::string checksum(std::string_view bytes)
{
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, XXH3_64bits(bytes.data(), bytes.size()));
    return { reinterpret_cast<const char*>(canonical.digest), checksumBytes };
}

} // namespace

Duration WaitTimeHistory::waitBucketEnd(size_t index)
{
    return index + 1 < waitBuckets ? Duration(1ms) * (int64_t(1) << index) : Duration::max();
}

WaitTimeHistory::RowBuckets* WaitTimeHistory::rowFor(const RowName& row)
{
    const auto found = m_rows.find(row);
    if (found != m_rows.end())
        return &found->second;
    if (m_rows.size() >= maxRows)
        return nullptr;
    RowBuckets& added = m_rows[row];
    added.perMinute.resize(minutes);
    added.perHour.resize(hours);
    return &added;
}

const WaitTimeHistory::RowBuckets* WaitTimeHistory::find(const RowName& row) const
{
    const auto found = m_rows.find(row);
    return found == m_rows.end() ? nullptr : &found->second;
}

// Makes room for a minute. False if it is older than everything that is kept.
bool WaitTimeHistory::advance(RowBuckets& row, WallMinute minute)
{
    constexpr auto kept = static_cast<WallMinute>(minutes);
    if (minute <= row.newest)
        return minute > row.newest - kept;
    const WallMinute clearFrom = std::max(row.newest + 1, minute - kept + 1);
    for (WallMinute cleared = clearFrom; cleared <= minute; ++cleared)
        row.perMinute[static_cast<size_t>(cleared) % minutes] = {};
    const WallMinute clearHour = std::max(hourOf(row.newest) + 1, hourOf(minute) - static_cast<WallMinute>(hours) + 1);
    for (WallMinute cleared = clearHour; cleared <= hourOf(minute); ++cleared)
        row.perHour[static_cast<size_t>(cleared) % hours] = {};
    row.newest = minute;
    return true;
}

bool WaitTimeHistory::isHeld(const RowBuckets& row, WallMinute minute)
{
    return minute <= row.newest && minute > row.newest - static_cast<WallMinute>(minutes) && minute >= 0;
}

WaitTimeHistory::Minute WaitTimeHistory::at(const RowBuckets& row, WallMinute minute)
{
    return isHeld(row, minute) ? row.perMinute[static_cast<size_t>(minute) % minutes] : Minute {};
}

void WaitTimeHistory::add(RowBuckets& row, WallMinute minute, Minute counts)
{
    if (!advance(row, minute))
        return;
    Minute& bucket = row.perMinute[static_cast<size_t>(minute) % minutes];
    increase(bucket.total, counts.total);
    increase(bucket.late, counts.late);
}

void WaitTimeHistory::addWaits(RowBuckets& row, WallMinute minute, const WaitCounts& counts)
{
    if (!advance(row, minute))
        return;
    WaitCounts& bucket = row.perHour[static_cast<size_t>(hourOf(minute)) % hours];
    for (size_t i = 0; i < waitBuckets; ++i)
        increase(bucket[i], counts[i]);
}

void WaitTimeHistory::record(const RowName& name, Duration targetWait, Duration waited, bool hasStarted, WallTime now)
{
    RowBuckets* row = rowFor(name);
    const WallMinute minute = minuteOf(now);
    if (!row || minute < 0)
        return;
    // A calendar that was set back by more than a day starts the row anew instead of losing its records.
    if (minute + static_cast<WallMinute>(minutes) <= row->newest) {
        std::ranges::fill(row->perMinute, Minute {});
        std::ranges::fill(row->perHour, WaitCounts {});
        row->newest = minute;
    }
    row->targetWait = targetWait;
    add(*row, minute, { 1, !hasStarted || waited > targetWait ? 1U : 0U });
    WaitCounts waits {};
    waits[waitBucketOf(waited)] = 1;
    addWaits(*row, minute, waits);
}

void WaitTimeHistory::merge(const WaitTimeHistory& other, WallTime now)
{
    const WallMinute last = minuteOf(now) + tolerance;
    const WallMinute first = minuteOf(now) - static_cast<WallMinute>(minutes) + 1;
    for (const auto& [name, theirs] : other.m_rows) {
        RowBuckets* row = rowFor(name);
        if (!row)
            continue;
        if (row->targetWait == 0us)
            row->targetWait = theirs.targetWait;
        for (WallMinute minute = first; minute <= last; ++minute) {
            const Minute counts = at(theirs, minute);
            if (counts.total)
                add(*row, minute, counts);
        }
        for (WallMinute hour = hourOf(first); hour <= hourOf(last); ++hour) {
            const bool isKept = hour > hourOf(theirs.newest) - static_cast<WallMinute>(hours);
            if (hour >= 0 && isKept && hour <= hourOf(theirs.newest))
                addWaits(*row, std::min(hour * 60 + 59, last), theirs.perHour[static_cast<size_t>(hour) % hours]);
        }
    }
}

WaitTimeHistory::WaitCounts WaitTimeHistory::waitsOf(const RowBuckets& row, WallMinute now)
{
    WaitCounts sum {};
    const WallMinute newestHour = hourOf(row.newest);
    for (WallMinute hour = std::max<WallMinute>(newestHour - static_cast<WallMinute>(hours) + 1, 0); hour <= newestHour;
         ++hour) {
        if (hour <= hourOf(now) - static_cast<WallMinute>(hours))
            continue;
        const WaitCounts& counts = row.perHour[static_cast<size_t>(hour) % hours];
        for (size_t i = 0; i < waitBuckets; ++i)
            increase(sum[i], counts[i]);
    }
    return sum;
}

BurnBucket WaitTimeHistory::sum(const RowName& name, size_t length, size_t ago, WallTime now) const
{
    BurnBucket sum;
    const RowBuckets* row = find(name);
    if (!row)
        return sum;
    const WallMinute last = minuteOf(now) - static_cast<WallMinute>(ago);
    for (WallMinute minute = last - static_cast<WallMinute>(length) + 1; minute <= last; ++minute) {
        const Minute counts = at(*row, minute);
        sum.total += counts.total;
        sum.late += counts.late;
    }
    return sum;
}

std::array<uint64_t, WaitTimeHistory::waitBuckets> WaitTimeHistory::waits(const RowName& name, WallTime now) const
{
    std::array<uint64_t, waitBuckets> waits {};
    if (const RowBuckets* row = find(name))
        std::ranges::copy(waitsOf(*row, minuteOf(now)), waits.begin());
    return waits;
}

Duration WaitTimeHistory::targetWait(const RowName& name) const
{
    const RowBuckets* row = find(name);
    return row ? row->targetWait : Duration(0);
}

std::vector<RowName> WaitTimeHistory::rows() const
{
    std::vector<RowName> names;
    for (const auto& [name, row] : m_rows)
        names.push_back(name);
    return names;
}

std::string WaitTimeHistory::encode(WallTime now) const
{
    const WallMinute newest = minuteOf(now) + tolerance;
    const WallMinute oldest = minuteOf(now) - static_cast<WallMinute>(minutes) + 1;
    const WallMinute fineFrom = minuteOf(now) - fineMinutes;
    ByteWriter writer;
    writer.number(m_rows.size());
    for (const auto& [name, row] : m_rows) {
        // Sums of five minutes stand at the first of them; they begin at multiples of five on every host.
        std::map<WallMinute, BurnBucket> spans;
        for (WallMinute minute = oldest; minute <= newest; ++minute) {
            const Minute counts = at(row, minute);
            if (!counts.total)
                continue;
            BurnBucket& span = spans[minute > fineFrom ? minute : minute - minute % coarseSpan];
            span.total += counts.total;
            span.late += counts.late;
        }
        writer.text(name.value());
        writer.number(static_cast<uint64_t>(std::max<int64_t>(row.targetWait.count(), 0)));
        writer.number(static_cast<uint64_t>(std::max<WallMinute>(row.newest, 0)));
        writer.number(spans.size());
        WallMinute previous = 0;
        for (const auto& [minute, span] : spans) {
            writer.number(static_cast<uint64_t>(minute - previous));
            writer.number(span.total);
            writer.number(span.late);
            previous = minute;
        }
        for (const uint32_t count : waitsOf(row, minuteOf(now)))
            writer.number(count);
    }
    const std::string body = std::string(magic) + writer.bytes();
    return body + checksum(body);
}

Expected<WaitTimeHistory> WaitTimeHistory::decode(std::string_view bytes)
{
    const auto corrupt
        = [](const char* what) { return makeError(ErrorCode::Corrupt, std::string("burn buckets: ") + what); };
    if (bytes.size() < magic.size() + checksumBytes || !bytes.starts_with(magic))
        return corrupt("the bytes do not begin as burn buckets of this version");
    const std::string_view body = bytes.substr(0, bytes.size() - checksumBytes);
    if (checksum(body) != bytes.substr(body.size()))
        return corrupt("the checksum differs");

    WaitTimeHistory buckets;
    ByteReader reader(body.substr(magic.size()));
    constexpr uint64_t largestCount = std::numeric_limits<uint32_t>::max();
    const uint64_t rowCount = reader.number(maxRows);
    for (uint64_t i = 0; i < rowCount && reader.isGood(); ++i) {
        const RowName name { std::string(reader.text(128)) };
        if (!RowName::isValid(name.value()))
            return corrupt("a row name is not valid");
        RowBuckets& row = *buckets.rowFor(name);
        row.targetWait = Duration(reader.number(largestDuration));
        row.newest = static_cast<WallMinute>(reader.number(largestMinute));
        const uint64_t spans = reader.number(minutes);
        WallMinute minute = 0;
        for (uint64_t span = 0; span < spans && reader.isGood(); ++span) {
            minute += static_cast<WallMinute>(reader.number(largestMinute));
            const uint64_t total = reader.number();
            const uint64_t late = reader.number();
            if (minute > row.newest || late > total)
                return corrupt("a bucket is out of range");
            add(row, minute,
                { static_cast<uint32_t>(std::min(total, largestCount)),
                    static_cast<uint32_t>(std::min(late, largestCount)) });
        }
        WaitCounts waits {};
        for (uint32_t& count : waits)
            count = static_cast<uint32_t>(reader.number(largestCount));
        addWaits(row, row.newest, waits);
    }
    if (!reader.isGood() || !reader.isAtEnd())
        return corrupt("the bytes end too early or too late");
    return buckets;
}

} // namespace hickoryknot
